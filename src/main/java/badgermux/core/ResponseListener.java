package badgermux.core;

/** Who handed in a request. Told its final answer, one of these three, exactly once. */
public interface ResponseListener {
    /** Served: the result as the backend gave it. */
    void onServed(byte[] result);

    /** A synthetic answer: not done, and asking again is harmless, best after so many microseconds (0: no advice). */
    void onRefused(long comeBack);

    /** Failed, with no promise; {@code late} says that time ran out. */
    void onFailed(boolean late);
}

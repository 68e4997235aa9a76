package badgermux.core;

/** Receives the final answer to a request: exactly one of the methods is called, once. */
public interface ResponseListener {
    /** A backend served the request; {@code result} is its response, unchanged. */
    void onServed(byte[] result);

    /**
     * The request was refused: it did not run, and a retry is safe.
     *
     * @param retryAfterMicros the advised delay before a retry; 0 for no advice
     */
    void onRefused(long retryAfterMicros);

    /** The request failed and may have run; {@code timedOut} is true if its time ran out. */
    void onFailed(boolean timedOut);
}

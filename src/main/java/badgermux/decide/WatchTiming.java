package badgermux.decide;

/**
 * The times of calls to discovery, in microseconds, and why they are so long: a change has to arrive within
 * {@link #MAX_PROPAGATION_MICROS} of the moment from which discovery has it and can be reached.
 *
 * <p>In the worst case discovery becomes reachable just after a call has gone where nobody reads it. Then pass, with
 * {@code pause} for {@link #MAX_RETRY_PAUSE_MICROS} with the most jitter, 1.125 s, and {@code first} for the first pause after a
 * list, 0.75 s, up to the beginning of the call that is answered, where one more call is refused on the way:
 * <ul>
 * <li>a watch that was well before: {@link #WATCH_TIMEOUT_MICROS} + refused + first = 4.75 s (it is made anew with no pause);
 * <li>a call after a failure, silent, half answered or trickling: {@link #RECOVERY_TIMEOUT_MICROS} + pause + refused + pause
 *     = 5.25 s;
 * <li>a connection that does not come up: {@link #CONNECT_TIMEOUT_MICROS} + pause + refused + pause = 3.25 s;
 * <li>a refusal or reset: pause + refused + pause = 2.25 s; where the refusal itself comes late, since discovery has
 *     too many callers: pause + {@link #RECOVERY_TIMEOUT_MICROS} + pause = 5.25 s;
 * <li>answers with older revisions, after a reset: first + {@link #MAX_STALE_REVISIONS_MICROS} + pause = 2.875 s, then it is asked at once.
 * </ul>
 * What is left, 0.75 s at least, is for the answer and for a slow core. {@code WatchTimingTest} reckons these sums.
 */
public final class WatchTiming {
    /** Protocol: a change counts as told so long after discovery had it and could be reached. */
    public static final long MAX_PROPAGATION_MICROS = 6_000_000;
    /** How long a watch asks discovery to wait for news. */
    public static final long WATCH_WAIT_MICROS = 3_000_000;
    /** How long an answer may take beyond the wait that was asked for. */
    public static final long RESPONSE_GRACE_MICROS = 1_000_000;
    /** A watch with no whole answer by then is given up and made anew. */
    public static final long WATCH_TIMEOUT_MICROS = WATCH_WAIT_MICROS + RESPONSE_GRACE_MICROS;
    /** What a call asks discovery to wait that follows a failure: it only finds out whether discovery answers. */
    public static final long RECOVERY_WAIT_MICROS = 100_000;
    /** Such a call fails without a whole answer by then; it may queue at a discovery service with many callers. */
    public static final long RECOVERY_TIMEOUT_MICROS = 3_000_000;
    /** How long a connection may take to come up. */
    public static final long CONNECT_TIMEOUT_MICROS = 1_000_000;
    /** The same for an agent beside the dispatcher: what it gets counts as told at once. */
    public static final long AGENT_CONNECT_TIMEOUT_MICROS = 200_000;
    /** An agent is called again so soon after a failed call: a watch goes on over 200 ms at most. */
    public static final long AGENT_RETRY_PAUSE_MICROS = 100_000;
    /** Discovery's answers may stay older than the list in hand for so long; then it has begun anew. */
    public static final long MAX_STALE_REVISIONS_MICROS = 1_000_000;
    /** The pause that follows a failed call grows up to this, before jitter: short enough for the sums above. */
    public static final long MAX_RETRY_PAUSE_MICROS = 750_000;
    /** The most by which jitter lengthens a pause; it spreads the calls of all dispatchers over as much time. */
    public static final double MAX_JITTER_FACTOR = 1.5;

    private WatchTiming() { }

    /**
     * The pause after one more failed call, before jitter.
     *
     * @param before   the pause before it
     * @param askEvery how long a dispatcher may go without asking
     */
    static long nextRetryPauseMicros(long before, long askEvery) {
        return Math.min(2 * before, Math.min(askEvery / 4, MAX_RETRY_PAUSE_MICROS));
    }
}

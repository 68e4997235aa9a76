package badgermux.decide;

/**
 * Time limits of calls to discovery. A change of the backend list has to arrive within
 * {@link #MAX_PROPAGATION_MICROS} after discovery has it and can be reached.
 *
 * <p>In the worst case discovery becomes reachable just after a call has been sent that it will never answer,
 * and refuses one more call before the one that it answers. The sums below are the time until the call that
 * is answered begins. In them, {@code pause} is {@link #MAX_RETRY_PAUSE_MICROS} with the most jitter,
 * 1.125 s, {@code first} is the first pause after a list, 0.75 s, and {@code refused} is the time of the
 * refused call, which counts as 0:
 * <ul>
 * <li>a watch after a successful one: {@link #WATCH_TIMEOUT_MICROS} + refused + first = 4.75 s, as it is
 * repeated without a pause;
 * <li>a call after a failed one that gets no answer, or an incomplete or slow one:
 *     {@link #RECOVERY_TIMEOUT_MICROS} + pause + refused + pause = 5.25 s;
 * <li>a connection that does not open: {@link #CONNECT_TIMEOUT_MICROS} + pause + refused + pause = 3.25 s;
 * <li>a refusal or reset: pause + refused + pause = 2.25 s; if the refusal itself comes late, since discovery
 * has too many callers: pause + {@link #RECOVERY_TIMEOUT_MICROS} + pause = 5.25 s;
 * <li>answers with older revisions, after a reset: first + {@link #MAX_STALE_REVISIONS_MICROS} + pause =
 * 2.875 s, after which discovery is called at once.
 * </ul> The rest, at least 0.75 s, is for the answer and for a slow processor. {@code WatchTimingTest} checks
 * the sums.
 */
public final class WatchTiming {
    /** Protocol: a change has to arrive this soon after discovery has it and can be reached. */
    public static final long MAX_PROPAGATION_MICROS = 6_000_000;
    /** How long a watch asks discovery to wait for a change, at most, unless calls have failed lately. */
    public static final long WATCH_WAIT_MICROS = 3_000_000;
    /**
     * The longest such wait. It grows after failed calls, as all dispatchers share the capacity of discovery:
     * with short waits, those that have a watch would use it up for their next ones. A change that a silent
     * watch misses counts as told 2 s after its wait is over.
     */
    public static final long MAX_WATCH_WAIT_MICROS = 24_000_000;
    /** Jitter shortens a wait down to this part, so that not all dispatchers' watches end together. */
    public static final double MIN_WATCH_WAIT_FACTOR = 0.75;
    /** How long an answer may take beyond the wait that was asked for. */
    public static final long RESPONSE_GRACE_MICROS = 1_000_000;
    /**
     * A watch without a complete answer in this time is abandoned and repeated; one that waits for longer, in
     * the same time after its wait.
     */
    public static final long WATCH_TIMEOUT_MICROS = WATCH_WAIT_MICROS + RESPONSE_GRACE_MICROS;
    /** The wait that a call after a failure asks for: it only has to show whether discovery answers. */
    public static final long RECOVERY_WAIT_MICROS = 100_000;
    /** Timeout of a call after a failure, which may queue at a discovery service with many callers. */
    public static final long RECOVERY_TIMEOUT_MICROS = 3_000_000;
    /** How long a connection to discovery may take to open. */
    public static final long CONNECT_TIMEOUT_MICROS = 1_000_000;
    /** The same for a discovery agent on the dispatcher's own host: its changes count as arrived at once. */
    public static final long AGENT_CONNECT_TIMEOUT_MICROS = 200_000;
    /** Pause after a failed call to such an agent: a watch may be interrupted for 200 ms at most. */
    public static final long AGENT_RETRY_PAUSE_MICROS = 100_000;
    /** The wait that the first call of a process asks for, whose answer confirms the initial list. */
    public static final long INITIAL_WAIT_MICROS = 1_000;
    /** How long a process waits for the first answer before it uses its initial list without one. */
    static final long INITIAL_LIST_TIMEOUT_MICROS = 4_000_000;
    /** A call that fails within this time has not waited at a discovery service with many callers. */
    static final long PROMPT_FAILURE_MICROS = 500_000;
    /** How long answers may be older than the current list; after that, discovery has started over. */
    public static final long MAX_STALE_REVISIONS_MICROS = 1_000_000;
    /** Limit of the growing pause after failed calls, before jitter; the sums above depend on it. */
    public static final long MAX_RETRY_PAUSE_MICROS = 750_000;
    /** Largest factor by which jitter lengthens a pause, to spread the calls of all dispatchers. */
    public static final double MAX_JITTER_FACTOR = 1.5;

    private WatchTiming() { }

    /** Returns the wait of the next watch after a failed call, before jitter. */
    public static long watchWaitAfterFailureMicros(long waitMicros) {
        return Math.min(2 * waitMicros, MAX_WATCH_WAIT_MICROS);
    }

    /** Returns the wait of the next watch after an answered one, before jitter. */
    public static long watchWaitAfterAnswerMicros(long waitMicros) {
        return Math.max(WATCH_WAIT_MICROS, waitMicros / 16 * 15);
    }

    /**
     * Returns the pause after one more failed call, before jitter.
     *
     * @param previousPauseMicros    the pause before that call
     * @param maxWatchIntervalMicros the longest span between two calls to discovery
     */
    static long nextRetryPauseMicros(long previousPauseMicros, long maxWatchIntervalMicros) {
        return Math.min(2 * previousPauseMicros,
            Math.min(maxWatchIntervalMicros / 4, MAX_RETRY_PAUSE_MICROS));
    }
}

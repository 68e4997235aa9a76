package badgermux.core;

/**
 * Sends attempts and probes to backends. Their outcomes are reported to the {@link Engine}, which also accepts them while
 * one of these methods runs.
 *
 * @param <P> the payload of a request, opaque to the engine
 */
public interface BackendClient<P> {
    /** Starts an attempt; the engine aborts it at {@code deadlineMicros} on its clock. */
    void startAttempt(long attemptId, long backendId, P payload, long deadlineMicros);

    /** Aborts an attempt; its outcome is not reported. */
    void abort(long attemptId);

    /**
     * Aborts an attempt if none of its bytes has been written, in which case the backend never sees it.
     *
     * @return whether the attempt was aborted; if so, its outcome is not reported
     */
    boolean withdraw(long attemptId);

    /** Requests a load report from a backend; {@link Engine#probeEnded} is called once with the result. */
    void probe(long backendId);

    /** Closes the idle connections to a backend. */
    void closeIdleConnections(long backendId);
}

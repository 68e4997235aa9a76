package badgermux.core;

/**
 * The way to the backends. Whatever comes of an attempt or a probe is told to the {@link Engine}, which allows that from
 * inside these calls too.
 *
 * @param <P> what a request carries; the engine does not look into it
 */
public interface BackendClient<P> {
    /** Starts an attempt, which the engine ends itself at {@code limit}. */
    void startAttempt(long attempt, long backend, P payload, long limit);

    /** Gives an attempt up; nothing more is told of it. */
    void abort(long attempt);

    /**
     * Gives an attempt up if no byte of it has been written, and tells whether it has: then its backend never hears of it,
     * and nothing more is told of it.
     */
    boolean withdraw(long attempt);

    /** Asks a backend for its load; answered once by {@link Engine#probeEnded}. */
    void probe(long backend);

    /** Closes idle connections. */
    void closeIdleConnections(long backend);
}

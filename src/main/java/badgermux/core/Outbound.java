package badgermux.core;

/**
 * The way to the backends. Whatever comes of a fetch or a probe is told to the {@link Engine}, which allows that from
 * inside these calls too.
 *
 * @param <P> what a req carries; the engine does not look into it
 */
public interface Outbound<P> {
    /** Starts a fetch, which the engine ends itself at {@code limit}. */
    void fetch(long fetch, long backend, P payload, long limit);

    /** Gives a fetch up; nothing more is told of it. */
    void abort(long fetch);

    /**
     * Gives a fetch up if no byte of it has been written, and tells whether it has: then its backend never hears of it,
     * and nothing more is told of it.
     */
    boolean withdraw(long fetch);

    /** Asks a backend for its load; answered once by {@link Engine#probed}. */
    void probe(long backend);

    /** Closes idle connections. */
    void release(long backend);
}

package badgermux.http;

import io.netty.buffer.ByteBuf;

/** A connection that this process opens, for one exchange at a time. Used on the event loop only. */
public interface ExchangeConnection {
    /** A request and its response. Ends with {@link #onResponseEnded} or {@link #onConnectionFailed}, unless it is aborted. */
    interface Exchange extends MessageReader.Listener {
        /** Encodes the request; called when it is written. */
        ByteBuf createRequest();

        /** The request has been written completely. Called at most once, also after the exchange has been aborted. */
        default void onRequestWritten() { }

        /** The response is complete. The connection can be used again already, if {@link #isReusable}. */
        void onResponseEnded();

        /**
         * The connection failed before the response was complete, or the response is invalid.
         *
         * @param requestWritten whether the request had been written completely
         */
        void onConnectionFailed(boolean requestWritten);

        /** All input that has arrived has been processed, and the response is not complete. */
        default void onInputProcessed() { }
    }

    /**
     * Starts an exchange, whose request is written as soon as the connection is established. On a closed connection it fails
     * at once.
     *
     * @throws IllegalStateException if an exchange is under way
     */
    void start(Exchange next);

    /** Whether a descriptor was left for the connection; if not, it closes soon, as after a failed connect. */
    boolean hasDescriptor();

    /** Whether another exchange can start. */
    boolean isReusable();

    /** Closes the connection without notifying its exchange. */
    void abort();

    /** Closes the connection; an exchange under way fails. */
    void close();
}

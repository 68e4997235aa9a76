package badgermux.front;

/**
 * Bounds how long a connection has waited in the queue of the listening socket before it is accepted. Neither NIO nor the
 * connection itself tells that time. What is known: a connection accepted now was not in the queue when the queue was last
 * seen empty, and the queue is first in, first out and holds a limited number of connections. Pure: the caller passes in all
 * times, in microseconds.
 */
final class AcceptQueue {
    /** An arrival of which nothing is known. */
    static final long UNKNOWN_MICROS = 0;

    private final long capacity;
    /** All connections in the queue have arrived since then; {@link Long#MAX_VALUE} if the queue was empty at the last look. */
    private long arrivedSinceMicros = Long.MAX_VALUE;
    /** Once the queue has turned over since then, this is the new {@link #arrivedSinceMicros}. */
    private long turnoverStartMicros = Long.MAX_VALUE;
    private long acceptedSinceTurnoverStart;
    private long maxWaitMicros;

    /**
     * Creates a queue that is empty.
     *
     * @param capacity the most connections that the queue can hold; {@link Long#MAX_VALUE} if that is unknown
     */
    AcceptQueue(long capacity) {
        this.capacity = capacity;
    }

    /** The queue was seen empty: there was nothing to accept. */
    void seenEmpty() {
        arrivedSinceMicros = Long.MAX_VALUE;
        turnoverStartMicros = Long.MAX_VALUE;
        acceptedSinceTurnoverStart = 0;
    }

    /**
     * Connections may arrive and stay in the queue from a time on, because nothing is accepted. Does nothing if some may have
     * stayed before.
     */
    void unattendedSince(long micros) {
        if (arrivedSinceMicros == Long.MAX_VALUE) {
            arrivedSinceMicros = micros;
            turnoverStartMicros = micros;
        }
    }

    /**
     * Another process that accepts from the queue, too, has told a time before which nothing that is still in the queue can have
     * arrived.
     */
    void emptiedByOtherProcess(long micros) {
        if (arrivedSinceMicros < micros && arrivedSinceMicros != Long.MAX_VALUE) {
            arrivedSinceMicros = micros;
            turnoverStartMicros = micros;
            acceptedSinceTurnoverStart = 0;
        }
    }

    /**
     * A connection was accepted.
     *
     * @param nowMicros          the time
     * @param inputReadUntilMicros the time up to which input that had arrived has been handled; in the past if the event loop
     *                           has stalled
     * @return the earliest time at which the connection can have arrived in the queue, or {@link #UNKNOWN_MICROS}
     */
    long accepted(long nowMicros, long inputReadUntilMicros) {
        unattendedSince(inputReadUntilMicros);
        long arrivalMicros = Math.min(arrivedSinceMicros, inputReadUntilMicros);
        if (arrivalMicros != UNKNOWN_MICROS) {
            maxWaitMicros = Math.max(maxWaitMicros, nowMicros - arrivalMicros);
        }
        countTurnover(nowMicros);
        return arrivalMicros;
    }

    /** Whatever was in the queue when a turnover began has left it once as many connections as it can hold were accepted. */
    private void countTurnover(long nowMicros) {
        acceptedSinceTurnoverStart++;
        if (acceptedSinceTurnoverStart > capacity) {
            arrivedSinceMicros = turnoverStartMicros;
            turnoverStartMicros = nowMicros;
            acceptedSinceTurnoverStart = 0;
        }
    }

    /**
     * Returns a time before which nothing that is in the queue now can have arrived, or {@link #UNKNOWN_MICROS}.
     *
     * @param inputReadUntilMicros as for {@link #accepted}
     */
    long arrivedSinceMicros(long inputReadUntilMicros) {
        return Math.min(arrivedSinceMicros, inputReadUntilMicros);
    }

    /** Returns how long a connection that is in the queue now may have waited, in microseconds; 0 if the queue was seen empty. */
    long waitMicros(long nowMicros) {
        return arrivedSinceMicros == Long.MAX_VALUE ? 0 : nowMicros - arrivedSinceMicros;
    }

    /** Returns the longest possible wait of all connections of which it was known, in microseconds. */
    long maxWaitMicros() {
        return maxWaitMicros;
    }
}

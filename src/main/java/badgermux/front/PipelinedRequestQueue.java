package badgermux.front;

import badgermux.core.Deadlines;
import java.util.ArrayDeque;
import java.util.function.LongSupplier;

/**
 * Shares the event loop with connections on which further requests have arrived behind an answered one. Each takes one request in
 * its turn, and all turns together get a limited time between two rounds of input, so that clients which send one request at a
 * time are not delayed by those which send many at once.
 */
final class PipelinedRequestQueue {
    /** A connection on which a complete request waits. */
    interface Connection {
        /** Takes the request; adds the connection again if a further one waits. */
        void takeQueuedRequest();
    }

    /** How long requests are taken between two rounds of input. */
    static final long TURN_MICROS = 2_000;

    private final Deadlines deadlines;
    private final LongSupplier clock;
    private final ArrayDeque<Connection> connections = new ArrayDeque<>();
    private boolean isTurnScheduled;

    /** Creates an empty queue; {@code clock} is the time in microseconds. */
    PipelinedRequestQueue(Deadlines deadlines, LongSupplier clock) {
        this.deadlines = deadlines;
        this.clock = clock;
    }

    /** Adds a connection, which is not in the queue, behind the others. */
    void add(Connection connection) {
        connections.add(connection);
        if (!isTurnScheduled) {
            scheduleTurn();
        }
    }

    private void scheduleTurn() {
        isTurnScheduled = true;
        deadlines.scheduleAfterNextRound(this::runTurn);
    }

    private void runTurn() {
        long end = clock.getAsLong() + TURN_MICROS;
        try {
            do {
                connections.poll().takeQueuedRequest();
            } while (!connections.isEmpty() && clock.getAsLong() < end);
        } finally {
            // Also after an exception, which concerns one connection only.
            isTurnScheduled = false;
            if (!connections.isEmpty()) {
                scheduleTurn();
            }
        }
    }
}

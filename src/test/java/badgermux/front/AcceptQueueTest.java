package badgermux.front;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests the bound of how long connections have waited to be accepted. All times are in microseconds. */
class AcceptQueueTest {
    private static final int CAPACITY = 3;
    private final AcceptQueue queue = new AcceptQueue(CAPACITY);

    /** Accepts a connection while the event loop has not stalled. */
    private long accept(long nowMicros) {
        return queue.accepted(nowMicros, nowMicros);
    }

    @Test void connectionThatIsAcceptedFromAnEmptyQueueHasJustArrived() {
        assertEquals(1_000, accept(1_000));
        queue.seenEmpty();
        assertEquals(2_000, accept(2_000));
        assertEquals(0, queue.maxWaitMicros());
    }

    @Test void connectionMayHaveArrivedDuringAStall() {
        assertEquals(700, queue.accepted(1_000, 700));
        assertEquals(300, queue.maxWaitMicros());
    }

    @Test void connectionsBehindThePauseMayHaveWaitedSinceItsStart() {
        queue.unattendedSince(1_000);
        queue.unattendedSince(2_000);
        assertEquals(1_000, accept(5_000));
        assertEquals(1_000, accept(6_000), "until the queue is seen empty");
        queue.seenEmpty();
        assertEquals(7_000, accept(7_000));
        assertEquals(5_000, queue.maxWaitMicros());
    }

    @Test void connectionsBehindTheFirstOfARoundMayHaveWaitedAsLong() {
        accept(1_000);
        assertEquals(1_000, accept(4_000), "nobody has looked whether the queue was empty in between");
    }

    /** Without this bound, nothing would be known of the waits of a queue that never runs empty. */
    @Test void connectionsHaveArrivedAfterThoseThatTheQueueCanHoldBeforeThem() {
        queue.unattendedSince(1_000);
        for (int i = 0; i <= CAPACITY; i++) {
            assertEquals(1_000, accept(2_000 + i));
        }
        for (int i = 0; i <= CAPACITY; i++) {
            assertEquals(1_000, accept(3_000 + i), "may have arrived before the last of those above was accepted");
        }
        assertEquals(2_000 + CAPACITY, accept(4_000), "the queue has turned over since then");
    }
}

package badgermux.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Requests whose connections wait in the listening socket's queue: their clients' time runs from when they were sent. */
@Timeout(60)
class AcceptQueueIT {
    /** How long nothing is accepted. */
    private static final int PAUSE_MILLIS = 400;
    /** Far more connections than are accepted at once, and fewer than the queue holds. */
    private static final int CROWD_SIZE = 600;
    private static final int CLIENT_TIMEOUT_MILLIS = 2000;
    /** By the protocol an answer is lost if it comes later than this after the client's time. */
    private static final int LOST_AFTER_MILLIS = 500;

    private InProcessDispatcher dispatcher;
    private final List<Client> crowd = new ArrayList<>();

    @BeforeEach void start() throws Exception {
        dispatcher = new InProcessDispatcher();
    }

    @AfterEach void stop() throws IOException {
        for (Client client : crowd) {
            client.close();
        }
        dispatcher.close();
    }

    /** Connects and sends a request that waits in the queue for {@link #PAUSE_MILLIS}. */
    private Client sendIntoQueue(String timeout) throws Exception {
        dispatcher.runOnEventLoop(dispatcher.frontend::handOver);
        Client client = dispatcher.client().send(Client.request("/preview", timeout, "", ""));
        TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);   // how long the request waits
        dispatcher.runOnEventLoop(dispatcher.frontend::cancelHandover);
        return client;
    }

    /** Guards against a deadline that counts from when the request was read: backends were told more time than was left. */
    @Test void deadlineCountsFromBeforeTheWaitInTheQueue() throws Exception {
        try (Client client = sendIntoQueue("2000m")) {
            long requestId = dispatcher.awaitRequest();
            long remainingMicros = remainingMicros();
            assertTrue(remainingMicros < 1_600_000, "0.4 s of 2 s have passed, but " + remainingMicros + " us are left");
            dispatcher.runOnEventLoop(() -> dispatcher.engine.refuse(requestId, 0));
            assertEquals(503, client.read().status());
        }
    }

    /** Guards against an attempt for a client that has given up: the request is refused as soon as it is read. */
    @Test void requestWhoseTimeHasPassedInTheQueueIsRefused() throws Exception {
        try (Client client = sendIntoQueue("200m")) {
            assertEquals(503, client.read().status());
            assertFalse(dispatcher.hasRequest(), "no backend is tried");
        }
    }

    /** The process that has accepted meanwhile says that nobody has waited longer than that: its word is used. */
    @Test void waitCountsFromTheWordOfTheOtherProcess() throws Exception {
        dispatcher.runOnEventLoop(dispatcher.frontend::handOver);
        TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);   // how long the other process accepts
        dispatcher.runOnEventLoop(() -> dispatcher.frontend.otherProcessReportsQueue(dispatcher.nowMicros()));
        try (Client client = dispatcher.client()) {
            client.send(Client.request("/preview", "2000m", "", ""));
            dispatcher.runOnEventLoop(dispatcher.frontend::cancelHandover);
            dispatcher.awaitRequest();
            assertHasWholeTime();
        }
    }

    /** Guards against a client that connects early: what it sends after the connection was accepted has not waited. */
    @Test void requestThatIsSentAfterTheWaitHasItsWholeTime() throws Exception {
        dispatcher.runOnEventLoop(dispatcher.frontend::handOver);
        try (Client client = dispatcher.client()) {
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);   // how long the connection waits
            dispatcher.runOnEventLoop(dispatcher.frontend::cancelHandover);
            Await.until("the connection is accepted", () -> dispatcher.clientConnections() == 1);
            CountDownLatch inputRead = new CountDownLatch(1);
            dispatcher.runOnEventLoop(() -> dispatcher.deadlines.scheduleAfterNextRound(inputRead::countDown));
            inputRead.await();
            assertNextRequestHasItsWholeTime(client);
        }
    }

    /** A wait that is over is not charged to later connections, or to later requests of a connection that has waited. */
    @Test void laterRequestsHaveTheirWholeTime() throws Exception {
        try (Client waited = sendIntoQueue("2000m")) {
            long firstId = dispatcher.awaitRequest();
            dispatcher.runOnEventLoop(() -> dispatcher.engine.refuse(firstId, 0));
            assertEquals(503, waited.read().status());
            assertNextRequestHasItsWholeTime(waited);
            try (Client later = dispatcher.client()) {
                assertNextRequestHasItsWholeTime(later);
            }
        }
    }

    /** Guards against requests that wait behind idle connections until their time is over. */
    @Test void requestBehindIdleCrowdIsTakenInTime() throws Exception {
        connectCrowd("");
        assertNextRequestIsTakenAndAnsweredInTime();
    }

    /** Guards against the same behind connections that stop in the middle of a request. */
    @Test void requestBehindHalfSentCrowdIsTakenInTime() throws Exception {
        connectCrowd("POST /preview HTTP/1.1\r\nHost: x\r\n");
        assertNextRequestIsTakenAndAnsweredInTime();
    }

    /** Guards against the same behind connections that bring one byte after the other. */
    @Test void requestBehindTricklingCrowdIsTakenInTime() throws Exception {
        Thread trickle = new Thread(() -> {
            while (!Thread.currentThread().isInterrupted()) {
                crowd.forEach(AcceptQueueIT::sendOneByte);
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(50));
            }
        });
        connectCrowd("POST /preview HTTP/1.1\r\nX-A: ");
        trickle.start();
        try {
            assertNextRequestIsTakenAndAnsweredInTime();
        } finally {
            trickle.interrupt();
            trickle.join();
        }
    }

    private static void sendOneByte(Client client) {
        try {
            client.send("a");
        } catch (IOException e) {
            // expected: the connection was evicted
        }
    }

    /** Fills all places and the queue with connections that send this text each. */
    private void connectCrowd(String text) throws IOException {
        for (int i = 0; i < CROWD_SIZE; i++) {
            crowd.add(dispatcher.client().send(text));
        }
    }

    private void assertNextRequestIsTakenAndAnsweredInTime() throws Exception {
        try (Client client = dispatcher.client()) {
            long sentNanos = System.nanoTime();
            client.send(Client.request("/preview", CLIENT_TIMEOUT_MILLIS + "m", "", ""));
            long requestId = dispatcher.awaitRequest();
            dispatcher.runOnEventLoop(() -> dispatcher.engine.refuse(requestId, 0));
            assertEquals(503, client.read().status());
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
            assertTrue(millis < CLIENT_TIMEOUT_MILLIS + LOST_AFTER_MILLIS, "answered after " + millis + " ms");
        }
    }

    private void assertNextRequestHasItsWholeTime(Client client) throws Exception {
        client.send(Client.request("/preview", "2000m", "", ""));
        dispatcher.awaitRequest();
        assertHasWholeTime();
    }

    private void assertHasWholeTime() throws Exception {
        long remainingMicros = remainingMicros();
        assertTrue(remainingMicros > 1_700_000, "only " + remainingMicros + " us of 2 s are left");
    }

    /** Returns the time that the last request had left when the policy received it. */
    private long remainingMicros() throws Exception {
        long[] remainingMicros = new long[1];
        dispatcher.runOnEventLoop(() -> remainingMicros[0] = dispatcher.lastRemainingMicros());
        return remainingMicros[0];
    }
}

package badgermux.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.front.RequestValidator;
import badgermux.http.MessageHead;
import badgermux.metrics.Metrics.Count;
import java.io.IOException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Checks that a request ends at its deadline, or when its client disconnects, wherever it waits. */
@Timeout(60)
class RequestLifetimeIT {
    /** Marks a request that {@link HoldingValidator} holds until the test decides about it. */
    private static final String HELD_PATH = "/preview/held";

    /** By the protocol an answer is lost if it comes later than this after the client's time. */
    private static final int LOST_AFTER_MILLIS = 500;
    private static final int WAIT_MILLIS = 400;
    /** How long after SIGTERM the last answers are given, with classes of 5 s: 0.4 s before SIGKILL. */
    private static final long FINAL_ANSWER_DELAY_MICROS = 3_300_000;

    /** Accepts requests at once, except those to {@link #HELD_PATH}. */
    private static final class HoldingValidator implements RequestValidator {
        private final BlockingQueue<Callback> held = new LinkedBlockingQueue<>();
        private final AtomicInteger cancelled = new AtomicInteger();

        @Override public Validation validate(String method, String target, MessageHead head, byte[] body, Callback callback) {
            if (target.equals(HELD_PATH)) {
                held.add(callback);
                return cancelled::incrementAndGet;
            }
            callback.onAccepted(null);
            return null;
        }

        Callback awaitHeld() throws InterruptedException {
            Callback callback = held.poll(FakeServer.TIMEOUT_SECONDS, TimeUnit.SECONDS);
            if (callback == null) {
                throw new AssertionError("no request held in time");
            }
            return callback;
        }
    }

    private final HoldingValidator validator = new HoldingValidator();
    private InProcessDispatcher dispatcher;
    private Client client;

    @BeforeEach void start() throws Exception {
        dispatcher = new InProcessDispatcher(validator);
        client = dispatcher.client();
    }

    @AfterEach void stop() throws IOException {
        client.close();
        dispatcher.close();
    }

    /** Refuses the next request while the policy receives it. */
    private void refuseNextRequest() {
        dispatcher.onRequestReceived = () -> {
            dispatcher.onRequestReceived = () -> { };
            dispatcher.engine.refuse(dispatcher.lastRequestId(), 0);
        };
    }

    /** Guards against a disconnect that ends the request before the open one: the open one was sent to backends afterwards. */
    @Test void disconnectEndsRequestTakenBehindRefusedOne() throws Exception {
        client.send(Client.request(HELD_PATH, "5000m", "", "") + Client.request("/preview", "5000m", "", ""));
        RequestValidator.Callback first = validator.awaitHeld();
        dispatcher.runOnEventLoop(() -> {
            refuseNextRequest();
            first.onAccepted(null);
        });
        assertEquals(503, client.read().status());
        dispatcher.awaitRequest();
        dispatcher.awaitRequest();
        client.close();
        Await.until("the end of the second request", () -> dispatcher.counterValue(Count.CLIENTS_GONE) == 1);
        dispatcher.runOnEventLoop(() -> assertEquals(0, dispatcher.engine.openRequestCount()));
    }

    /** Guards against a request that waits for its validation without a deadline: it was answered late or never. */
    @Test void answersAtDeadlineWhileValidationIsPending() throws Exception {
        long startNanos = System.nanoTime();
        client.send(Client.request(HELD_PATH, "300m", "", ""));
        validator.awaitHeld();
        assertEquals(503, client.read().status());
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertTrue(millis < 300 + LOST_AFTER_MILLIS, "answered after " + millis + " ms");
        assertEquals(1, validator.cancelled.get());
        assertEquals(200, client.get("/healthz").status(), "the connection stays usable");
    }

    /** Guards against a validation that goes on for a client that has left. */
    @Test void disconnectCancelsValidation() throws Exception {
        client.send(Client.request(HELD_PATH, "5000m", "", ""));
        validator.awaitHeld();
        client.close();
        Await.until("the validation is cancelled", () -> validator.cancelled.get() == 1);
    }

    /** Guards against a request that waits for its validation past the last answers of a process that ends. */
    @Test void answersBeforeExitWhileValidationIsPending() throws Exception {
        client.send(Client.request(HELD_PATH, "5000m", "", ""));
        validator.awaitHeld();
        dispatcher.runOnEventLoop(() ->
            dispatcher.frontend.drain(dispatcher.nowMicros() - FINAL_ANSWER_DELAY_MICROS + 100_000, () -> { }));
        long startNanos = System.nanoTime();
        assertEquals(503, client.read().status());
        assertTrue(System.nanoTime() - startNanos < 400_000_000L, "before SIGKILL");
    }

    /** Guards against a deadline that starts anew with each input: what waited behind other requests was given too much time. */
    @Test void deadlineCountsWhileInputWaitsBehindOtherRequests() throws Exception {
        client.send(Client.request("/preview", "5000m", "", "") + Client.request("/preview", "5000m", "", "")
            + Client.request("/preview", "2000m", "", ""));
        long first = dispatcher.awaitRequest();
        TimeUnit.MILLISECONDS.sleep(WAIT_MILLIS);     // how long the third request waits
        client.send("POST /pre");
        dispatcher.awaitInputRead();
        dispatcher.runOnEventLoop(() -> dispatcher.engine.refuse(first, 0));
        assertEquals(503, client.read().status());
        long second = dispatcher.awaitRequest();
        dispatcher.runOnEventLoop(() -> dispatcher.engine.refuse(second, 0));
        assertEquals(503, client.read().status());
        dispatcher.awaitRequest();
        dispatcher.runOnEventLoop(() -> assertTrue(dispatcher.lastRemainingMicros() < (2_000 - WAIT_MILLIS) * 1000L,
            dispatcher.lastRemainingMicros() + " us are left"));
    }
}

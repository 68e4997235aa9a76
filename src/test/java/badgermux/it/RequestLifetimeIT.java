package badgermux.it;

import static org.junit.jupiter.api.Assertions.assertEquals;

import badgermux.front.RequestValidator;
import badgermux.http.MessageHead;
import badgermux.metrics.Metrics.Count;
import java.io.IOException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Checks that a request ends at its deadline, or when its client disconnects, wherever it waits. */
@Timeout(60)
class RequestLifetimeIT {
    /** Marks a request that {@link HoldingValidator} holds until the test decides about it. */
    private static final String HELD_PATH = "/preview/held";

    /** Accepts requests at once, except those to {@link #HELD_PATH}. */
    private static final class HoldingValidator implements RequestValidator {
        private final BlockingQueue<Callback> held = new LinkedBlockingQueue<>();

        @Override public void validate(String method, String target, MessageHead head, byte[] body, Callback callback) {
            if (target.equals(HELD_PATH)) {
                held.add(callback);
            } else {
                callback.onAccepted(null);
            }
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
}

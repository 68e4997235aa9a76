package badgermux.gate;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.contract.ApiDescription;
import badgermux.contract.ContractSet;
import badgermux.contract.Document;
import badgermux.front.RequestValidator;
import badgermux.http.InvalidMessageException;
import badgermux.http.MessageHead;
import badgermux.http.MessageReader;
import badgermux.http.ResponseContract;
import badgermux.metrics.Metrics;
import badgermux.metrics.Metrics.Count;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Checks that a validation which is not needed any more is not carried out. */
@Timeout(30)
class CancelledValidationTest {
    private static final String DESCRIPTION = """
        openapi: 3.1.0
        info: {title: t, version: '1'}
        paths: {/preview: {post: {requestBody: {content: {application/json: {schema: {type: object}}}},
          responses: {'200': {description: d}}}}}
        """;
    private static final int THREADS = 2;

    /** Collects the kinds of the results. */
    private static final class Results implements RequestValidator.Callback {
        private final List<String> kinds = new ArrayList<>();

        @Override public void onAccepted(ResponseContract contract) {
            kinds.add("accepted");
        }

        @Override public void onRejected(int status, String reason, String headers, byte[] body) {
            kinds.add("rejected " + status);
        }

        @Override public void onOverloaded() {
            kinds.add("overloaded");
        }
    }

    private final Metrics metrics = new Metrics(List.of());
    private final BlockingQueue<Runnable> reports = new LinkedBlockingQueue<>();
    /** A thread of the pool that has validated a request waits for a permit to go on. */
    private final Semaphore threadsMayGoOn = new Semaphore(0);
    private final Results results = new Results();

    private static ContractSet contracts() throws Exception {
        return ContractSet.of(1, List.of(ApiDescription.compile("d",
            Document.read("d.yaml", DESCRIPTION.getBytes(StandardCharsets.UTF_8)), List.of())), false);
    }

    private static MessageHead head() throws InvalidMessageException {
        MessageHead[] parsed = new MessageHead[1];
        new MessageReader(false, 0, new MessageReader.Listener() {
            @Override public void onHead(MessageHead head) {
                parsed[0] = head;
            }

            @Override public void onBody(byte[] bytes) { }
        }).read(Unpooled.copiedBuffer("POST /preview HTTP/1.1\r\nContent-Type: application/json\r\n\r\n",
            StandardCharsets.US_ASCII));
        return parsed[0];
    }

    private RequestValidator.Validation validateLargeBody(ContractValidator validator) throws InvalidMessageException {
        byte[] body = ("{\"a\":\"" + "x".repeat(ContractValidator.MAX_EVENT_LOOP_BODY_BYTES) + "\"}")
            .getBytes(StandardCharsets.US_ASCII);
        return validator.validate("POST", "/preview", head(), body, results);
    }

    /** Guards against requests of clients that have left, which held the memory and the threads of the validations behind them. */
    @Test void cancelledValidationIsTakenFromTheQueueAndReportsNothing() throws Exception {
        ContractValidator validator = new ContractValidator(report -> {
            reports.add(report);
            threadsMayGoOn.acquireUninterruptibly();
        }, metrics, contracts());
        List<RequestValidator.Validation> validations = new ArrayList<>();
        for (int i = 0; i < THREADS + 2; i++) {
            validations.add(validateLargeBody(validator));
        }
        List<Runnable> firstReports = new ArrayList<>();
        for (int i = 0; i < THREADS; i++) {
            firstReports.add(reports.poll(10, TimeUnit.SECONDS));
        }
        assertFalse(firstReports.contains(null), "both threads have validated a request");
        validations.get(0).cancel();
        validations.get(THREADS).cancel();
        assertEquals(1, metrics.get(Count.CONTRACT_CANCELLED), "one of the two had not begun");
        threadsMayGoOn.release(THREADS + 2);
        firstReports.add(reports.poll(10, TimeUnit.SECONDS));
        firstReports.forEach(Runnable::run);
        assertEquals(List.of("accepted", "accepted"), results.kinds);
        assertTrue(reports.isEmpty());
    }
}

package badgermux.it;

import static badgermux.it.Program.member;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs the packaged program with clients that send a request under the same id again. */
@Timeout(60)
class RepeatedRequestIT {
    private static final int CLIENTS_THAT_LEAVE = 10;
    /** Together 250 KB: a quarter of what may wait behind an open request. */
    private static final int REQUESTS_SENT_AHEAD = 2_000;
    /** By the rules on sockets, no attempt begins more than 0.1 s after its client has left, and 50 ms for the way. */
    private static final long MAX_MICROS_AFTER_CLOSE = 150_000;

    @TempDir private Path folder;
    private FakeServer eastBackend;
    private FakeServer westBackend;
    private Program program;

    @BeforeEach void start() throws IOException {
        eastBackend = new FakeServer();
        westBackend = new FakeServer();
        program = new Program(folder, member("s-1", eastBackend, "east", "SERVING") + ","
            + member("s-2", westBackend, "west", "SERVING"));
    }

    @AfterEach void stop() throws IOException {
        program.close();
        eastBackend.close();
        westBackend.close();
    }

    private static String keyedRequest(String path) {
        return Client.request(path, "5000m", "Idempotency-Key: k\r\n", "");
    }

    /** Sends a request, and closes the connection once a backend runs it. */
    private void leaveWhileRunning(String request) throws IOException {
        Client client = program.client().send(request);
        Await.nextExchange(eastBackend, westBackend).sendStarted();
        client.close();
        Await.until("the client is counted as gone", () -> program.counterValue("clients_gone") == 1);
    }

    private void assertIsNotSentAgain(String request) throws IOException {
        try (Client client = program.client().send(request)) {
            assertEquals(409, client.read().status());
        }
        assertNull(eastBackend.poll());
        assertNull(westBackend.poll());
    }

    /** Guards against a second run of a request whose client has left and comes again: of a class once, or in the other zone. */
    @ParameterizedTest @ValueSource(strings = {"/pay", "/publish"})
    void requestOfClientThatHasLeftIsNotSentAgain(String path) throws IOException, InterruptedException {
        String request = keyedRequest(path);
        leaveWhileRunning(request);
        assertIsNotSentAgain(request);
        assertEquals(1, program.counterValue("ids_repeated"));
    }

    /** The same where the only attempt has broken off, so that nothing is out when the client leaves. */
    @Test void requestThatMayHaveRunIsNotSentAgainAfterItsFailure() throws IOException, InterruptedException {
        String request = keyedRequest("/pay");
        try (Client client = program.client().send(request)) {
            Await.nextExchange(eastBackend, westBackend).sendStarted().reset();
            assertEquals(500, client.read().status());
        }
        assertIsNotSentAgain(request);
    }

    @Test void requestThatHasNotRunMayComeAgain() throws IOException, InterruptedException {
        String request = keyedRequest("/pay");
        try (Client client = program.client().send(request)) {
            for (int attempt = 0; attempt < 3; attempt++) {
                Await.nextExchange(eastBackend, westBackend).reply("503 Busy\r\nX-Not-Processed: 1", "");
            }
            assertEquals(503, client.read().status());
            client.send(request);
            Await.nextExchange(eastBackend, westBackend).sendResult("r");
            assertEquals("r", client.read().body());
        }
    }

    @Test void repeatableRequestIsSentAgain() throws IOException, InterruptedException {
        String request = keyedRequest("/preview");
        leaveWhileRunning(request);
        try (Client client = program.client().send(request)) {
            Await.nextExchange(eastBackend, westBackend).sendResult("r");
            assertEquals("r", client.read().body());
        }
    }

    /**
     * Guards against requests that are sent on for clients which have left: a client that closes with much unread behind its
     * open request is noticed as soon as others are.
     */
    @Test void requestsSentAheadAreNotSentOnAfterTheClose() throws IOException, InterruptedException {
        AtomicLong lastAttemptNanos = new AtomicLong(System.nanoTime());
        for (FakeServer backend : List.of(eastBackend, westBackend)) {
            Thread serving = new Thread(() -> {
                try {
                    while (true) {
                        FakeServer.Exchange exchange = backend.take();
                        lastAttemptNanos.set(System.nanoTime());
                        exchange.sendResult("r");
                    }
                } catch (IOException | InterruptedException | AssertionError e) {
                    // the test has ended
                }
            });
            serving.setDaemon(true);
            serving.start();
        }
        StringBuilder requests = new StringBuilder();
        long latestMicros = 0;
        for (int i = 0; i < CLIENTS_THAT_LEAVE; i++) {
            requests.setLength(0);
            for (int j = 0; j < REQUESTS_SENT_AHEAD; j++) {
                requests.append(Client.requestWithId(Client.nextMassRequestId(), "/preview", "5000m", "", ""));
            }
            Client client = program.client().send(requests.toString());
            client.close();
            long closedNanos = System.nanoTime();
            // This client's connection is the only one left.
            Await.until("the client is gone", () -> program.counterValue("client_connections_open") == 1);
            latestMicros = Math.max(latestMicros, TimeUnit.NANOSECONDS.toMicros(lastAttemptNanos.get() - closedNanos));
        }
        assertTrue(latestMicros <= MAX_MICROS_AFTER_CLOSE, "an attempt began " + latestMicros + " us after the close");
    }
}

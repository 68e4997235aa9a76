package badgermux.it;

import static badgermux.it.Program.member;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Runs the packaged program with one client that sends at full speed on one connection, beside clients that behave. */
@Timeout(60)
class ClientFloodIT {
    private static final int SOUND_REQUESTS = 40;
    private static final int SOUND_INTERVAL_MILLIS = 50;
    /** The users want a preview within 600 ms beside its running time, and the backend answers at once. */
    private static final int MAX_ANSWER_MILLIS = 600;

    /** By the terms, an answer is lost if it comes later than this after its client's time. */
    private static final int LOST_AFTER_MILLIS = 500;
    /** Requests on a connection ahead of their answers, far fewer than are rejected. */
    private static final int SENT_AHEAD = 500;

    @TempDir private Path folder;
    private FakeServer backend;
    private Program program;

    @BeforeEach void start() throws IOException {
        backend = new FakeServer();
        program = Program.startWithConsole(folder, member("s-1", backend, "east", "SERVING"), 1024);
        Daemon.start(() -> backend.answerAll("r"));
        // Compiles and loads what the first requests need.
        for (int i = 0; i < 100; i++) {
            try (Client client = program.client()) {
                assertEquals(200, client.post("/preview").status());
            }
        }
    }

    @AfterEach void stop() throws IOException {
        program.close();
        backend.close();
    }

    /** Sends and reads without a pause on one connection after another, until the program ends. */
    private void startFlood(Supplier<String> requests) {
        Daemon.start(() -> {
            while (program.process.isAlive()) {
                try (Client client = program.client()) {
                    Daemon.start(client::readAll);
                    while (true) {
                        client.send(requests.get());
                    }
                } catch (IOException e) {
                    // closed by the program: connects again
                }
            }
        });
    }

    /** Checks that clients that behave get their answers at once, and that the memory of clients stays within its bound. */
    private void assertOthersAreAnsweredAtOnce() throws IOException, InterruptedException {
        long slowestMillis = 0;
        for (int i = 0; i < SOUND_REQUESTS; i++) {
            long startNanos = System.nanoTime();
            try (Client client = program.client()) {
                assertEquals(200, client.post("/preview").status());
            }
            slowestMillis = Math.max(slowestMillis, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
            TimeUnit.MILLISECONDS.sleep(SOUND_INTERVAL_MILLIS);
        }
        assertTrue(slowestMillis <= MAX_ANSWER_MILLIS, "the slowest answer took " + slowestMillis + " ms");
        assertEquals(0, program.counterValue("exceptions"));
    }

    /** Guards against requests that are answered at once and handled as long as there is input: the others waited. */
    @Test void requestsAnsweredAtOnceDoNotHoldUpOthers() throws IOException, InterruptedException {
        startFlood(() -> "GET /none HTTP/1.1\r\nHost: h\r\n\r\n".repeat(1_000));
        assertOthersAreAnsweredAtOnce();
    }

    /** The same with large answers. */
    @Test void metricsDoNotHoldUpOthers() throws IOException, InterruptedException {
        startFlood(() -> "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n".repeat(1_000));
        assertOthersAreAnsweredAtOnce();
    }

    /** The same with requests to unknown paths under ever new names and ids, each of which ends its connection. */
    @Test void unsoundRequestsUnderNewNamesDoNotHoldUpOthers() throws IOException, InterruptedException {
        startFlood(() -> {
            String id = Client.nextMassRequestId();
            return "POST /class" + id + " HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + id + "\r\nX-Tenant-Id: t" + id
                + "\r\nContent-Length: 0\r\n\r\n";
        });
        assertOthersAreAnsweredAtOnce();
    }

    private static String soundRequests(int count) {
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < count; i++) {
            String id = Client.nextMassRequestId();
            requests.append(Client.requestWithId(id, "/preview", "5000m", "X-Tenant-Id: t" + id + "\r\n", ""));
        }
        return requests.toString();
    }

    /** The same with sound requests under ever new names, all sent ahead. */
    @Test void requestsSentAheadDoNotHoldUpOthers() throws IOException, InterruptedException {
        startFlood(() -> soundRequests(100));
        assertOthersAreAnsweredAtOnce();
    }

    /** The same with sound requests under ever new names, 500 of which are sent ahead of their answers. */
    @Test void requestsSentAheadInBatchesDoNotHoldUpOthers() throws IOException, InterruptedException {
        Daemon.start(() -> {
            try (Client client = program.client()) {
                while (program.process.isAlive()) {
                    client.send(soundRequests(SENT_AHEAD));
                    for (int i = 0; i < SENT_AHEAD; i++) {
                        client.read();
                    }
                }
            }
        });
        assertOthersAreAnsweredAtOnce();
    }

    /**
     * A client that sends ahead without end is cut off, and comes again. Its requests are sound and load the backend, so that others
     * may be refused; but they get their answers in time.
     */
    @Test void othersGetAnswersWhileClientIsCutOffAgainAndAgain() throws IOException, InterruptedException {
        startFlood(() -> soundRequests(SENT_AHEAD));
        Await.until("the client is cut off", () -> program.counterValue("bad_messages") > 0);
        List<Client> others = new ArrayList<>();
        long startNanos = System.nanoTime();
        for (int i = 0; i < 10; i++) {
            others.add(program.client().send(Client.request("/preview", "5000m", "", "b")));
        }
        for (Client client : others) {
            int status = client.read().status();
            assertTrue(status == 200 || status == 503, "status " + status);
            client.close();
        }
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertTrue(millis <= 5_000 + LOST_AFTER_MILLIS, "the last answer took " + millis + " ms");
    }
}

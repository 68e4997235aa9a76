package badgermux.it;

import static badgermux.it.Program.member;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Runs the packaged program with crowds of clients that make it hold as much as they can, beside a client that behaves. */
@Timeout(60)
class ClientMemoryIT {
    /** Fewer than the connections that are served at once with 1,024 descriptors. */
    private static final int CROWD_SIZE = 300;
    /** The memory limit of the deployment. */
    private static final long MAX_PROCESS_KB = 192 * 1024;
    /** How many fields of four bytes a head of the longest size can hold beside the usual ones. */
    private static final int SHORT_FIELDS = 4_000;
    /** How many clients of the crowd send at the same time. */
    private static final int SENDERS = 16;

    @TempDir private Path folder;
    /** Begins with the requests of the crowd, and does not end them. */
    private FakeServer crowdBackend;
    /** Answers the requests of other clients. */
    private FakeServer backend;
    private Program program;
    private final List<Client> crowd = new ArrayList<>();
    private ExecutorService senders;

    @BeforeEach void start() throws IOException {
        crowdBackend = new FakeServer();
        backend = new FakeServer();
        program = Program.startWithConsole(folder, member("s-1", crowdBackend, "east", "SERVING") + ","
            + member("s-2", backend, "east", "SERVING"), 1024);
        assertEquals("200 out: s-2\n", program.callConsole("OFFLINE s-2"));
        senders = Executors.newFixedThreadPool(SENDERS, task -> {
            Thread thread = new Thread(task, "crowd");
            thread.setDaemon(true);
            return thread;
        });
    }

    @AfterEach void stop() throws IOException {
        senders.shutdownNow();
        for (Client client : crowd) {
            client.close();
        }
        program.close();
        crowdBackend.close();
        backend.close();
    }

    /** Starts each request that comes to the backend of the crowd. */
    private void startCrowdRequests() throws InterruptedException {
        while (true) {
            FakeServer.Exchange exchange = crowdBackend.poll();
            if (exchange == null) {
                TimeUnit.MILLISECONDS.sleep(1);
                continue;
            }
            try {
                exchange.sendStarted();
            } catch (IOException e) {
                // the request has ended meanwhile
            }
        }
    }

    /** Connects a crowd each of whose clients sends a text; a client that is closed by the program sends no more. */
    private void sendFromCrowd(int size, String text) throws IOException, InterruptedException {
        Daemon.start(this::startCrowdRequests);
        for (int i = 0; i < size; i++) {
            Client client = program.client();
            crowd.add(client);
            String own = text.replace("$id", Client.nextRequestId());
            senders.execute(() -> {
                try {
                    client.send(own);
                } catch (IOException e) {
                    // closed by the program
                }
            });
        }
        senders.shutdown();
        assertTrue(senders.awaitTermination(30, TimeUnit.SECONDS), "the crowd has sent all that the program reads");
    }

    /** Checks that clients that behave are answered, and that the process has kept to its limit. */
    private void assertOthersAreServed() throws IOException, InterruptedException {
        assertOthersAreServed("sound");
    }

    /**
     * The same with this body in the requests. They have a backend of their own: at that of the crowd, whose requests all stay
     * open, they would rightly be held, for as long as its queue seems to take by the run times seen before.
     */
    private void assertOthersAreServed(String body) throws IOException, InterruptedException {
        assertEquals("200 back: s-2\n", program.callConsole("ONLINE s-2"));
        assertEquals("200 out: s-1\n", program.callConsole("OFFLINE s-1"));
        for (int i = 0; i < 20; i++) {
            String id = Client.nextRequestId();
            try (Client other = program.client().send(Client.requestWithId(id, "/preview", "5000m", "", body))) {
                FakeServer.Exchange exchange = backend.take();
                while (!id.equals(exchange.header("X-Request-ID"))) {
                    exchange = backend.take();
                }
                exchange.sendResult("r");
                assertEquals(200, other.read().status());
            }
        }
        assertMemoryIsKept();
    }

    private void assertMemoryIsKept() throws IOException {
        assertEquals(0, program.counterValue("exceptions"));
        assertTrue(peakMemoryKb() <= MAX_PROCESS_KB, peakMemoryKb() + " kB at the peak");
    }

    /** Returns the peak of the process's resident memory. */
    private long peakMemoryKb() throws IOException {
        return Files.readAllLines(Path.of("/proc/" + program.process.pid() + "/status")).stream()
            .filter(line -> line.startsWith("VmHWM:")).mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
            .findFirst().orElseThrow();
    }

    /** Guards against input that is kept behind a request with Connection: close: it filled the heap. */
    @Test void inputBehindLastRequestIsNotKept() throws IOException, InterruptedException {
        sendFromCrowd(CROWD_SIZE, "POST /preview HTTP/1.1\r\nHost: h\r\nX-Request-ID: $id\r\nConnection: close\r\n"
            + "Content-Length: 0\r\n\r\n" + "x".repeat(900_000));
        assertOthersAreServed();
    }

    private static String shortFields(int count) {
        return "a:\r\n".repeat(count);
    }

    /** Guards against heads kept as objects: a field of four bytes took many times its size, and a crowd of them the heap. */
    @Test void headsOfShortFieldsBehindHalfABodyAreHeldAsTheyCame() throws IOException, InterruptedException {
        sendFromCrowd(CROWD_SIZE, "POST /preview HTTP/1.1\r\nHost: h\r\nX-Request-ID: $id\r\nContent-Length: 60000\r\n"
            + shortFields(SHORT_FIELDS) + "\r\n" + "x".repeat(30_000));
        assertOthersAreServed();
    }

    /** The same while the requests wait for their answers. */
    @Test void headsOfShortFieldsOfOpenRequestsAreHeldAsTheyCame() throws IOException, InterruptedException {
        sendFromCrowd(CROWD_SIZE, "POST /preview HTTP/1.1\r\nHost: h\r\nX-Request-ID: $id\r\nContent-Length: 0\r\n"
            + shortFields(SHORT_FIELDS) + "\r\n");
        // The only backend has more to do than it can, so that others may be refused.
        for (int i = 0; i < 20; i++) {
            try (Client other = program.client()) {
                assertEquals(200, other.get("/healthz").status());
            }
        }
        assertMemoryIsKept();
    }

    /** Guards against uploads that stop half way and hold all memory that there is for bodies: others were refused. */
    @Test void stalledUploadsTurnNobodyAway() throws IOException, InterruptedException {
        sendFromCrowd(CROWD_SIZE, "POST /preview HTTP/1.1\r\nHost: h\r\nX-Request-ID: $id\r\nContent-Length: 65536\r\n\r\n"
            + "x".repeat(60_000));
        assertOthersAreServed("x".repeat(60_000));
    }

    /** Guards against answers that clients do not read, which filled the heap. */
    @Test void answersThatAreNotReadAreBounded() throws IOException, InterruptedException {
        sendFromCrowd(CROWD_SIZE / 10, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n".repeat(20_000));
        assertOthersAreServed();
    }
}

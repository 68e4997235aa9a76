package badgermux.it;

import static badgermux.it.Program.member;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.it.FakeDiscovery.Mode;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The built program under the system's limit of file descriptors, while many connections take every descriptor they can get. */
@Timeout(90)
class DescriptorLimitIT {
    /** The least number that a configuration may allow; the system's limit is the same. */
    private static final int DESCRIPTORS = 128;
    /** How long it may take until discovery is called with the new revision. */
    private static final long MAX_RECOVERY_MILLIS = 6_000;
    /** Far more than the limit of client connections. */
    private static final int IDLE_CLIENTS = 150;
    /** Far more than the limit of console connections. */
    private static final int IDLE_CONSOLE_CONNECTIONS = 8;
    /** Far more than the limit of backend connections. */
    private static final int CLIENTS_WITH_REQUESTS = 40;
    /** Fewer than the descriptor budget of {@link #DESCRIPTORS} uses. */
    private static final int INSUFFICIENT_DESCRIPTORS = 100;
    /** Fewer than the limit of client connections needs. */
    private static final int DESCRIPTORS_BELOW_CLIENT_LIMIT = 48;
    private static final int CONSOLE_CALLS = 20;
    private static final int CLIENT_TIMEOUT_MILLIS = 2_000;
    /** By the protocol an answer is lost if it comes later than this after the client's time. */
    private static final int LOST_AFTER_MILLIS = 500;
    /** The result that the added backend responds with. */
    private static final String JOINED_RESULT = "joined";
    /** Failed calls to discovery after which the connections are taken to hold all descriptors that they can get. */
    private static final int MIN_DISCOVERY_FAILURES = 5;

    @TempDir private Path folder;
    private FakeServer drainedBackend;
    private FakeServer joinedBackend;
    private FakeDiscovery discovery;
    private Program program;
    private final List<RepeatingThreads> repeatingThreads = new ArrayList<>();
    private final List<String> logLines = Collections.synchronizedList(new ArrayList<>());

    @BeforeEach void setUp() throws IOException {
        drainedBackend = new FakeServer();
        joinedBackend = new FakeServer();
        discovery = new FakeDiscovery();
    }

    /** Starts the program with this limit by the system; its configuration says {@link #DESCRIPTORS}. */
    private void startProgram(int descriptors) throws IOException {
        program = Program.startWithDiscovery(discovery.address(), "ulimit -n " + descriptors + " && " + Program.runCommand(),
            folder, member("s-1", drainedBackend, "east", "SERVING"), DESCRIPTORS, Program.SETTINGS);
        Thread reader = new Thread(() -> {
            try {
                for (String line = program.readLogLine(); line != null; line = program.readLogLine()) {
                    logLines.add(line);
                }
            } catch (IOException e) {
                // the program has exited
            }
        });
        reader.setDaemon(true);
        reader.start();
    }

    private void startRepeating(int count, RepeatingThreads.Action action) {
        repeatingThreads.add(new RepeatingThreads(count, action));
    }

    @AfterEach void tearDown() throws IOException {
        repeatingThreads.forEach(RepeatingThreads::close);
        program.close();
        discovery.close();
        drainedBackend.close();
        joinedBackend.close();
    }

    /** Threads that repeat one action until they are closed. */
    private static final class RepeatingThreads {
        interface Action {
            void perform() throws IOException;
        }

        private volatile boolean isClosed;

        RepeatingThreads(int count, Action action) {
            for (int i = 0; i < count; i++) {
                Thread thread = new Thread(() -> repeat(action));
                thread.setDaemon(true);
                thread.start();
            }
        }

        private void repeat(Action action) {
            while (!isClosed) {
                try {
                    action.perform();
                } catch (IOException | AssertionError e) {
                    // refused or evicted: the next try follows
                }
            }
        }

        void close() {
            isClosed = true;
        }
    }

    private boolean isLogged(String text) {
        synchronized (logLines) {
            return logLines.stream().anyMatch(line -> line.contains(text));
        }
    }

    private long openDescriptorCount() throws IOException {
        try (Stream<Path> open = Files.list(Path.of("/proc", String.valueOf(program.process.pid()), "fd"))) {
            return open.count();
        }
    }

    /** Whether a client gets the result of the added backend; false if it is refused for lack of descriptors. */
    private boolean isServedByJoinedBackend() {
        try (Client client = program.client()) {
            Client.Response response = client.send(Client.request("/preview", "5000m", "", "")).read();
            return response.status() == 200 && response.body().equals(JOINED_RESULT);
        } catch (IOException | AssertionError e) {
            return false;   // the connection was closed without a response
        }
    }

    /** Keeps opening idle clients, idle console connections, and clients whose requests get no response. */
    private void fillAllConnectionLimits() throws IOException {
        startRepeating(IDLE_CLIENTS, () -> {
            try (Client client = program.client()) {
                client.isClosedByServer();
            }
        });
        startRepeating(IDLE_CONSOLE_CONNECTIONS, () -> {
            try (Socket console = program.consoleSocket()) {
                console.getInputStream().read();
            }
        });
        startRepeating(CLIENTS_WITH_REQUESTS, () -> {
            try (Client client = program.client()) {
                client.send(Client.request("/preview", "5000m", "", "")).read();
            }
        });
    }

    /** Makes discovery fail and connections take all descriptors they can get. */
    private void fillConnectionLimitsWhileDiscoveryFails() throws IOException, InterruptedException {
        discovery.awaitCalls(Mode.NORMAL, 1);
        discovery.failWith(Mode.RESET);
        fillAllConnectionLimits();
        Await.until("requests at the draining backend", () -> drainedBackend.queuedCount() >= CLIENTS_WITH_REQUESTS / 2);
        discovery.awaitCalls(Mode.RESET, MIN_DISCOVERY_FAILURES);
    }

    /** Ends the failure with a changed list, and checks that the program takes it over in time. */
    private void assertDiscoveryRecovers() throws IOException, InterruptedException {
        startRepeating(1, () -> joinedBackend.answerAll(JOINED_RESULT));
        long recoveredNanos = discovery.recover(2, member("s-1", drainedBackend, "east", "DRAINING") + ','
            + member("s-2", joinedBackend, "east", "SERVING"), false);
        long millis = discovery.millisUntilRevision(2, recoveredNanos);
        System.err.println(millis + " ms until discovery is called with the new revision, at full connection limits");
        assertTrue(millis < MAX_RECOVERY_MILLIS, millis + " ms");
        Await.until("a request served by the added backend", this::isServedByJoinedBackend);
    }

    @Test void recoversDiscoveryAndAnswersConsoleAtFullConnectionLimits() throws Exception {
        startProgram(DESCRIPTORS);
        fillConnectionLimitsWhileDiscoveryFails();
        assertDiscoveryRecovers();
        long receivedBefore = drainedBackend.queuedCount();
        for (int i = 0; i < CONSOLE_CALLS; i++) {
            assertEquals(2, Program.dumpValue(program.callConsole("DUMP"), "cluster_size"));
            assertTrue(openDescriptorCount() < DESCRIPTORS, "one descriptor stays free");
        }
        assertEquals(receivedBefore, drainedBackend.queuedCount(), "a draining backend gets no request");
        assertFalse(isLogged("Too many open files"), "one descriptor stays free");
    }

    /** The system allows fewer than the configuration says, and the last one is taken: that is not a failed call. */
    @Test void recoversDiscoveryWithoutFreeDescriptors() throws Exception {
        startProgram(INSUFFICIENT_DESCRIPTORS);
        fillConnectionLimitsWhileDiscoveryFails();
        Await.until("a discovery request without a free descriptor",
            () -> isLogged("No file descriptor available for the discovery request"));
        assertDiscoveryRecovers();
        Await.until("a reply of the console", () -> program.callConsole("DUMP").contains("cluster_size"));
        repeatingThreads.forEach(RepeatingThreads::close);
        Await.until("a served client", this::isServedByJoinedBackend);
        assertEquals(discovery.callCount(Mode.RESET), program.counterValue("director_failures"),
            "lack of a descriptor is not a failed call");
    }

    /** Guards against requests that wait behind idle connections until their time is over, as each accept fails. */
    @Test void answersRequestBehindIdleCrowdWithoutFreeDescriptors() throws Exception {
        startProgram(DESCRIPTORS_BELOW_CLIENT_LIMIT);
        Await.until("the first list", () -> program.callConsole("HEALTH").startsWith("200"));
        List<Client> crowd = new ArrayList<>();
        for (int i = 0; i < 2 * IDLE_CLIENTS; i++) {
            crowd.add(program.client());
        }
        startRepeating(1, () -> drainedBackend.answerAll("r"));
        try (Client client = program.client()) {
            long sentNanos = System.nanoTime();
            client.send(Client.request("/preview", CLIENT_TIMEOUT_MILLIS + "m", "", ""));
            int status = client.read().status();
            long millis = (System.nanoTime() - sentNanos) / 1_000_000;
            assertTrue(millis < CLIENT_TIMEOUT_MILLIS + LOST_AFTER_MILLIS, "answered " + status + " after " + millis + " ms");
        }
        assertTrue(program.counterValue("accept_failures") > 0, "the limit is reached");
        for (Client client : crowd) {
            client.close();
        }
    }
}

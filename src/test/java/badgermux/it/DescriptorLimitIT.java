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

/** The real program whose descriptors are bounded by the system itself, while a crowd takes every one that it can get. */
@Timeout(90)
class DescriptorLimitIT {
    /** The least that a deployment may give; the system's limit is the same. */
    private static final int DESCRIPTORS = 128;
    private static final long MAX_RECOVERY_MILLIS = 6_000;
    /** Far more than there are places of any kind. */
    private static final int IDLE_CLIENTS = 150, IDLE_CONSOLE_CONNECTIONS = 8, CLIENTS_WITH_REQUESTS = 40;
    /** Fewer than the shares of {@link #DESCRIPTORS} need. */
    private static final int INSUFFICIENT_DESCRIPTORS = 100;
    private static final int CONSOLE_CALLS = 20;
    /** What the backend that joins gives as its result. */
    private static final String JOINED_RESULT = "joined";
    /** Failures of calls to discovery by which the crowd holds what it can get. */
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

    /** Starts it with so many descriptors by the system; the configuration tells it of {@link #DESCRIPTORS}. */
    private void startProgram(int descriptors) throws IOException {
        program = Program.startWithDiscovery(discovery.address(), "ulimit -n " + descriptors + " && " + Program.runCommand(), folder,
            member("s-1", drainedBackend, "east", "SERVING"), DESCRIPTORS, Program.SETTINGS);
        Thread reader = new Thread(() -> {
            try {
                for (String line = program.readLogLine(); line != null; line = program.readLogLine()) {
                    logLines.add(line);
                }
            } catch (IOException e) {
                // it has ended
            }
        });
        reader.setDaemon(true);
        reader.start();
    }

    private void startRepeating(int size, RepeatingThreads.Action member) {
        repeatingThreads.add(new RepeatingThreads(size, member));
    }

    @AfterEach void tearDown() throws IOException {
        repeatingThreads.forEach(RepeatingThreads::close);
        program.close();
        discovery.close();
        drainedBackend.close();
        joinedBackend.close();
    }

    /** Many who do the same over and over, each on a thread of its own. */
    private static final class RepeatingThreads {
        interface Action {
            void perform() throws IOException;
        }

        private volatile boolean isClosed;

        RepeatingThreads(int size, Action member) {
            for (int i = 0; i < size; i++) {
                Thread thread = new Thread(() -> repeat(member));
                thread.setDaemon(true);
                thread.start();
            }
        }

        private void repeat(Action member) {
            while (!isClosed) {
                try {
                    member.perform();
                } catch (IOException | AssertionError e) {
                    // it was turned away, and comes again
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

    /** Whether a client, who may be turned away for want of a place, gets the result of the backend that has joined. */
    private boolean isServedByJoinedBackend() {
        try (Client client = program.client()) {
            Client.Response answer = client.send(Client.request("/preview", "5000m", "", "")).read();
            return answer.status() == 200 && answer.body().equals(JOINED_RESULT);
        } catch (IOException | AssertionError e) {
            return false;   // it was shut unread
        }
    }

    /** Idle clients, callers with half a call, and clients with requests that nobody answers: all places of each kind. */
    private void fillAllConnectionLimits() throws IOException {
        startRepeating(IDLE_CLIENTS, () -> {
            try (Client client = program.client()) {
                client.isClosedByServer();
            }
        });
        startRepeating(IDLE_CONSOLE_CONNECTIONS, () -> {
            try (Socket caller = program.consoleSocket()) {
                caller.getInputStream().read();
            }
        });
        startRepeating(CLIENTS_WITH_REQUESTS, () -> {
            try (Client client = program.client()) {
                client.send(Client.request("/preview", "5000m", "", "")).read();
            }
        });
    }

    /** Discovery fails and the crowd takes its places. */
    private void fillConnectionLimitsWhileDiscoveryFails() throws IOException, InterruptedException {
        discovery.awaitCalls(Mode.NORMAL, 1);
        discovery.failWith(Mode.RESET);
        fillAllConnectionLimits();
        Await.until("requests at backends", () -> drainedBackend.queuedCount() >= CLIENTS_WITH_REQUESTS / 2);
        discovery.awaitCalls(Mode.RESET, MIN_DISCOVERY_FAILURES);
    }

    /** It returns with a change, and that is in force. */
    private void assertDiscoveryRecovers() throws IOException, InterruptedException {
        startRepeating(1, () -> joinedBackend.answerAll(JOINED_RESULT));
        long since = discovery.recover(2, member("s-1", drainedBackend, "east", "DRAINING") + ','
            + member("s-2", joinedBackend, "east", "SERVING"), false);
        long millis = discovery.millisUntilRevision(2, since);
        System.err.println(millis + " ms: with a crowd in every place");
        assertTrue(millis < MAX_RECOVERY_MILLIS, millis + " ms");
        Await.until("a request served by the backend that has joined", this::isServedByJoinedBackend);
    }

    @Test void recoversDiscoveryAndAnswersConsoleAtFullConnectionLimits() throws Exception {
        startProgram(DESCRIPTORS);
        fillConnectionLimitsWhileDiscoveryFails();
        assertDiscoveryRecovers();
        long sentBefore = drainedBackend.queuedCount();
        for (int i = 0; i < CONSOLE_CALLS; i++) {
            assertEquals(2, Program.dumpValue(program.callConsole("DUMP"), "cluster_size"));
            assertTrue(openDescriptorCount() < DESCRIPTORS, "one is over");
        }
        assertEquals(sentBefore, drainedBackend.queuedCount(), "it drains");
        assertFalse(isLogged("Too many open files"), "one is over");
    }

    /** The system allows fewer than the configuration says, so that the crowd takes the last one, too: no failed call. */
    @Test void recoversDiscoveryWithoutFreeDescriptors() throws Exception {
        startProgram(INSUFFICIENT_DESCRIPTORS);
        fillConnectionLimitsWhileDiscoveryFails();
        Await.until("no descriptor for a call", () -> isLogged("No file descriptor available for the discovery request"));
        assertDiscoveryRecovers();
        Await.until("an operator's answer", () -> program.callConsole("DUMP").contains("cluster_size"));
        repeatingThreads.forEach(RepeatingThreads::close);
        Await.until("a place", this::isServedByJoinedBackend);
        assertEquals(discovery.callCount(Mode.RESET), program.counterValue("director_failures"), "want of a descriptor is no failure");
    }
}

package badgermux.it;

import static badgermux.it.Program.member;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.it.StandInDiscovery.Mode;
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
class DescriptorsIT {
    /** The least that a deployment may give; the system's limit is the same. */
    private static final int DESCRIPTORS = 128;
    private static final long TOLD_WITHIN = 6_000;
    /** Far more than there are places of any kind. */
    private static final int IDLE_CLIENTS = 150, IDLE_CALLERS = 8, CLIENTS_WITH_REQUESTS = 40;
    /** Fewer than the shares of {@link #DESCRIPTORS} need. */
    private static final int TOO_FEW = 100;
    private static final int CALLS = 20;
    /** What the backend that joins gives as its result. */
    private static final String JOINED = "joined";
    /** Failures of calls to discovery by which the crowd holds what it can get. */
    private static final int FAILURES = 5;

    @TempDir private Path folder;
    private Peer drained;
    private Peer joined;
    private StandInDiscovery discovery;
    private Program program;
    private final List<Crowd> crowds = new ArrayList<>();
    private final List<String> log = Collections.synchronizedList(new ArrayList<>());

    @BeforeEach void peers() throws IOException {
        drained = new Peer();
        joined = new Peer();
        discovery = new StandInDiscovery();
    }

    /** Starts it with so many descriptors by the system; the configuration tells it of {@link #DESCRIPTORS}. */
    private void start(int descriptors) throws IOException {
        program = Program.watching(discovery.address(), "ulimit -n " + descriptors + " && " + Program.command(), folder,
            member("s-1", drained, "east", "SERVING"), DESCRIPTORS, Program.SETTINGS);
        Thread reader = new Thread(() -> {
            try {
                for (String line = program.log(); line != null; line = program.log()) {
                    log.add(line);
                }
            } catch (IOException e) {
                // it has ended
            }
        });
        reader.setDaemon(true);
        reader.start();
    }

    private void crowd(int size, Crowd.Member member) {
        crowds.add(new Crowd(size, member));
    }

    @AfterEach void stop() throws IOException {
        crowds.forEach(Crowd::close);
        program.close();
        discovery.close();
        drained.close();
        joined.close();
    }

    /** Many who do the same over and over, each on a thread of its own. */
    private static final class Crowd {
        interface Member {
            void act() throws IOException;
        }

        private volatile boolean over;

        Crowd(int size, Member member) {
            for (int i = 0; i < size; i++) {
                Thread thread = new Thread(() -> run(member));
                thread.setDaemon(true);
                thread.start();
            }
        }

        private void run(Member member) {
            while (!over) {
                try {
                    member.act();
                } catch (IOException | AssertionError e) {
                    // it was turned away, and comes again
                }
            }
        }

        void close() {
            over = true;
        }
    }

    private boolean isLogged(String text) {
        synchronized (log) {
            return log.stream().anyMatch(line -> line.contains(text));
        }
    }

    private long descriptors() throws IOException {
        try (Stream<Path> open = Files.list(Path.of("/proc", String.valueOf(program.process.pid()), "fd"))) {
            return open.count();
        }
    }

    /** Whether a client, who may be turned away for want of a place, gets the result of the backend that has joined. */
    private boolean isServed() {
        try (Client client = program.client()) {
            Client.Answer answer = client.send(Client.request("/preview", "5000m", "", "")).read();
            return answer.status() == 200 && answer.body().equals(JOINED);
        } catch (IOException | AssertionError e) {
            return false;   // it was shut unread
        }
    }

    /** Idle clients, callers with half a call, and clients with requests that nobody answers: all places of each kind. */
    private void fillEveryPlace() throws IOException {
        crowd(IDLE_CLIENTS, () -> {
            try (Client client = program.client()) {
                client.isEnded();
            }
        });
        crowd(IDLE_CALLERS, () -> {
            try (Socket caller = program.caller()) {
                caller.getInputStream().read();
            }
        });
        crowd(CLIENTS_WITH_REQUESTS, () -> {
            try (Client client = program.client()) {
                client.send(Client.request("/preview", "5000m", "", "")).read();
            }
        });
    }

    /** Discovery fails and the crowd takes its places. */
    private void takePlacesWhileDiscoveryFails() throws IOException, InterruptedException {
        discovery.awaitCalls(Mode.WELL, 1);
        discovery.fail(Mode.RESET);
        fillEveryPlace();
        Await.until("requests at backends", () -> drained.waiting() >= CLIENTS_WITH_REQUESTS / 2);
        discovery.awaitCalls(Mode.RESET, FAILURES);
    }

    /** It returns with a change, and that is in force. */
    private void assertFoundAgain() throws IOException, InterruptedException {
        crowd(1, () -> joined.answerAll(JOINED));
        long since = discovery.comeBack(2, member("s-1", drained, "east", "DRAINING") + ','
            + member("s-2", joined, "east", "SERVING"), false);
        long millis = discovery.millisUntilHeld(2, since);
        System.err.println(millis + " ms: with a crowd in every place");
        assertTrue(millis < TOLD_WITHIN, millis + " ms");
        Await.until("a request served by the backend that has joined", this::isServed);
    }

    @Test void discoveryIsFoundAgainAndOperatorsAreAnsweredWhileACrowdHoldsEveryPlace() throws Exception {
        start(DESCRIPTORS);
        takePlacesWhileDiscoveryFails();
        assertFoundAgain();
        long sentBefore = drained.waiting();
        for (int i = 0; i < CALLS; i++) {
            assertEquals(2, Program.figure(program.call("DUMP"), "cluster_size"));
            assertTrue(descriptors() < DESCRIPTORS, "one is over");
        }
        assertEquals(sentBefore, drained.waiting(), "it drains");
        assertFalse(isLogged("Too many open files"), "one is over");
    }

    /** The system allows fewer than the configuration says, so that the crowd takes the last one, too: no failed call. */
    @Test void discoveryIsFoundAgainWhereTheCrowdTakesTheLastDescriptor() throws Exception {
        start(TOO_FEW);
        takePlacesWhileDiscoveryFails();
        Await.until("no descriptor for a call", () -> isLogged("No file descriptor available for the discovery request"));
        assertFoundAgain();
        Await.until("an operator's answer", () -> program.call("DUMP").contains("cluster_size"));
        crowds.forEach(Crowd::close);
        Await.until("a place", this::isServed);
        assertEquals(discovery.calls(Mode.RESET), program.count("director_failures"), "want of a descriptor is no failure");
    }
}

package badgermux.it;

import static badgermux.it.Program.member;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.it.FakeDiscovery.Mode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The real program while discovery fails in each of its ways and comes back with a change: the change has to be in force
 * within 6 s of the moment from which it could be had, however the calls before it failed.
 */
@Timeout(90)
class DiscoveryRecoveryIT {
    /** When a change counts as told, in milliseconds after discovery had it and could be reached. */
    private static final long MAX_PROPAGATION_MILLIS = 6_000;
    /** The same after a new configuration has named another address. */
    private static final long MAX_MOVE_MILLIS = 4_000;
    /** After so many failures the pause has grown as far as it does. */
    private static final int FAILURES_UNTIL_MAX_PAUSE = 5;

    @TempDir private Path folder;
    private FakeServer drainingBackend;
    private FakeServer newBackend;
    private FakeDiscovery discovery;

    @BeforeEach void start() throws IOException {
        drainingBackend = new FakeServer();
        newBackend = new FakeServer();
        discovery = new FakeDiscovery();
    }

    @AfterEach void stop() throws IOException {
        discovery.close();
        drainingBackend.close();
        newBackend.close();
    }

    private Program startProgram(String settings) throws IOException {
        return Program.startWithDiscovery(discovery.address(), Program.runCommand(), folder, member("s-1", drainingBackend, "east", "SERVING"),
            1024, settings);
    }

    private String changedMembers() {
        return member("s-1", drainingBackend, "east", "DRAINING") + ',' + member("s-2", newBackend, "east", "SERVING");
    }

    /** What is sent from here on goes to the one that has joined. */
    private void assertChangeInForce(Program program) throws IOException, InterruptedException {
        for (int i = 0; i < 5; i++) {
            assertServedBy(program, newBackend);
        }
        assertNull(drainingBackend.poll(), "it drains");
    }

    private static void assertServedBy(Program program, FakeServer at) throws IOException, InterruptedException {
        try (Client client = program.client()) {
            client.send(Client.request("/preview", "5000m", "", ""));
            at.take().sendResult("r");
            assertEquals(200, client.read().status());
        }
    }

    /** Has it fail until the pauses are as long as they get, then once in a mode, so that a call of this mode is under way. */
    private void failDiscovery(Program program, Mode mode) throws IOException, InterruptedException {
        discovery.awaitCalls(Mode.NORMAL, 1);
        discovery.failWith(Mode.REFUSED);
        Await.until("failures", () -> program.counterValue("director_failures") >= FAILURES_UNTIL_MAX_PAUSE);
        if (mode == Mode.REFUSED) {
            return;
        }
        discovery.failWith(mode);
        if (mode == Mode.UNREACHABLE) {
            long before = program.counterValue("director_calls");
            Await.until("a call that does not come up", () -> program.counterValue("director_calls") > before);
        } else {
            discovery.awaitCalls(mode, 1);
        }
    }

    private void assertWithin(long limit, long millis, String what) {
        System.err.println(millis + " ms: " + what);
        assertTrue(millis < limit, what + ": " + millis + " ms");
    }

    @ParameterizedTest @EnumSource(value = Mode.class, mode = EnumSource.Mode.EXCLUDE, names = "WELL")
    void appliesChangeInTimeAfterDiscoveryRecovers(Mode mode) throws IOException, InterruptedException {
        try (Program program = startProgram(Program.SETTINGS)) {
            failDiscovery(program, mode);
            long since = discovery.recover(2, changedMembers(), false);
            assertWithin(MAX_PROPAGATION_MILLIS, discovery.millisUntilRevision(2, since), "after " + mode);
            assertChangeInForce(program);
        }
    }

    /** It is not well at once: the first call is refused, at once or after a wait in its queue. */
    @ParameterizedTest @CsvSource({"SILENT,0", "HALF,0", "TRICKLE,0", "UNREACHABLE,0", "UNREACHABLE,2000", "BUSY,2000"})
    void appliesChangeInTimeWhenFirstCallIsRefused(Mode mode, long afterMillis) throws IOException, InterruptedException {
        try (Program program = startProgram(Program.SETTINGS)) {
            failDiscovery(program, mode);
            discovery.refuseCalls(1, afterMillis);
            long since = discovery.recover(2, changedMembers(), false);
            assertWithin(MAX_PROPAGATION_MILLIS, discovery.millisUntilRevision(2, since), "after " + mode + " and a refusal");
            assertChangeInForce(program);
        }
    }

    /** The watch that was well falls silent as it begins, and the change comes in the same moment. */
    @ParameterizedTest @ValueSource(ints = {0, 1})
    void appliesChangeMissedBySilentWatchInTime(int refusals) throws IOException, InterruptedException {
        try (Program program = startProgram(Program.SETTINGS)) {
            discovery.awaitCalls(Mode.NORMAL, 1);
            discovery.failWith(Mode.SILENT);
            discovery.refuseCalls(refusals, 0);
            long since = discovery.recover(2, changedMembers(), false);
            assertWithin(MAX_PROPAGATION_MILLIS, discovery.millisUntilRevision(2, since), "after silence and " + refusals + " refusals");
            assertChangeInForce(program);
        }
    }

    /** An agent is beside the dispatcher: what it gets counts at once, and after silence 6 s later. */
    @ParameterizedTest @CsvSource({"REFUSED,1000", "UNREACHABLE,1000", "RESET,1000", "BUSY,1000", "MALFORMED,1000",
        "SILENT,6000", "HALF,6000", "TRICKLE,6000"})
    void appliesChangeOfAgentInTimeAfterItRecovers(Mode mode, long within) throws IOException, InterruptedException {
        try (Program program = startProgram(Program.SETTINGS.replace("on_request", "pushed"))) {
            failDiscovery(program, mode);
            long since = discovery.recover(2, changedMembers(), false);
            assertWithin(within, discovery.millisUntilRevision(2, since), "by an agent after " + mode);
            assertChangeInForce(program);
        }
    }

    /** What it holds of its own, counted anew, is news, also who has left meanwhile. */
    @Test void acceptsListInTimeAfterRevisionsRestart() throws IOException, InterruptedException {
        discovery.recover(40, member("s-1", drainingBackend, "east", "SERVING") + ',' + member("s-3", drainingBackend, "west", "SERVING"), true);
        try (Program program = startProgram(Program.SETTINGS)) {
            discovery.millisUntilRevision(40, 0);
            discovery.failWith(Mode.RESET);
            discovery.awaitCalls(Mode.RESET, 2);
            long since = discovery.recover(3, member("s-2", newBackend, "east", "SERVING"), true);
            assertWithin(MAX_PROPAGATION_MILLIS, discovery.millisUntilRevision(3, since), "after revisions begun anew");
            assertChangeInForce(program);
            assertEquals(1, program.dumpValue("cluster_size"));
        }
    }

    /** The call to the old address is open or dead, and the new one counts revisions of its own. */
    @ParameterizedTest @EnumSource(value = Mode.class, names = {"WELL", "SILENT", "UNREACHABLE"})
    void appliesListOfNewAddressInTime(Mode old) throws IOException, InterruptedException {
        discovery.recover(40, member("s-1", drainingBackend, "east", "SERVING"), true);
        try (FakeDiscovery next = new FakeDiscovery(); Program program = startProgram(Program.SETTINGS)) {
            discovery.millisUntilRevision(40, 0);
            if (old != Mode.NORMAL) {
                failDiscovery(program, old);
            }
            next.recover(3, changedMembers(), true);
            long since = System.nanoTime();
            program.reload("{\"name\":\"n\"", "{\"discovery\":\"" + next.address() + "\",\"name\":\"n\"");
            assertWithin(MAX_MOVE_MILLIS, next.millisUntilRevision(3, since), "after a move from one that is " + old);
            assertChangeInForce(program);
        }
    }

    @Test void startsWithKnownListWhileDiscoveryIsDownAndAppliesChangeInTime() throws IOException, InterruptedException {
        discovery.failWith(Mode.REFUSED);
        try (Program program = startProgram(Program.SETTINGS)) {
            assertServedBy(program, drainingBackend);
            Await.until("failures", () -> program.counterValue("director_failures") >= FAILURES_UNTIL_MAX_PAUSE);
            long since = discovery.recover(2, changedMembers(), true);
            assertWithin(MAX_PROPAGATION_MILLIS, discovery.millisUntilRevision(2, since), "after a start without discovery");
            assertChangeInForce(program);
        }
    }

    @Test void appliesFullListOfThousandBackendsInTime() throws IOException, InterruptedException {
        String whole = changedMembers() + ',' + IntStream.range(0, 1022).mapToObj(i -> member("r-" + i, newBackend, "west", "SERVING"))
            .collect(Collectors.joining(","));
        try (Program program = startProgram(Program.SETTINGS)) {
            program.discardLog();
            failDiscovery(program, Mode.SILENT);
            long since = discovery.recover(2, whole, true);
            assertWithin(MAX_PROPAGATION_MILLIS, discovery.millisUntilRevision(2, since), "with 1,024 entries");
            assertChangeInForce(program);
            assertEquals(1024, program.dumpValue("cluster_size"));
        }
    }
}

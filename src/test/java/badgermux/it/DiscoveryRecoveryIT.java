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
 * Runs the packaged program while discovery fails in each mode of {@link FakeDiscovery} and then recovers with a changed list.
 * The change must be in force within 6 s of the time from which it could be fetched, in whichever way earlier calls failed.
 */
@Timeout(90)
class DiscoveryRecoveryIT {
    /** Limit on the time until a change is known, from when discovery has it and can be reached. */
    private static final long MAX_PROPAGATION_MILLIS = 6_000;
    /** Limit on the time until the list of discovery at a new address is known, from the reload that sets the address. */
    private static final long MAX_MOVE_MILLIS = 4_000;
    /** Number of failures after which the retry pause has reached its maximum. */
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
        return Program.startWithDiscovery(discovery.address(), Program.runCommand(), folder,
            member("s-1", drainingBackend, "east", "SERVING"), 1024, settings);
    }

    /** Returns the changed list: one backend drains and another one has joined. */
    private String changedMembers() {
        return member("s-1", drainingBackend, "east", "DRAINING") + ',' + member("s-2", newBackend, "east", "SERVING");
    }

    /** Checks that new requests go to the backend that has joined and none to the draining one. */
    private void assertChangeInForce(Program program) throws IOException, InterruptedException {
        for (int i = 0; i < 5; i++) {
            assertServedBy(program, newBackend);
        }
        assertNull(drainingBackend.poll(), "a draining backend is sent no request");
    }

    private static void assertServedBy(Program program, FakeServer backend) throws IOException, InterruptedException {
        try (Client client = program.client()) {
            client.send(Client.request("/preview", "5000m", "", ""));
            backend.take().sendResult("r");
            assertEquals(200, client.read().status());
        }
    }

    /**
     * Makes discovery refuse calls until the retry pause has reached its maximum, and then fail in the given mode. Returns when
     * a call has begun in this mode; in the mode REFUSED, when the pause has reached its maximum.
     */
    private void failDiscovery(Program program, Mode mode) throws IOException, InterruptedException {
        discovery.awaitCalls(Mode.NORMAL, 1);
        discovery.failWith(Mode.REFUSED);
        Await.until("discovery failures", () -> program.counterValue("director_failures") >= FAILURES_UNTIL_MAX_PAUSE);
        if (mode == Mode.REFUSED) {
            return;
        }
        discovery.failWith(mode);
        if (mode == Mode.UNREACHABLE) {
            long callsBefore = program.counterValue("director_calls");
            Await.until("a call whose connection is not established", () -> program.counterValue("director_calls") > callsBefore);
        } else {
            discovery.awaitCalls(mode, 1);
        }
    }

    /** Prints a measured time, and checks that it is below the limit. */
    private void assertWithin(long limitMillis, long millis, String description) {
        System.err.println(millis + " ms: " + description);
        assertTrue(millis < limitMillis, description + ": " + millis + " ms");
    }

    @ParameterizedTest @EnumSource(value = Mode.class, mode = EnumSource.Mode.EXCLUDE, names = "NORMAL")
    void appliesChangeInTimeAfterDiscoveryRecovers(Mode mode) throws IOException, InterruptedException {
        try (Program program = startProgram(Program.SETTINGS)) {
            failDiscovery(program, mode);
            long recoveredNanos = discovery.recover(2, changedMembers(), false);
            assertWithin(MAX_PROPAGATION_MILLIS, discovery.millisUntilRevision(2, recoveredNanos), "after " + mode);
            assertChangeInForce(program);
        }
    }

    /** Discovery refuses the first call after its recovery, either at once or after a delay in its queue. */
    @ParameterizedTest @CsvSource({"SILENT,0", "PARTIAL,0", "TRICKLE,0", "UNREACHABLE,0", "UNREACHABLE,2000", "BUSY,2000"})
    void appliesChangeInTimeWhenFirstCallIsRefused(Mode mode, long refusalDelayMillis) throws IOException, InterruptedException {
        try (Program program = startProgram(Program.SETTINGS)) {
            failDiscovery(program, mode);
            discovery.refuseCalls(1, refusalDelayMillis);
            long recoveredNanos = discovery.recover(2, changedMembers(), false);
            assertWithin(MAX_PROPAGATION_MILLIS, discovery.millisUntilRevision(2, recoveredNanos),
                "after " + mode + " and a refusal");
            assertChangeInForce(program);
        }
    }

    /** As soon as a watch has begun, it gets no further response, and the list changes at the same time. */
    @ParameterizedTest @ValueSource(ints = {0, 1})
    void appliesChangeMissedBySilentWatchInTime(int refusals) throws IOException, InterruptedException {
        try (Program program = startProgram(Program.SETTINGS)) {
            discovery.awaitCalls(Mode.NORMAL, 1);
            discovery.failWith(Mode.SILENT);
            discovery.refuseCalls(refusals, 0);
            long recoveredNanos = discovery.recover(2, changedMembers(), false);
            assertWithin(MAX_PROPAGATION_MILLIS, discovery.millisUntilRevision(2, recoveredNanos),
                "after silence and " + refusals + " refusals");
            assertChangeInForce(program);
        }
    }

    /**
     * Discovery is an agent on the same host that pushes the list. A list that the agent has must be applied within 1 s of the
     * agent's recovery, and within 6 s if the agent left a call without a whole response before.
     */
    @ParameterizedTest @CsvSource({"REFUSED,1000", "UNREACHABLE,1000", "RESET,1000", "BUSY,1000", "MALFORMED,1000",
        "SILENT,6000", "PARTIAL,6000", "TRICKLE,6000"})
    void appliesChangeOfAgentInTimeAfterItRecovers(Mode mode, long limitMillis) throws IOException, InterruptedException {
        try (Program program = startProgram(Program.SETTINGS.replace("on_request", "pushed"))) {
            failDiscovery(program, mode);
            long recoveredNanos = discovery.recover(2, changedMembers(), false);
            assertWithin(limitMillis, discovery.millisUntilRevision(2, recoveredNanos), "by an agent after " + mode);
            assertChangeInForce(program);
        }
    }

    /**
     * Discovery comes back with revisions that begin again from a lower number. Its list must be applied in full, including the
     * removal of backends that have left.
     */
    @Test void acceptsListInTimeAfterRevisionsRestart() throws IOException, InterruptedException {
        discovery.recover(40, member("s-1", drainingBackend, "east", "SERVING") + ','
            + member("s-3", drainingBackend, "west", "SERVING"), true);
        try (Program program = startProgram(Program.SETTINGS)) {
            discovery.millisUntilRevision(40, 0);
            discovery.failWith(Mode.RESET);
            discovery.awaitCalls(Mode.RESET, 2);
            long recoveredNanos = discovery.recover(3, member("s-2", newBackend, "east", "SERVING"), true);
            assertWithin(MAX_PROPAGATION_MILLIS, discovery.millisUntilRevision(3, recoveredNanos),
                "after a restart of the revisions");
            assertChangeInForce(program);
            assertEquals(1, program.dumpValue("cluster_size"));
        }
    }

    /** The call to the old address is open or never gets a response, and discovery at the new address has a lower revision. */
    @ParameterizedTest @EnumSource(value = Mode.class, names = {"NORMAL", "SILENT", "UNREACHABLE"})
    void appliesListOfNewAddressInTime(Mode oldMode) throws IOException, InterruptedException {
        discovery.recover(40, member("s-1", drainingBackend, "east", "SERVING"), true);
        try (FakeDiscovery newDiscovery = new FakeDiscovery(); Program program = startProgram(Program.SETTINGS)) {
            discovery.millisUntilRevision(40, 0);
            if (oldMode != Mode.NORMAL) {
                failDiscovery(program, oldMode);
            }
            newDiscovery.recover(3, changedMembers(), true);
            long reloadNanos = System.nanoTime();
            program.reload("{\"name\":\"n\"", "{\"discovery\":\"" + newDiscovery.address() + "\",\"name\":\"n\"");
            assertWithin(MAX_MOVE_MILLIS, newDiscovery.millisUntilRevision(3, reloadNanos),
                "after a move from an address in mode " + oldMode);
            assertChangeInForce(program);
        }
    }

    /** A process that starts while discovery is down uses the list in its configuration until a changed one arrives. */
    @Test void startsWithKnownListWhileDiscoveryIsDownAndAppliesChangeInTime() throws IOException, InterruptedException {
        discovery.failWith(Mode.REFUSED);
        try (Program program = startProgram(Program.SETTINGS)) {
            assertServedBy(program, drainingBackend);
            Await.until("discovery failures", () -> program.counterValue("director_failures") >= FAILURES_UNTIL_MAX_PAUSE);
            long recoveredNanos = discovery.recover(2, changedMembers(), true);
            assertWithin(MAX_PROPAGATION_MILLIS, discovery.millisUntilRevision(2, recoveredNanos),
                "after a start without discovery");
            assertChangeInForce(program);
        }
    }

    @Test void appliesFullListOfThousandBackendsInTime() throws IOException, InterruptedException {
        String fullList = changedMembers() + ',' + IntStream.range(0, 1022)
            .mapToObj(i -> member("r-" + i, newBackend, "west", "SERVING")).collect(Collectors.joining(","));
        try (Program program = startProgram(Program.SETTINGS)) {
            program.discardLog();
            failDiscovery(program, Mode.SILENT);
            long recoveredNanos = discovery.recover(2, fullList, true);
            assertWithin(MAX_PROPAGATION_MILLIS, discovery.millisUntilRevision(2, recoveredNanos), "with 1,024 entries");
            assertChangeInForce(program);
            assertEquals(1024, program.dumpValue("cluster_size"));
        }
    }
}

package badgermux.it;

import static badgermux.it.Program.member;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.it.StandInDiscovery.Mode;
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
class DiscoveryReturnIT {
    /** When a change counts as told, in milliseconds after discovery had it and could be reached. */
    private static final long TOLD_WITHIN = 6_000;
    /** The same after a new configuration has named another address. */
    private static final long MOVED_WITHIN = 4_000;
    /** After so many failures the pause has grown as far as it does. */
    private static final int FAILURES = 5;

    @TempDir private Path folder;
    private Peer drained;
    private Peer joined;
    private StandInDiscovery discovery;

    @BeforeEach void start() throws IOException {
        drained = new Peer();
        joined = new Peer();
        discovery = new StandInDiscovery();
    }

    @AfterEach void stop() throws IOException {
        discovery.close();
        drained.close();
        joined.close();
    }

    private Program program(String settings) throws IOException {
        return Program.watching(discovery.address(), Program.command(), folder, member("s-1", drained, "east", "SERVING"),
            1024, settings);
    }

    private String change() {
        return member("s-1", drained, "east", "DRAINING") + ',' + member("s-2", joined, "east", "SERVING");
    }

    /** What is sent from here on goes to the one that has joined. */
    private void assertInForce(Program program) throws IOException, InterruptedException {
        for (int i = 0; i < 5; i++) {
            servedBy(program, joined);
        }
        assertNull(drained.peek(), "it drains");
    }

    private static void servedBy(Program program, Peer at) throws IOException, InterruptedException {
        try (Client client = program.client()) {
            client.send(Client.request("/preview", "5000m", "", ""));
            at.take().done("r");
            assertEquals(200, client.read().status());
        }
    }

    /** Has it fail until the pauses are as long as they get, then once in a mode, so that a call of this mode is under way. */
    private void fail(Program program, Mode mode) throws IOException, InterruptedException {
        discovery.awaitCalls(Mode.WELL, 1);
        discovery.fail(Mode.REFUSED);
        Await.until("failures", () -> program.count("director_failures") >= FAILURES);
        if (mode == Mode.REFUSED) {
            return;
        }
        discovery.fail(mode);
        if (mode == Mode.UNREACHABLE) {
            long before = program.count("director_calls");
            Await.until("a call that does not come up", () -> program.count("director_calls") > before);
        } else {
            discovery.awaitCalls(mode, 1);
        }
    }

    private void assertToldWithin(long limit, long millis, String what) {
        System.err.println(millis + " ms: " + what);
        assertTrue(millis < limit, what + ": " + millis + " ms");
    }

    @ParameterizedTest @EnumSource(value = Mode.class, mode = EnumSource.Mode.EXCLUDE, names = "WELL")
    void aChangeIsInForceSoonAfterDiscoveryCanBeReached(Mode mode) throws IOException, InterruptedException {
        try (Program program = program(Program.SETTINGS)) {
            fail(program, mode);
            long since = discovery.comeBack(2, change(), false);
            assertToldWithin(TOLD_WITHIN, discovery.millisUntilHeld(2, since), "after " + mode);
            assertInForce(program);
        }
    }

    /** It is not well at once: the first call is refused, at once or after a wait in its queue. */
    @ParameterizedTest @CsvSource({"SILENT,0", "HALF,0", "TRICKLE,0", "UNREACHABLE,0", "UNREACHABLE,2000", "BUSY,2000"})
    void aChangeIsInForceInTimeIfTheFirstCallIsRefused(Mode mode, long afterMillis) throws IOException, InterruptedException {
        try (Program program = program(Program.SETTINGS)) {
            fail(program, mode);
            discovery.refuse(1, afterMillis);
            long since = discovery.comeBack(2, change(), false);
            assertToldWithin(TOLD_WITHIN, discovery.millisUntilHeld(2, since), "after " + mode + " and a refusal");
            assertInForce(program);
        }
    }

    /** The watch that was well falls silent as it begins, and the change comes in the same moment. */
    @ParameterizedTest @ValueSource(ints = {0, 1})
    void aChangeThatASilentWatchMissesIsInForceInTime(int refusals) throws IOException, InterruptedException {
        try (Program program = program(Program.SETTINGS)) {
            discovery.awaitCalls(Mode.WELL, 1);
            discovery.fail(Mode.SILENT);
            discovery.refuse(refusals, 0);
            long since = discovery.comeBack(2, change(), false);
            assertToldWithin(TOLD_WITHIN, discovery.millisUntilHeld(2, since), "after silence and " + refusals + " refusals");
            assertInForce(program);
        }
    }

    /** An agent is beside the dispatcher: what it gets counts at once, and after silence 6 s later. */
    @ParameterizedTest @CsvSource({"REFUSED,1000", "UNREACHABLE,1000", "RESET,1000", "BUSY,1000", "MALFORMED,1000",
        "SILENT,6000", "HALF,6000", "TRICKLE,6000"})
    void whatAnAgentGetsIsInForceSoonAfterItCanBeReached(Mode mode, long within) throws IOException, InterruptedException {
        try (Program program = program(Program.SETTINGS.replace("on_request", "pushed"))) {
            fail(program, mode);
            long since = discovery.comeBack(2, change(), false);
            assertToldWithin(within, discovery.millisUntilHeld(2, since), "by an agent after " + mode);
            assertInForce(program);
        }
    }

    /** What it holds of its own, counted anew, is news, also who has left meanwhile. */
    @Test void aDiscoveryServiceThatHasBegunAnewIsBelievedInTime() throws IOException, InterruptedException {
        discovery.comeBack(40, member("s-1", drained, "east", "SERVING") + ',' + member("s-3", drained, "west", "SERVING"), true);
        try (Program program = program(Program.SETTINGS)) {
            discovery.millisUntilHeld(40, 0);
            discovery.fail(Mode.RESET);
            discovery.awaitCalls(Mode.RESET, 2);
            long since = discovery.comeBack(3, member("s-2", joined, "east", "SERVING"), true);
            assertToldWithin(TOLD_WITHIN, discovery.millisUntilHeld(3, since), "after revisions begun anew");
            assertInForce(program);
            assertEquals(1, program.figure("cluster_size"));
        }
    }

    /** The call to the old address is open or dead, and the new one counts revisions of its own. */
    @ParameterizedTest @EnumSource(value = Mode.class, names = {"WELL", "SILENT", "UNREACHABLE"})
    void aMoveBringsTheListOfTheNewAddressInTime(Mode old) throws IOException, InterruptedException {
        discovery.comeBack(40, member("s-1", drained, "east", "SERVING"), true);
        try (StandInDiscovery next = new StandInDiscovery(); Program program = program(Program.SETTINGS)) {
            discovery.millisUntilHeld(40, 0);
            if (old != Mode.WELL) {
                fail(program, old);
            }
            next.comeBack(3, change(), true);
            long since = System.nanoTime();
            program.reload("{\"name\":\"n\"", "{\"discovery\":\"" + next.address() + "\",\"name\":\"n\"");
            assertToldWithin(MOVED_WITHIN, next.millisUntilHeld(3, since), "after a move from one that is " + old);
            assertInForce(program);
        }
    }

    @Test void whoStartsWhileDiscoveryIsDownServesTheListAsLastHeldAndHearsOfTheChange() throws IOException, InterruptedException {
        discovery.fail(Mode.REFUSED);
        try (Program program = program(Program.SETTINGS)) {
            servedBy(program, drained);
            Await.until("failures", () -> program.count("director_failures") >= FAILURES);
            long since = discovery.comeBack(2, change(), true);
            assertToldWithin(TOLD_WITHIN, discovery.millisUntilHeld(2, since), "after a start without discovery");
            assertInForce(program);
        }
    }

    @Test void aWholeListOfAThousandIsInForceInTime() throws IOException, InterruptedException {
        String whole = change() + ',' + IntStream.range(0, 1022).mapToObj(i -> member("r-" + i, joined, "west", "SERVING"))
            .collect(Collectors.joining(","));
        try (Program program = program(Program.SETTINGS)) {
            program.readLog();
            fail(program, Mode.SILENT);
            long since = discovery.comeBack(2, whole, true);
            assertToldWithin(TOLD_WITHIN, discovery.millisUntilHeld(2, since), "with 1,024 entries");
            assertInForce(program);
            assertEquals(1024, program.figure("cluster_size"));
        }
    }
}

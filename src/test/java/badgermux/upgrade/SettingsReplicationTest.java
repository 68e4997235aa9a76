package badgermux.upgrade;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.core.Deadlines;
import badgermux.metrics.Metrics;
import badgermux.operator.Snapshot;
import badgermux.operator.SnapshotException;
import com.google.gson.JsonPrimitive;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Runs the replication of two or three processes, whose settings threads work when the test says so. */
class SettingsReplicationTest {
    private long nowMicros;
    private final Deadlines deadlines = new Deadlines(() -> nowMicros, at -> { }, new Metrics(List.of()));
    /** What is stored, as all processes have the same file. */
    private Snapshot stored = new Snapshot(0, Map.of());

    /** A process: its settings, and what its settings thread has to do. */
    private final class Process implements ReplicatedSettings {
        final SettingsReplication replication = new SettingsReplication(deadlines, this);
        final Queue<Runnable> tasks = new ArrayDeque<>();
        final List<String> events = new ArrayList<>();
        final String address;
        Snapshot current = stored;

        Process(String address) {
            this.address = address;
        }

        void work() {
            while (!tasks.isEmpty()) {
                tasks.remove().run();
            }
        }

        /** Makes a change as the settings thread does; returns null if it was refused. */
        CompletableFuture<Void> change(int value) {
            return replication.beginChange() == null ? write(value) : null;
        }

        CompletableFuture<Void> write(int value) {
            current = current.with("a", new JsonPrimitive(value));
            stored = current;
            return replication.endChange(current.line(), current.revision());
        }

        @Override public Snapshot current() {
            return current;
        }

        @Override public void encode(Consumer<String> callback) {
            tasks.add(() -> callback.accept(current.line()));
        }

        @Override public void adopt(String encodedSnapshot, Consumer<String> callback) {
            tasks.add(() -> {
                Snapshot snapshot = read(encodedSnapshot);
                boolean isUsable = snapshot.section("a") == null || snapshot.section("a").getAsInt() != UNUSABLE;
                current = isUsable && snapshot.revision() > current.revision() ? snapshot : current;
                callback.accept(isUsable ? null : "unusable");
            });
        }

        @Override public void reload(Consumer<String> callback) {
            tasks.add(() -> {
                current = stored.revision() > current.revision() ? stored : current;
                callback.accept(null);
            });
        }

        @Override public void handleForwarded(String encodedCall, Consumer<String> callback) {
            tasks.add(() -> callback.accept(encodedCall + " handled at " + address));
        }

        @Override public String adminAddress() {
            return address;
        }

        @Override public void onOwnershipPassed(String ownerAddress) {
            events.add("passed to " + ownerAddress);
        }

        @Override public void onOwnershipTaken() {
            events.add("taken");
        }

        @Override public void onUnusable(String reason) {
            events.add(reason);
        }
    }

    private static final int UNUSABLE = 13;

    private static Snapshot read(String encoded) {
        try {
            return Snapshot.read(encoded, Set.of("a"));
        } catch (SnapshotException e) {
            throw new AssertionError(e);
        }
    }

    /** A link between two processes; lines wait until they are delivered, and are lost once it is cut. */
    private final class Connection {
        final Process previous;
        final Process next;
        final Queue<String> toPrevious = new ArrayDeque<>();
        final Queue<String> toNext = new ArrayDeque<>();
        final SettingsReplication.Link previousEnd = toNext::add;
        final SettingsReplication.Link nextEnd = toPrevious::add;

        Connection(Process previous, Process next) {
            this.previous = previous;
            this.next = next;
            previous.replication.onNextConnected(previousEnd);
            next.replication.onPreviousConnected(nextEnd);
        }

        /** Delivers all lines and has both settings threads do all that they have to. */
        void settle() {
            while (deliver() || !previous.tasks.isEmpty() || !next.tasks.isEmpty()) {
                previous.work();
                next.work();
            }
        }

        boolean deliver() {
            boolean isAny = !toPrevious.isEmpty() || !toNext.isEmpty();
            while (!toPrevious.isEmpty()) {
                previous.replication.onLine(previousEnd, withoutPrefix(toPrevious.remove()));
            }
            while (!toNext.isEmpty()) {
                next.replication.onLine(nextEnd, withoutPrefix(toNext.remove()));
            }
            return isAny;
        }

        private String withoutPrefix(String line) {
            assertTrue(line.startsWith(SettingsReplication.LINE_PREFIX), line);
            return line.substring(SettingsReplication.LINE_PREFIX.length());
        }

        void endOfNext(Runnable then) {
            previous.replication.onClosed(previousEnd, then);
        }

        void endOfPrevious(Runnable then) {
            next.replication.onClosed(nextEnd, then);
        }
    }

    private final Process first = new Process("1.1.1.1:1");
    private final List<String> served = new ArrayList<>();

    private Process startSecond() {
        return new Process("2.2.2.2:2");
    }

    private boolean claim(Process process) {
        return process.replication.claim(() -> served.add(process.address));
    }

    @Test void nextProcessFollowsAndThenOwns() {
        assertNotNull(first.change(1));
        Process second = startSecond();
        Connection link = new Connection(first, second);
        assertNull(second.change(9), "a follower");
        link.settle();
        CompletableFuture<Void> change = first.change(2);
        assertFalse(change.isDone());
        link.settle();
        assertTrue(change.isDone(), "in force at the follower, too");
        assertEquals(2, second.current.revision());
        assertFalse(claim(second));
        assertFalse(claim(second), "once more, with the next heartbeat");
        link.settle();
        assertEquals(List.of("2.2.2.2:2"), served);
        assertTrue(claim(second));
        assertEquals(List.of("passed to 2.2.2.2:2"), first.events);
        assertNull(first.change(9));
        assertEquals("2.2.2.2:2", first.replication.ownerAddress());
        change = second.change(3);
        link.settle();
        assertTrue(change.isDone());
        assertEquals(3, first.current.revision());
    }

    /** The change that is being written when the claim comes is whole before it. */
    @Test void claimWaitsForTheChangeThatIsBeingWritten() {
        Process second = startSecond();
        Connection link = new Connection(first, second);
        link.settle();
        assertNull(first.replication.beginChange());
        claim(second);
        link.settle();
        assertEquals(List.of(), served);
        first.write(1);
        assertNull(first.change(2), "granted at the end of the one before");
        link.deliver();
        assertEquals(List.of(), served, "the change is not compiled yet");
        link.settle();
        assertEquals(List.of("2.2.2.2:2"), served);
        assertEquals(1, second.current.revision());
    }

    @Test void changeThatChangesNothingEndsAtOnce() {
        Connection link = new Connection(first, startSecond());
        link.settle();
        assertNull(first.replication.beginChange());
        assertTrue(first.replication.endChange(null, 0).isDone());
    }

    @Test void previousProcessTakesBackWhatNextHasStored() {
        Process second = startSecond();
        Connection link = new Connection(first, second);
        claim(second);
        link.settle();
        CompletableFuture<Void> lost = second.change(5);
        assertFalse(lost.isDone());
        List<Long> revisions = new ArrayList<>();
        link.endOfNext(() -> revisions.add(first.current.revision()));
        assertNull(first.change(9), "it has to read what is stored first");
        assertEquals(List.of(), revisions);
        first.work();
        assertEquals(List.of(1L), revisions);
        assertEquals(List.of("passed to 2.2.2.2:2", "taken"), first.events);
        assertNotNull(first.change(6));
        link.endOfPrevious(() -> { });
        assertTrue(lost.isDone(), "nobody is left to wait for");
    }

    @Test void nextProcessThatEndsBeforeItsClaimChangesNothing() {
        Connection link = new Connection(first, startSecond());
        link.settle();
        List<String> then = new ArrayList<>();
        link.endOfNext(() -> then.add("at once"));
        assertEquals(List.of("at once"), then);
        assertNotNull(first.change(1));
        assertEquals(List.of(), first.events);
    }

    @Test void nextProcessTakesWhatIsStoredWhenPreviousEndsBeforeTheGrant() {
        Process second = startSecond();
        Connection link = new Connection(first, second);
        first.change(4);
        claim(second);
        List<Long> revisions = new ArrayList<>();
        link.endOfPrevious(() -> revisions.add(second.current.revision()));
        second.work();
        assertEquals(List.of(1L), revisions);
        assertEquals(List.of("2.2.2.2:2"), served);
        assertNotNull(second.change(5));
    }

    /** A version that does not know the lines sends nothing back. */
    @Test void claimWithoutAnswerEndsWithWhatIsStored() {
        Process second = startSecond();
        new Connection(first, second);
        stored = new Snapshot(8, Map.of());
        claim(second);
        nowMicros += 999_999;
        deadlines.runDue();
        second.work();
        assertEquals(List.of(), served);
        nowMicros += 1;
        deadlines.runDue();
        second.work();
        assertEquals(List.of("2.2.2.2:2"), served);
        assertEquals(8, second.current.revision());
    }

    @Test void settingsThatCannotBeUsedAreToldAndNotServed() {
        first.change(UNUSABLE);
        Process second = startSecond();
        second.current = new Snapshot(0, Map.of());
        Connection link = new Connection(first, second);
        claim(second);
        link.settle();
        assertEquals(List.of("unusable"), second.events);
        assertEquals(List.of(), served);
    }

    @Test void callsAreForwardedToTheOwner() {
        Process second = startSecond();
        Connection link = new Connection(first, second);
        assertFalse(second.replication.forward("early", response -> { }), "not known yet to replicate");
        link.settle();
        List<String> responses = new ArrayList<>();
        assertTrue(second.replication.forward("one", responses::add));
        assertFalse(first.replication.forward("own", responses::add));
        link.settle();
        claim(second);
        link.settle();
        assertTrue(first.replication.forward("two", responses::add));
        assertTrue(first.replication.forward("x".repeat(200_000), responses::add));
        link.settle();
        assertEquals(List.of("one handled at 1.1.1.1:1", "two handled at 2.2.2.2:2",
            "x".repeat(200_000) + " handled at 2.2.2.2:2"), responses);
        responses.clear();
        assertTrue(first.replication.forward("three", responses::add));
        link.endOfNext(() -> { });
        assertEquals(1, responses.size());
        assertNull(responses.get(0));
    }

    /** An upgrade into an upgrade: the second process hands over while the first one still drains. */
    @Test void changesReachAllOfThreeProcesses() {
        Process second = startSecond();
        Connection firstLink = new Connection(first, second);
        claim(second);
        firstLink.settle();
        Process third = new Process("3.3.3.3:3");
        Connection secondLink = new Connection(second, third);
        claim(third);
        secondLink.settle();
        assertEquals(List.of("2.2.2.2:2", "3.3.3.3:3"), served);
        third.change(1);
        secondLink.settle();
        firstLink.settle();
        assertEquals(List.of(1L, 1L), List.of(first.current.revision(), second.current.revision()));
    }

    @Test void processThatEndsTakesNoChangesButHandsOver() {
        Process second = startSecond();
        Connection link = new Connection(first, second);
        first.replication.stop();
        assertNull(first.change(1));
        assertEquals("this process is ending", first.replication.unavailableReason());
        claim(second);
        link.settle();
        assertEquals(List.of("2.2.2.2:2"), served);
    }

    /** A process without options of operators grants a claim at once. */
    @Test void processWithoutSettingsHasNothingToHandOver() {
        List<String> lines = new ArrayList<>();
        SettingsReplication.Link link = lines::add;
        SettingsReplication replication = new SettingsReplication(deadlines, null);
        replication.onNextConnected(link);
        replication.onLine(link, "FOLLOW ");
        replication.onLine(link, "CLAIM -");
        assertEquals(List.of("SETTINGS GRANT 0"), lines);
        replication.onPreviousConnected(link);
        assertTrue(replication.claim(() -> { }));
    }
}

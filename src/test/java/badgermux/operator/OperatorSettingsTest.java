package badgermux.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonPrimitive;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class OperatorSettingsTest {
    private static final int UNUSABLE = -1;

    @TempDir private Path folder;
    private final ExecutorService eventLoop = Executors.newSingleThreadExecutor();

    @AfterEach void tearDown() {
        eventLoop.shutdown();
    }

    /** A process with one section. */
    private final class Process implements SettingsSection {
        final OperatorSettings settings;
        Integer inForce;

        Process() throws SnapshotException {
            settings = new OperatorSettings(SnapshotStore.open(folder.resolve("s.json"), Set.of("a")), eventLoop);
            settings.add(this);
        }

        boolean change(int value) throws Exception {
            return settings.change("a", new JsonPrimitive(value), () -> inForce = value);
        }

        @Override public Installation prepare(Snapshot snapshot) throws SnapshotException {
            int value = snapshot.section("a").getAsInt();
            if (value == UNUSABLE) {
                throw new SnapshotException("unusable");
            }
            return () -> inForce = value;
        }
    }

    /** The operator is told of a conflict, and the next try builds on what the other process has stored. */
    @Test void conflictPutsTheStoredSettingsInForce() throws Exception {
        Process first = new Process();
        Process second = new Process();
        assertTrue(first.change(1));
        assertThrows(SnapshotConflictException.class, () -> second.change(2));
        assertEquals(1, second.inForce);
        assertTrue(second.change(2));
        first.settings.reloadIfReplaced();
        assertEquals(2, first.inForce);
        assertEquals(2, first.settings.current().revision());
    }

    @Test void conflictWithUnusableSettingsChangesNothing() throws Exception {
        Process first = new Process();
        assertTrue(first.change(1));
        Process second = new Process();
        assertTrue(second.change(UNUSABLE));
        assertThrows(SnapshotConflictException.class, () -> first.change(3));
        assertEquals(1, first.inForce);
        assertEquals(1, first.settings.current().revision());
        assertThrows(SnapshotException.class, first.settings::reload);
    }

    @Test void ownershipIsAskedForBeforeAndEndedAfterEachChange() throws Exception {
        Process process = new Process();
        StringBuilder events = new StringBuilder();
        process.settings.setOwnership(new SettingsOwnership() {
            @Override public String beginChange() {
                events.append("begin ");
                return process.settings.current().revision() < 1 ? null : "passed on";
            }

            @Override public CompletableFuture<Void> endChange(String changed, long revision) {
                events.append(changed.contains("\"a\":1") ? "end " + revision + ' ' : changed);
                return CompletableFuture.completedFuture(null);
            }
        });
        assertTrue(process.change(1));
        assertThrows(SettingsNotOwnedException.class, () -> process.change(2));
        assertEquals("begin end 1 begin ", events.toString());
        assertEquals(1, process.inForce);
    }

    @Test void sentSettingsAreAdoptedUnlessTheyAreOlder() throws Exception {
        Process owner = new Process();
        owner.change(1);
        String older = owner.settings.current().line();
        owner.change(2);
        Files.delete(folder.resolve("s.json"));
        Process follower = new Process();
        follower.settings.adopt(owner.settings.current().line());
        follower.settings.adopt(older);
        assertEquals(2, follower.inForce);
        assertEquals(2, follower.settings.current().revision());
        assertThrows(SnapshotException.class, () -> follower.settings.adopt("{}"));
        follower.settings.reload();
        assertNull(new Process().inForce, "nothing is stored");
    }
}

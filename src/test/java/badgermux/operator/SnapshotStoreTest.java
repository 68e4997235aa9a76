package badgermux.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonPrimitive;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SnapshotStoreTest {
    @TempDir private Path folder;
    private Path file;

    @BeforeEach void setUp() {
        file = folder.resolve("operators.json");
    }

    private SnapshotStore open() throws SnapshotException {
        return SnapshotStore.open(file, Set.of("a", "b"));
    }

    private static Snapshot change(SnapshotStore store, String section, int value) {
        return store.current().with(section, new JsonPrimitive(value));
    }

    /** Two processes that each write all from their own memory would leave one section only. */
    @Test void writesNothingOverAnotherProcessesSnapshot() throws Exception {
        SnapshotStore first = open();
        SnapshotStore second = open();
        assertTrue(first.replace(change(first, "a", 1)));
        assertTrue(first.replace(change(first, "a", 2)), "its own snapshot");
        SnapshotConflictException conflict = assertThrows(SnapshotConflictException.class,
            () -> second.replace(change(second, "b", 3)));
        assertEquals("another process has changed the stored settings; they are at revision 2", conflict.getMessage());
        assertEquals(0, second.current().revision());
        second.adoptStored(second.readChanged());
        assertTrue(second.replace(change(second, "b", 3)));
        assertNull(second.readChanged());
        Snapshot stored = open().current();
        assertEquals(3, stored.revision());
        assertEquals(2, stored.section("a").getAsInt());
        assertEquals(3, stored.section("b").getAsInt());
    }

    /** A snapshot of the same revision may be another one, as two processes count on from the same. */
    @Test void tellsApartSnapshotsOfOneRevision() throws Exception {
        SnapshotStore store = open();
        assertTrue(store.replace(change(store, "a", 1)));
        Files.writeString(file, new Snapshot(1, Map.of("a", new JsonPrimitive(2))).text());
        assertThrows(SnapshotConflictException.class, () -> store.replace(change(store, "b", 1)));
        assertEquals(2, store.readChanged().section("a").getAsInt());
    }

    @Test void neverGoesBackToOlderSnapshot() throws Exception {
        SnapshotStore store = open();
        assertTrue(store.replace(change(store, "a", 1)));
        String first = Files.readString(file);
        assertTrue(store.replace(change(store, "a", 2)));
        Files.writeString(file, first);
        assertThrows(SnapshotConflictException.class, () -> store.replace(change(store, "a", 3)));
        assertNull(store.readChanged());
        Files.delete(file);
        assertTrue(store.replace(change(store, "a", 3)), "nothing is lost where nothing is stored");
    }

    /** What the other process has sent may be stored by now, or not at all. */
    @Test void writesOverWhatWasSentToIt() throws Exception {
        SnapshotStore owner = open();
        SnapshotStore follower = open();
        for (int revision = 1; revision <= 3; revision++) {
            Snapshot next = change(owner, "a", revision);
            if (revision < 3) {
                assertTrue(owner.replace(next));
            }
            follower.adopt(follower.parse(next.line()));
        }
        assertTrue(follower.replace(change(follower, "b", 1)));
        assertEquals(4, open().current().revision());
        assertEquals(3, open().current().section("a").getAsInt());
    }

    @Test void waitsForTheLockAndThenGivesUp() throws Exception {
        SnapshotStore store = open();
        try (FileChannel other = FileChannel.open(folder.resolve("operators.json.lock"), StandardOpenOption.CREATE,
                StandardOpenOption.WRITE)) {
            assertNotNull(other.lock());
            assertThrows(SnapshotConflictException.class, () -> store.replace(change(store, "a", 1)));
        }
        assertTrue(store.replace(change(store, "a", 1)));
    }

    /** A full disk, a folder that can't be written to: what is set counts until the end, and the old file is whole. */
    @Test void keepsOldFileWhereTheNewOneCannotBeWritten() throws Exception {
        SnapshotStore store = open();
        assertTrue(store.replace(change(store, "a", 1)));
        Path temporary = Files.createDirectory(folder.resolve("operators.json.next"));
        assertFalse(store.replace(change(store, "a", 2)));
        assertEquals(2, store.current().revision());
        assertEquals(1, open().current().revision());
        Files.delete(temporary);
        assertTrue(store.replace(change(store, "b", 1)));
        assertEquals(2, open().current().section("a").getAsInt());
    }

    /** A kill between write and rename leaves a temporary file, which need not be whole. */
    @Test void ignoresLeftoverTemporaryFile() throws Exception {
        SnapshotStore store = open();
        assertTrue(store.replace(change(store, "a", 1)));
        Files.writeString(folder.resolve("operators.json.next"), "{\"format\":\"badgermux-snapsho".repeat(100));
        SnapshotStore restarted = open();
        assertEquals(1, restarted.current().revision());
        assertTrue(restarted.replace(change(restarted, "a", 2)));
        assertEquals(2, open().current().revision());
    }

    @Test void leavesDamagedFileAndThatOfNewerProgramAlone() throws Exception {
        SnapshotStore store = open();
        for (String text : new String[] {"damaged", new Snapshot(9, Map.of("c", new JsonPrimitive(1))).text()}) {
            Files.writeString(file, text);
            assertThrows(SnapshotConflictException.class, () -> store.replace(change(store, "a", 1)));
            assertThrows(SnapshotException.class, store::readChanged);
            assertThrows(SnapshotException.class, this::open);
            assertEquals(text, Files.readString(file));
        }
    }

    @Test void storesNothingWithoutFile() throws SnapshotException, SnapshotConflictException, IOException {
        SnapshotStore store = SnapshotStore.open(null, Set.of("a"));
        assertFalse(store.replace(change(store, "a", 1)));
        assertEquals(1, store.current().revision());
        try (var files = Files.list(folder)) {
            assertEquals(0, files.count());
        }
    }
}

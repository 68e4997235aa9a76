package badgermux.operator;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CordonStoreTest {
    @TempDir private Path folder;

    @Test void readsStoredCordonsAndIgnoresUnknownFiles() throws IOException {
        CordonStore store = CordonStore.open(folder);
        store.cordon("s-1");
        store.cordon("s-1");
        store.cordon("s-2/\u00e9");
        store.cordon("s-3");
        store.uncordon("s-1", 17);
        store.uncordon("s-3", 18);
        Files.writeString(folder.resolve("back/" + java.util.HexFormat.of().formatHex("s-3".getBytes())), "damaged");
        Files.writeString(folder.resolve("out/not-an-id"), "");
        CordonStore reopened = CordonStore.open(folder);
        assertEquals(Set.of("s-2/\u00e9"), reopened.cordoned().keySet());
        assertEquals(Set.of("s-1", "s-3"), reopened.returned(0).keySet());
        assertEquals(17, reopened.returned(0).get("s-1")[0]);
        long[] damaged = reopened.returned(0).get("s-3");
        assertArrayEquals(new long[] {damaged[1], damaged[1]}, damaged, "the time of the return stands in");
        assertEquals(0, reopened.returned(Long.MAX_VALUE).size());
        assertEquals(0, reopened.returned(0).size(), "removed by the call before");
    }

    @Test void openFailsWhereTheFolderCannotBeCreated() throws IOException {
        Files.writeString(folder.resolve("out"), "in the way");
        assertThrows(IOException.class, () -> CordonStore.open(folder));
    }
}

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
        CordonStore kept = CordonStore.open(folder);
        kept.cordon("s-1");
        kept.cordon("s-1");
        kept.cordon("s-2/\u00e9");
        kept.cordon("s-3");
        kept.uncordon("s-1", 17);
        kept.uncordon("s-3", 18);
        Files.writeString(folder.resolve("back/" + java.util.HexFormat.of().formatHex("s-3".getBytes())), "damaged");
        Files.writeString(folder.resolve("out/rubbish"), "");
        CordonStore again = CordonStore.open(folder);
        assertEquals(Set.of("s-2/\u00e9"), again.cordoned().keySet());
        assertEquals(Set.of("s-1", "s-3"), again.returned(0).keySet());
        assertEquals(17, again.returned(0).get("s-1")[0]);
        long[] damaged = again.returned(0).get("s-3");
        assertArrayEquals(new long[] {damaged[1], damaged[1]}, damaged, "its return counts");
        assertEquals(0, again.returned(Long.MAX_VALUE).size());
        assertEquals(0, again.returned(0).size(), "forgotten");
    }

    @Test void openFailsWhereTheFolderCannotBeCreated() throws IOException {
        Files.writeString(folder.resolve("out"), "in the way");
        assertThrows(IOException.class, () -> CordonStore.open(folder));
    }
}

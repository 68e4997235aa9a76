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

class OutFolderTest {
    @TempDir private Path folder;

    @Test void whatIsKeptIsReadAndRubbishIsLeftAlone() throws IOException {
        OutFolder kept = OutFolder.open(folder);
        kept.takeOut("s-1");
        kept.takeOut("s-1");
        kept.takeOut("s-2/\u00e9");
        kept.takeOut("s-3");
        kept.putBack("s-1", 17);
        kept.putBack("s-3", 18);
        Files.writeString(folder.resolve("back/" + java.util.HexFormat.of().formatHex("s-3".getBytes())), "damaged");
        Files.writeString(folder.resolve("out/rubbish"), "");
        OutFolder again = OutFolder.open(folder);
        assertEquals(Set.of("s-2/\u00e9"), again.out().keySet());
        assertEquals(Set.of("s-1", "s-3"), again.back(0).keySet());
        assertEquals(17, again.back(0).get("s-1")[0]);
        long[] damaged = again.back(0).get("s-3");
        assertArrayEquals(new long[] {damaged[1], damaged[1]}, damaged, "its return counts");
        assertEquals(0, again.back(Long.MAX_VALUE).size());
        assertEquals(0, again.back(0).size(), "forgotten");
    }

    @Test void aPlaceThatCantBeUsedIsToldSo() throws IOException {
        Files.writeString(folder.resolve("out"), "in the way");
        assertThrows(IOException.class, () -> OutFolder.open(folder));
    }
}

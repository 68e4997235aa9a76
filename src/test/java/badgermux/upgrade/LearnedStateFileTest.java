package badgermux.upgrade;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import badgermux.decide.Dispatch.Heritage;
import badgermux.decide.Dispatch.Push;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class LearnedStateFileTest {
    private static final Heritage LEFT = new Heritage(new double[] {2.5, 7}, List.of(new Push(9, 5, 1)));
    private static final long NOW = 1_000_000;

    @TempDir private Path folder;

    @Test void whatWasKeptComesBackAndWhoWasKilledLeavesNoPushes() throws IOException {
        LearnedStateFile file = new LearnedStateFile(folder.resolve("n"), "[a] on [k]");
        assertNull(file.read(NOW), "there is none yet");
        file.write(LEFT, false, NOW);
        assertArrayEquals(LEFT.learnt(), file.read(NOW + 1).learnt());
        assertNull(file.read(NOW + 1).pushes());
        file.write(LEFT, true, NOW);
        assertEquals(LEFT.pushes(), file.read(NOW + 1).pushes());
    }

    @Test void whatIsOldOfOtherClassesOrSpoiltIsNotRead() throws IOException {
        LearnedStateFile file = new LearnedStateFile(folder.resolve("n"), "[a] on [k]");
        file.write(LEFT, true, NOW);
        assertNull(file.read(NOW + LearnedStateFile.MOST_AGE + 1));
        assertNull(file.read(NOW - 1), "from the future");
        assertNull(new LearnedStateFile(folder.resolve("n"), "[b] on [k]").read(NOW));
        Path kept = folder.resolve("n").resolve("learnt");
        String whole = Files.readString(kept);
        for (int length = 0; length < whole.length() - 2; length += 3) {
            Files.writeString(kept, whole.substring(0, length));
            assertNull(file.read(NOW), "cut at " + length);
        }
        for (String text : new String[] {"\n\n", "{}\n{}", "[]\n[]", whole.replace("[2.5", "[\"x\""), "\0\1\n"}) {
            Files.writeString(kept, text);
            assertNull(file.read(NOW), text);
        }
    }
}

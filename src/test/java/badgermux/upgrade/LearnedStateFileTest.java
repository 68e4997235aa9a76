package badgermux.upgrade;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import badgermux.decide.DispatchPolicy.LearnedState;
import badgermux.decide.DispatchPolicy.SentWork;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class LearnedStateFileTest {
    private static final LearnedState STATE = new LearnedState(new double[] {2.5, 7}, List.of(new SentWork(9, 5, 1)));
    private static final long NOW_MILLIS = 1_000_000;

    @TempDir private Path folder;

    @Test void readsWrittenStateAndDropsSentWorkUnlessEnded() throws IOException {
        LearnedStateFile file = new LearnedStateFile(folder.resolve("n"), "[a] on [k]");
        assertNull(file.read(NOW_MILLIS), "no file yet");
        file.write(STATE, false, NOW_MILLIS);
        assertArrayEquals(STATE.statistics(), file.read(NOW_MILLIS + 1).statistics());
        assertNull(file.read(NOW_MILLIS + 1).recentSends());
        file.write(STATE, true, NOW_MILLIS);
        assertEquals(STATE.recentSends(), file.read(NOW_MILLIS + 1).recentSends());
    }

    @Test void ignoresOldForeignOrDamagedFiles() throws IOException {
        LearnedStateFile file = new LearnedStateFile(folder.resolve("n"), "[a] on [k]");
        file.write(STATE, true, NOW_MILLIS);
        assertNull(file.read(NOW_MILLIS + LearnedStateFile.MAX_AGE_MILLIS + 1));
        assertNull(file.read(NOW_MILLIS - 1), "written in the future");
        assertNull(new LearnedStateFile(folder.resolve("n"), "[b] on [k]").read(NOW_MILLIS));
        Path path = folder.resolve("n").resolve("learnt");
        String complete = Files.readString(path);
        for (int length = 0; length < complete.length() - 2; length += 3) {
            Files.writeString(path, complete.substring(0, length));
            assertNull(file.read(NOW_MILLIS), "truncated to " + length);
        }
        for (String text : new String[] {"\n\n", "{}\n{}", "[]\n[]", complete.replace("[2.5", "[\"x\""), "\0\1\n"}) {
            Files.writeString(path, text);
            assertNull(file.read(NOW_MILLIS), text);
        }
    }
}

package badgermux.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The source files of the decision module have short lines and use no wire format, I/O, threads or clock. */
class ModuleSourceTest {
    private static final int MAX_LINE_LENGTH = 110;

    private static List<Path> sourceFiles() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("src", "main", "java", "badgermux", "decide"))) {
            List<Path> sources = files.sorted().toList();
            for (String file : List.of("DefaultDispatchPolicy.java", "DispatchPolicy.java",
                "ColdSendLedger.java", "InitialListCheck.java", "WatchTiming.java")) {
                assertTrue(sources.stream().anyMatch(source -> source.endsWith(file)), file + " is missing");
            }
            return sources;
        }
    }

    @Test void linesAreShort() throws IOException {
        List<String> longLines = new ArrayList<>();
        for (Path file : sourceFiles()) {
            Files.readAllLines(file).stream().filter(line -> line.length() > MAX_LINE_LENGTH)
                .forEach(line -> longLines.add(file + ": " + line));
        }
        assertEquals(List.of(), longLines);
    }

    @Test void usesNoWireFormatNoIoAndNoClock() throws IOException {
        for (Path file : sourceFiles()) {
            String text = Files.readString(file);
            for (String word : List.of("badgermux.sim", "java.io", "java.net", "java.nio", "System.", "Thread")) {
                assertFalse(text.contains(word), file + " contains " + word);
            }
        }
    }
}

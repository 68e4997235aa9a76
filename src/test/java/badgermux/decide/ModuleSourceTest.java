package badgermux.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The module stays one file that can be read whole at night, and knows nothing of the wire. */
class ModuleSourceTest {
    private static final Path SOURCES = Path.of("src", "main", "java", "badgermux", "decide");

    @Test void moduleIsShortAndItsLinesToo() throws IOException {
        List<String> lines = Files.readAllLines(SOURCES.resolve("DefaultDispatchPolicy.java"));
        assertTrue(lines.stream().filter(line -> !line.isBlank()).count() <= 710, "710 lines at most");
        assertEquals(List.of(), lines.stream().filter(line -> line.length() > 110).toList());
    }

    @Test void moduleImportsNothingOfTheWireNorAnyClock() throws IOException {
        for (String file : List.of("DefaultDispatchPolicy.java", "DispatchPolicy.java", "ColdSendLedger.java")) {
            String text = Files.readString(SOURCES.resolve(file));
            for (String word : List.of("badgermux.sim", "java.io", "java.net", "java.nio", "System.", "Thread")) {
                assertFalse(text.contains(word), file + " mentions " + word);
            }
        }
    }
}

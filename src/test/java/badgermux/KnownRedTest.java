package badgermux;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the script that reads KNOWN-RED.txt: CI excludes exactly the tests listed there, three at most, which must exist. */
class KnownRedTest {
    private static final String FIRST_ENTRY = "badgermux.SomeTest#one, a cause, with a comma, issue 7\n";
    private static final String SECOND_ENTRY = "badgermux.SomeTest#other, a cause, issue 25\n";

    @TempDir private Path root;

    @BeforeEach void createTestSources() throws IOException {
        Path tests = Files.createDirectories(root.resolve("src/test/java/badgermux"));
        Files.writeString(tests.resolve("SomeTest.java"), "class SomeTest {\n    @Test void one() { }\n\n"
            + "    @Property void other(@ForAll int x) { }\n\n    private static void helper() { }\n}\n");
    }

    private String runScript(int expectedStatus) throws IOException, InterruptedException {
        Process process = new ProcessBuilder(Path.of(".ci", "known-red").toAbsolutePath().toString())
            .directory(root.toFile()).redirectErrorStream(true).start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(expectedStatus, process.waitFor(), output);
        return output;
    }

    private String runScript(int expectedStatus, String knownRed) throws IOException, InterruptedException {
        Files.writeString(root.resolve("KNOWN-RED.txt"), knownRed);
        return runScript(expectedStatus);
    }

    @Test void excludesNothingWithoutEntries() throws IOException, InterruptedException {
        assertEquals("", runScript(0));
        assertEquals("", runScript(0, ""));
        assertEquals("", runScript(0, "\n"));
    }

    @Test void excludesExactlyTheListedTests() throws IOException, InterruptedException {
        assertEquals("badgermux/SomeTest.java#one\nbadgermux/SomeTest.java#other\n", runScript(0, FIRST_ENTRY + SECOND_ENTRY));
    }

    @Test void rejectsMoreThanThreeEntries() throws IOException, InterruptedException {
        runScript(0, FIRST_ENTRY.repeat(3));
        assertEquals("KNOWN-RED.txt: more than three lines",
            runScript(1, FIRST_ENTRY.repeat(4)).lines().reduce((previous, last) -> last).orElseThrow());
    }

    @Test void rejectsMalformedAndUnknownEntries() throws IOException, InterruptedException {
        for (String line : new String[] {"badgermux.SomeTest#three, a cause, issue 1",
                "badgermux.SomeTest#helper, a cause, issue 1", "badgermux.NoTest#one, a cause, issue 1",
                "badgermux.SomeTest, a cause, issue 1", "badgermux.SomeTest#one, issue 1", "badgermux.SomeTest#one, a cause",
                "badgermux.*#one, a cause, issue 1", "../SomeTest#one, a cause, issue 1"}) {
            assertNotEquals("", runScript(1, line), line);
        }
    }
}

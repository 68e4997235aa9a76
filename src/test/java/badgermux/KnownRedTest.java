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

/** Tests the script that reads KNOWN-RED.txt: CI excludes exactly the tests listed there, which must exist. */
class KnownRedTest {
    private static final String FIRST_ENTRY = "badgermux.SomeTest#one, mvn verify -Dit.test=SomeTest (seed 3) beside load: two, "
        + "where one is allowed, issue 7\n";
    private static final String SECOND_ENTRY = "badgermux.SomeTest#other, mvn verify (no seed): lost, issue 25\n";
    private static final String BENCH_ENTRY = "bench some-site zone+mass, play --day 4 (seed 71): drain, 8 times, issue 28\n";

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

    @Test void benchCasesExcludeNoTest() throws IOException, InterruptedException {
        assertEquals("", runScript(0, BENCH_ENTRY));
        assertEquals("badgermux/SomeTest.java#one\nbadgermux/SomeTest.java#other\n",
            runScript(0, BENCH_ENTRY + FIRST_ENTRY + BENCH_ENTRY + SECOND_ENTRY));
    }

    @Test void takesOneLineForEachOfManyEntries() throws IOException, InterruptedException {
        assertEquals("badgermux/SomeTest.java#one\n".repeat(5), runScript(0, FIRST_ENTRY.repeat(5)));
    }

    @Test void rejectsMalformedAndUnknownEntries() throws IOException, InterruptedException {
        for (String line : new String[] {"badgermux.SomeTest#three, mvn (seed 1): a, issue 1",
                "badgermux.SomeTest#helper, mvn (seed 1): a, issue 1", "badgermux.NoTest#one, mvn (seed 1): a, issue 1",
                "badgermux.SomeTest, mvn (seed 1): a, issue 1", "badgermux.SomeTest#one, issue 1",
                "badgermux.SomeTest#one, mvn (seed 1): a", "badgermux.SomeTest#one, mvn: a, issue 1",
                "badgermux.SomeTest#one, mvn (seed 1), issue 1", "badgermux.SomeTest#one, mvn (seed 1): , issue 1",
                "badgermux.SomeTest#one, (seed 1): a, issue 1", "badgermux.*#one, mvn (seed 1): a, issue 1",
                "../SomeTest#one, mvn (seed 1): a, issue 1", "bench, play (seed 1): a, issue 1",
                "bench site day, play: a, issue 1", "bench site day, play (seed 1): a", "bench site day, issue 1"}) {
            assertNotEquals("", runScript(1, line), line);
        }
    }
}

package badgermux.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** The README shows the program that is compiled here, and its output. */
class ExampleTest {
    @Test void readmeShowsThisProgramAndItsOutput() throws IOException {
        String readme = Files.readString(Path.of("README.md"));
        String program = Files.readString(Path.of("src", "test", "java", "badgermux", "decide", "Example.java"));
        assertTrue(readme.contains("```java\n" + program + "```"), "the README does not show Example.java");
        PrintStream originalOut = System.out;
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        System.setOut(new PrintStream(printed, true, StandardCharsets.UTF_8));
        try {
            Example.main(new String[0]);
        } finally {
            System.setOut(originalOut);
        }
        String shown = readme.substring(readme.indexOf("```text\n") + 8);
        assertEquals(shown.substring(0, shown.indexOf("```")),
            printed.toString(StandardCharsets.UTF_8).replace(System.lineSeparator(), "\n"));
    }
}

package badgermux.console;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ConsoleCommandTest {
    private static ConsoleCommand parse(String line) throws ConsoleCommand.MalformedCommandException {
        return ConsoleCommand.parse(line.getBytes(StandardCharsets.ISO_8859_1));
    }

    @ParameterizedTest @CsvSource({"HEALTH, HEALTH,", "' dump ', DUMP,", "OFFLINE s-0badcafe, OFFLINE, s-0badcafe",
        "'ONLINE\t  s:1.2', ONLINE, s:1.2"})
    void parsesCommands(String line, ConsoleCommand.Verb verb, String argument) throws ConsoleCommand.MalformedCommandException {
        assertEquals(new ConsoleCommand(verb, argument), parse(line));
    }

    @ParameterizedTest @ValueSource(strings = {"", " ", "FOO", "HEALTHY", "HEALTH now", "DUMP all", "OFFLINE", "ONLINE ",
        "OFFLINE a b", "OFFLINE \u0007", "HEALTH\r", "OFFLINE \u00e9", "\0"})
    void rejectsMalformedLinesWithAReason(String line) {
        assertTrue(assertThrows(ConsoleCommand.MalformedCommandException.class, () -> parse(line)).getMessage()
            .matches("[ -~]{10,120}"));
    }

    @ParameterizedTest @ValueSource(ints = {ConsoleCommand.MAX_ID_CHARS + 1, ConsoleCommand.MAX_LINE_BYTES})
    void rejectsLongLinesAndIds(int length) {
        assertThrows(ConsoleCommand.MalformedCommandException.class, () -> parse("OFFLINE " + "x".repeat(length)));
    }

    @Property void anyBytesGiveACommandOrAReason(@ForAll @Size(max = 300) byte[] bytes) {
        try {
            ConsoleCommand command = ConsoleCommand.parse(bytes);
            assertTrue(command.argument() == null || command.argument().matches("[!-~]+"));
        } catch (ConsoleCommand.MalformedCommandException e) {
            assertTrue(e.getMessage().matches("[ -~]+"));
        }
    }
}

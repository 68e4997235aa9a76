package badgermux.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how a message's head is split into its lines. */
class MessageHeadTest {
    private static final String SEED = "20261202";

    @Provide Arbitrary<String> heads() {
        return Arbitraries.of(
                "\r\n", "\r", "\n", "GET / HTTP/1.1", "Host:", ":", " ", "x", "\u00e9", "\u0085", "\t", "a-b: c ", "(")
            .list().ofMaxSize(9).map(parts -> String.join("", parts));
    }

    /** Returns the expected header lines, split with {@link String#split}; null if one of them is malformed. */
    private static List<String> expectedHeaderLines(String text) {
        String[] lines = text.split("\r\n", -1);
        List<String> headerLines = new ArrayList<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            if (colon <= 0 || !lines[i].substring(0, colon).matches("[!#$%&'*+.^_`|~0-9A-Za-z-]+")) {
                return null;
            }
            headerLines.add(lines[i]);
        }
        return headerLines;
    }

    @Property(seed = SEED, tries = 5_000)
    void linesAreSplitAtCrlf(@ForAll("heads") String text) throws InvalidMessageException {
        List<String> lines = expectedHeaderLines(text);
        if (lines == null) {
            assertEquals(400, assertThrows(InvalidMessageException.class, () -> MessageHead.parse(text)).status());
            return;
        }
        MessageHead head = MessageHead.parse(text);
        StringBuilder copied = new StringBuilder();
        head.appendHeaderLines(copied, Set.of());
        assertEquals(text.split("\r\n", -1)[0], head.startLine());
        assertEquals(String.join("", lines.stream().map(line -> line + "\r\n").toList()), copied.toString());
    }

    @ParameterizedTest
    @CsvSource({"HTTP/1.1 200 OK, 200", "HTTP/1.0 503 Busy now, 503", "HTTP/1.1 100, 100", "'HTTP/1.1 599 ', 599"})
    void statusLineIsParsed(String line, int status) throws InvalidMessageException {
        assertEquals(status, MessageHead.parse(line).status());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "HTTP/1.1 20 OK", "HTTP/1.1 600 No", "HTTP/2 200 OK", "HTTP/1.1  200 OK", "HTTP/1.1 200OK",
        "http/1.1 200 OK", "HTTP/1.1 2000", "xHTTP/1.1 200 OK", "HTTP/1.1 099 No"})
    void malformedStatusLineIsRejected(String line) throws InvalidMessageException {
        MessageHead head = MessageHead.parse(line);
        assertEquals(502, assertThrows(InvalidMessageException.class, head::status).status());
    }

    @ParameterizedTest @ValueSource(strings = {"GET / HTTP/1.1", "POST /a%20b?c=\u00e9 HTTP/1.1", "M-SEARCH * HTTP/1.1"})
    void requestLineIsParsed(String line) throws InvalidMessageException {
        assertEquals(line, String.join(" ", MessageHead.parse(line).requestLine()));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "GET", "GET /", "GET  HTTP/1.1", "GET / HTTP/1.0", "GET / HTTP/2", " / HTTP/1.1",
        "GET /\u0001 HTTP/1.1", "GET /\u007f HTTP/1.1", "GET /\ta HTTP/1.1", "G(T / HTTP/1.1", "GET / HTTP/1.1 x"})
    void malformedRequestLineIsRejected(String line) throws InvalidMessageException {
        MessageHead head = MessageHead.parse(line);
        assertEquals(400, assertThrows(InvalidMessageException.class, head::requestLine).status());
    }
}

package badgermux.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the parsers of messages, and of the JSON lines in the bodies of responses. */
class MessageReaderTest implements MessageReader.Listener {
    private final List<String> startLines = new ArrayList<>();
    private final StringBuilder bodies = new StringBuilder();

    @Override public void onHead(MessageHead head) {
        startLines.add(head.startLine());
    }

    @Override public void onBody(byte[] bytes) {
        bodies.append(new String(bytes, StandardCharsets.ISO_8859_1));
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    /** Reads a text in pieces of a size; returns the number of complete messages. */
    private int read(boolean readsResponses, int pieceSize, String text) throws InvalidMessageException {
        MessageReader reader = new MessageReader(readsResponses, 100, this);
        int messageCount = 0;
        for (int start = 0; start < text.length(); start += pieceSize) {
            ByteBuf in = bytes(text.substring(start, Math.min(text.length(), start + pieceSize)));
            while (in.isReadable()) {
                messageCount += reader.read(in) ? 1 : 0;
            }
        }
        return messageCount;
    }

    @ParameterizedTest @ValueSource(ints = {1, 2, 3, 7, 1000})
    void messagesAreReadInPiecesOfAnySize(int pieceSize) throws InvalidMessageException {
        String first = "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc";
        String second = "POST /b HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n"
            + "2\r\nde\r\n1;x=y\r\nf\r\n0\r\nT: t\r\n\r\n";
        String third = "GET /c HTTP/1.1\r\n\r\n";
        assertEquals(3, read(false, pieceSize, first + second + third));
        assertEquals(List.of("POST /a HTTP/1.1", "POST /b HTTP/1.1", "GET /c HTTP/1.1"), startLines);
        assertEquals("abcdef", bodies.toString());
    }

    /** Splits each message at every pair of positions: the message is the same, and complete only with the last piece. */
    @ParameterizedTest
    @ValueSource(strings = {"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc", "\r\nGET / HTTP/1.1\r\n\r\n",
        "POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\nT: t\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"})
    void messageMayBeSplitAtAnyByte(String text) throws InvalidMessageException {
        boolean isResponse = text.startsWith("HTTP");
        assertEquals(1, read(isResponse, text.length(), text));
        List<String> expectedStartLines = List.copyOf(startLines);
        String expectedBody = bodies.toString();
        for (int first = 0; first < text.length(); first++) {
            for (int second = first; second < text.length(); second++) {
                startLines.clear();
                bodies.setLength(0);
                MessageReader reader = new MessageReader(isResponse, 100, this);
                assertFalse(reader.read(bytes(text.substring(0, first)))
                    || reader.read(bytes(text.substring(first, second))));
                assertTrue(reader.read(bytes(text.substring(second))));
                assertEquals(expectedStartLines, startLines);
                assertEquals(expectedBody, bodies.toString());
            }
        }
    }

    @ParameterizedTest @ValueSource(strings = {"", "POST", "POST /", "POST / HTTP/2", "POST  HTTP/1.1",
        "POST /a b HTTP/1.1", "P(ST / HTTP/1.1", "POST /\u0001 HTTP/1.1", " / HTTP/1.1"})
    void badRequestLinesAreRejected(String line) {
        assertThrows(InvalidMessageException.class, () -> MessageHead.parse(line).requestLine());
    }

    @Test void interimResponseIsSkippedAndBodyEndsAtClose() throws InvalidMessageException {
        MessageReader reader = new MessageReader(true, 100, this);
        assertFalse(reader.read(bytes("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nto the end")));
        assertEquals(List.of("HTTP/1.1 200 OK"), startLines);
        assertTrue(reader.endOfInput());
        assertEquals("to the end", bodies.toString());
    }

    @Test void truncatedBodyIsIncomplete() throws InvalidMessageException {
        MessageReader reader = new MessageReader(true, 100, this);
        reader.read(bytes("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc"));
        assertFalse(reader.endOfInput());
    }

    @ParameterizedTest @CsvSource({
        "Content-Length: -1, 400", "Content-Length: 1x, 400", "Content-Length:, 400", "Content-Length: +1, 400",
        "Content-Length: 101, 413", "Content-Length: 99999999999999999999, 400", "Transfer-Encoding: gzip, 400",
        "no colon, 400", "bad name: x, 400", "Content-Length: 1|Content-Length: 2, 400",
        "Content-Length: 1|Transfer-Encoding: chunked, 400",
        "Transfer-Encoding: chunked|Transfer-Encoding: chunked, 400"})
    void badHeadsAreRejected(String lines, int status) {
        String head = "POST / HTTP/1.1\r\n" + lines.replace("|", "\r\n") + "\r\n\r\n";
        assertEquals(status, assertThrows(InvalidMessageException.class, () -> read(false, 1000, head)).status());
    }

    @ParameterizedTest @ValueSource(strings = {"z\r\n", "\r\n", "-1\r\n", "1\r\nabcd", "1\n", "123456789\r\n"})
    void badChunksAreRejected(String chunks) {
        assertThrows(InvalidMessageException.class,
            () -> read(false, 1000, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks));
    }

    @Test void oversizedBodyAndHeadAreRejected() {
        String chunk = "32\r\n" + "x".repeat(50) + "\r\n";
        String chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + chunk + chunk;
        assertEquals(413, assertThrows(InvalidMessageException.class, () -> read(false, 1000, chunked)).status());
        String head = "POST / HTTP/1.1\r\nA: " + "x".repeat(MessageReader.MAX_HEAD_BYTES);
        assertEquals(431, assertThrows(InvalidMessageException.class, () -> read(false, 1000, head)).status());
    }

    @Test void rawValuesAreKeptAndStringsDecoded() throws InvalidMessageException {
        LineSplitter lines = new LineSplitter();
        String text = "{\"id\":\"a\",\"n\":[1,{\"x\":\"}\"}], \"result\":\"q\\\"\\u00e9\\ud83d\\ude00\\n\"}";
        assertEquals(0, lines.add(text.substring(0, 9).getBytes(StandardCharsets.UTF_8)).size());
        List<byte[]> completeLines = lines.add((text.substring(9) + "\n\n{").getBytes(StandardCharsets.UTF_8));
        assertEquals(1, completeLines.size());
        JsonLine line = JsonLine.parse(completeLines.get(0));
        assertEquals("q\"\u00e9\ud83d\ude00\n", line.text("result"));
        assertEquals("[1,{\"x\":\"}\"}]", new String(line.raw("n"), StandardCharsets.UTF_8));
        assertEquals(1, lines.remainder().size());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "[]", "{\"a\"}", "{\"a\":}", "{\"a\":1", "{\"a\":\"x}", "{\"a\":1}x", "{a:1}"})
    void malformedJsonLinesAreRejected(String text) {
        assertThrows(InvalidMessageException.class, () -> JsonLine.parse(text.getBytes(StandardCharsets.UTF_8)));
    }
}

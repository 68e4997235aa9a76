package badgermux.http;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/**
 * Reads one HTTP/1.1 message after another from a connection, in whatever pieces it comes: the head, then a body by
 * Content-Length, in chunks or, for a response, up to the connection's end.
 */
public final class MessageReader {
    /** Told of a message's parts in order. */
    public interface Sink {
        void head(Head head) throws BadMessage;

        /** The next bytes of the body, framing taken off. */
        void body(byte[] bytes) throws BadMessage;
    }

    /** The longest head, and the longest line that tells a chunk's size. */
    public static final int MAX_HEAD = 16 * 1024;
    private static final int MAX_CHUNK_LINE = 256;
    private static final int MAX_METHOD = 16;
    /** The longest body of the platform's protocol. */
    public static final int MAX_BODY = 64 * 1024;

    private enum State { HEAD, FIXED, CHUNK_SIZE, CHUNK_DATA, CHUNK_END, TRAILER, TO_END }

    private final boolean responses;
    private final int maxBody;
    private final Sink sink;
    private State state = State.HEAD;
    private byte[] line = new byte[512];
    private int lineLength;
    private int blanks;
    private boolean methodKnown;
    private int trailerLength;
    private long left;
    private long bodyLength;

    public MessageReader(boolean responses, int maxBody, Sink sink) {
        this.responses = responses;
        this.maxBody = maxBody;
        this.sink = sink;
    }

    /** Whether nothing of a next message has come yet. */
    public boolean betweenMessages() {
        return state == State.HEAD && lineLength == 0;
    }

    /** Reads up to the end of one message at most; true if that end has come. What follows it stays unread. */
    public boolean read(ByteBuf in) throws BadMessage {
        while (in.isReadable()) {
            boolean ended = switch (state) {
                case HEAD -> readHead(in);
                case FIXED, CHUNK_DATA -> readData(in);
                case CHUNK_SIZE -> takeLine(in, MAX_CHUNK_LINE) && chunkSize();
                case CHUNK_END -> takeLine(in, 2) && chunkEnd();
                case TRAILER -> takeLine(in, MAX_HEAD) && trailer();
                case TO_END -> {
                    left = in.readableBytes();
                    readData(in);
                    yield false;
                }
            };
            if (ended) {
                return true;
            }
        }
        return false;
    }

    /** The connection has ended; whether that ends a message well. */
    public boolean endOfInput() {
        boolean whole = state == State.TO_END;
        state = State.HEAD;
        return whole;
    }

    private boolean readHead(ByteBuf in) throws BadMessage {
        while (in.isReadable()) {
            byte b = in.readByte();
            // Some clients end a body with a line end that is not counted in it.
            if (lineLength == 0 && (b == '\r' || b == '\n') && blanks < 2) {
                blanks++;
                continue;
            }
            plain(b);
            if (!responses && !methodKnown) {
                method(b);
            }
            append(b, MAX_HEAD, 431);
            if (b == '\n' && endsWith("\r\n\r\n")) {
                String text = new String(line, 0, lineLength - 4, StandardCharsets.ISO_8859_1);
                lineLength = 0;
                blanks = 0;
                methodKnown = false;
                return startBody(Head.parse(text));
            }
        }
        return false;
    }

    private boolean startBody(Head head) throws BadMessage {
        int status = responses ? head.status() : 0;
        if (responses && status < 200) {
            return false;   // an interim response: the real one follows
        }
        bodyLength = 0;
        List<String> lengths = head.all("Content-Length");
        List<String> codings = head.all("Transfer-Encoding");
        // Guards against two readers that see two ends of one message.
        if (!codings.isEmpty() && (!lengths.isEmpty() || codings.size() > 1
            || !codings.get(0).equalsIgnoreCase("chunked"))) {
            throw new BadMessage(400, "transfer coding that is not understood");
        }
        left = lengths.isEmpty() ? 0 : toLength(lengths);
        if (left > maxBody) {
            throw new BadMessage(413, "body too long");
        }
        boolean bare = status == 204 || status == 304;
        if (!codings.isEmpty() && !bare) {
            state = State.CHUNK_SIZE;
        } else if (left > 0 && !bare) {
            state = State.FIXED;
        } else if (responses && lengths.isEmpty() && !bare) {
            state = State.TO_END;
        }
        sink.head(head);
        return state == State.HEAD;
    }

    private static long toLength(List<String> lengths) throws BadMessage {
        String first = lengths.get(0);
        if (first.isEmpty() || first.length() > 18 || !first.chars().allMatch(c -> c >= '0' && c <= '9')
            || lengths.size() > 1) {
            throw new BadMessage(400, "bad Content-Length");
        }
        return Long.parseLong(first);
    }

    private boolean readData(ByteBuf in) throws BadMessage {
        byte[] bytes = new byte[(int) Math.min(left, in.readableBytes())];
        in.readBytes(bytes);
        left -= bytes.length;
        bodyLength += bytes.length;
        if (bodyLength > maxBody) {
            throw new BadMessage(413, "body too long");
        }
        sink.body(bytes);
        if (left > 0 || state == State.TO_END) {
            return false;
        }
        boolean ended = state == State.FIXED;
        state = ended ? State.HEAD : State.CHUNK_END;
        return ended;
    }

    private boolean chunkSize() throws BadMessage {
        String text = lineText();
        int extension = text.indexOf(';');
        String size = extension < 0 ? text : text.substring(0, extension);
        if (size.isEmpty() || size.length() > 8
            || !size.chars().allMatch(c -> Character.digit(c, 16) >= 0 && c < 128)) {
            throw new BadMessage(400, "bad chunk size");
        }
        left = Long.parseLong(size, 16);
        if (bodyLength + left > maxBody) {
            throw new BadMessage(413, "body too long");
        }
        trailerLength = 0;
        state = left == 0 ? State.TRAILER : State.CHUNK_DATA;
        return false;
    }

    private boolean chunkEnd() throws BadMessage {
        if (!lineText().isEmpty()) {
            throw new BadMessage(400, "chunk longer than its size");
        }
        state = State.CHUNK_SIZE;
        return false;
    }

    private boolean trailer() throws BadMessage {
        String text = lineText();
        trailerLength += text.length();
        if (trailerLength > MAX_HEAD) {
            throw new BadMessage(431, "trailer too long");
        }
        if (!text.isEmpty()) {
            return false;
        }
        state = State.HEAD;
        return true;
    }

    /** Gathers a line; true once it is whole, with its end. */
    private boolean takeLine(ByteBuf in, int max) throws BadMessage {
        while (in.isReadable()) {
            byte b = in.readByte();
            plain(b);
            append(b, max, 400);
            if (b == '\n') {
                return true;
            }
        }
        return false;
    }

    private String lineText() {
        String text = new String(line, 0, lineLength - 2, StandardCharsets.ISO_8859_1);
        lineLength = 0;
        return text;
    }

    /** Guards against rubbish that is waited for as if it were the beginning of a request. */
    private void method(byte b) throws BadMessage {
        methodKnown = b == ' ' && lineLength > 0;
        if (!methodKnown && (b < 'A' || b > 'Z' || lineLength >= MAX_METHOD)) {
            throw new BadMessage(400, "malformed request line");
        }
    }

    /** Guards against bytes that another reader would take for a line's end, or for nothing at all. */
    private void plain(byte b) throws BadMessage {
        boolean afterReturn = lineLength > 0 && line[lineLength - 1] == '\r';
        if (afterReturn != (b == '\n') || b >= 0 && b < ' ' && b != '\t' && b != '\r' && b != '\n' || b == 127) {
            throw new BadMessage(400, "control character, or half a line end");
        }
    }

    private void append(byte b, int max, int status) throws BadMessage {
        if (lineLength == max) {
            throw new BadMessage(status, "line or head too long");
        }
        if (lineLength == line.length) {
            line = Arrays.copyOf(line, 2 * lineLength);
        }
        line[lineLength++] = b;
    }

    private boolean endsWith(String end) {
        for (int i = 0; i < end.length(); i++) {
            if (lineLength < end.length() || line[lineLength - end.length() + i] != end.charAt(i)) {
                return false;
            }
        }
        return true;
    }
}

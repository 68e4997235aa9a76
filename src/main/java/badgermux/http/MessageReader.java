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
    public interface Listener {
        void onHead(MessageHead head) throws InvalidMessageException;

        /** The next bytes of the body, framing taken off. */
        void onBody(byte[] bytes) throws InvalidMessageException;
    }

    /** The longest head, and the longest line that tells a chunk's size. */
    public static final int MAX_HEAD_BYTES = 16 * 1024;
    private static final int MAX_CHUNK_LINE_BYTES = 256;
    private static final int MAX_METHOD_BYTES = 16;
    /** The longest body of the platform's protocol. */
    public static final int MAX_BODY_BYTES = 64 * 1024;

    private enum State { HEAD, FIXED_LENGTH, CHUNK_SIZE, CHUNK_DATA, CHUNK_END, TRAILER, UNTIL_CLOSE }

    private final boolean readsResponses;
    private final int maxBodyBytes;
    private final Listener listener;
    private State state = State.HEAD;
    private byte[] line = new byte[512];
    private int lineLength;
    private int leadingLineEnds;
    private boolean isMethodComplete;
    private int trailerLength;
    private long remaining;
    private long bodyLength;

    public MessageReader(boolean responses, int maxBody, Listener sink) {
        this.readsResponses = responses;
        this.maxBodyBytes = maxBody;
        this.listener = sink;
    }

    /** Whether nothing of a next message has come yet. */
    public boolean isBetweenMessages() {
        return state == State.HEAD && lineLength == 0;
    }

    /** Reads up to the end of one message at most; true if that end has come. What follows it stays unread. */
    public boolean read(ByteBuf in) throws InvalidMessageException {
        while (in.isReadable()) {
            boolean ended = switch (state) {
                case HEAD -> readHead(in);
                case FIXED_LENGTH, CHUNK_DATA -> readData(in);
                case CHUNK_SIZE -> readLine(in, MAX_CHUNK_LINE_BYTES) && startChunk();
                case CHUNK_END -> readLine(in, 2) && endChunk();
                case TRAILER -> readLine(in, MAX_HEAD_BYTES) && readTrailerLine();
                case UNTIL_CLOSE -> {
                    remaining = in.readableBytes();
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
        boolean whole = state == State.UNTIL_CLOSE;
        state = State.HEAD;
        return whole;
    }

    private boolean readHead(ByteBuf in) throws InvalidMessageException {
        while (in.isReadable()) {
            byte b = in.readByte();
            // Some clients end a body with a line end that is not counted in it.
            if (lineLength == 0 && (b == '\r' || b == '\n') && leadingLineEnds < 2) {
                leadingLineEnds++;
                continue;
            }
            checkControlByte(b);
            if (!readsResponses && !isMethodComplete) {
                checkMethodByte(b);
            }
            append(b, MAX_HEAD_BYTES, 431);
            if (b == '\n' && endsWith("\r\n\r\n")) {
                String text = new String(line, 0, lineLength - 4, StandardCharsets.ISO_8859_1);
                lineLength = 0;
                leadingLineEnds = 0;
                isMethodComplete = false;
                return startBody(MessageHead.parse(text));
            }
        }
        return false;
    }

    private boolean startBody(MessageHead head) throws InvalidMessageException {
        int status = readsResponses ? head.status() : 0;
        if (readsResponses && status < 200) {
            return false;   // an interim response: the real one follows
        }
        bodyLength = 0;
        List<String> lengths = head.values("Content-Length");
        List<String> codings = head.values("Transfer-Encoding");
        // Guards against two readers that see two ends of one message.
        if (!codings.isEmpty() && (!lengths.isEmpty() || codings.size() > 1
            || !codings.get(0).equalsIgnoreCase("chunked"))) {
            throw new InvalidMessageException(400, "transfer coding that is not understood");
        }
        remaining = lengths.isEmpty() ? 0 : parseContentLength(lengths);
        if (remaining > maxBodyBytes) {
            throw new InvalidMessageException(413, "body too long");
        }
        boolean bare = status == 204 || status == 304;
        if (!codings.isEmpty() && !bare) {
            state = State.CHUNK_SIZE;
        } else if (remaining > 0 && !bare) {
            state = State.FIXED_LENGTH;
        } else if (readsResponses && lengths.isEmpty() && !bare) {
            state = State.UNTIL_CLOSE;
        }
        listener.onHead(head);
        return state == State.HEAD;
    }

    private static long parseContentLength(List<String> lengths) throws InvalidMessageException {
        String first = lengths.get(0);
        if (first.isEmpty() || first.length() > 18 || !first.chars().allMatch(c -> c >= '0' && c <= '9')
            || lengths.size() > 1) {
            throw new InvalidMessageException(400, "bad Content-Length");
        }
        return Long.parseLong(first);
    }

    private boolean readData(ByteBuf in) throws InvalidMessageException {
        byte[] bytes = new byte[(int) Math.min(remaining, in.readableBytes())];
        in.readBytes(bytes);
        remaining -= bytes.length;
        bodyLength += bytes.length;
        if (bodyLength > maxBodyBytes) {
            throw new InvalidMessageException(413, "body too long");
        }
        listener.onBody(bytes);
        if (remaining > 0 || state == State.UNTIL_CLOSE) {
            return false;
        }
        boolean ended = state == State.FIXED_LENGTH;
        state = ended ? State.HEAD : State.CHUNK_END;
        return ended;
    }

    private boolean startChunk() throws InvalidMessageException {
        String text = takeLineText();
        int extension = text.indexOf(';');
        String size = extension < 0 ? text : text.substring(0, extension);
        if (size.isEmpty() || size.length() > 8
            || !size.chars().allMatch(c -> Character.digit(c, 16) >= 0 && c < 128)) {
            throw new InvalidMessageException(400, "bad chunk size");
        }
        remaining = Long.parseLong(size, 16);
        if (bodyLength + remaining > maxBodyBytes) {
            throw new InvalidMessageException(413, "body too long");
        }
        trailerLength = 0;
        state = remaining == 0 ? State.TRAILER : State.CHUNK_DATA;
        return false;
    }

    private boolean endChunk() throws InvalidMessageException {
        if (!takeLineText().isEmpty()) {
            throw new InvalidMessageException(400, "chunk longer than its size");
        }
        state = State.CHUNK_SIZE;
        return false;
    }

    private boolean readTrailerLine() throws InvalidMessageException {
        String text = takeLineText();
        trailerLength += text.length();
        if (trailerLength > MAX_HEAD_BYTES) {
            throw new InvalidMessageException(431, "trailer too long");
        }
        if (!text.isEmpty()) {
            return false;
        }
        state = State.HEAD;
        return true;
    }

    /** Gathers a line; true once it is whole, with its end. */
    private boolean readLine(ByteBuf in, int max) throws InvalidMessageException {
        while (in.isReadable()) {
            byte b = in.readByte();
            checkControlByte(b);
            append(b, max, 400);
            if (b == '\n') {
                return true;
            }
        }
        return false;
    }

    private String takeLineText() {
        String text = new String(line, 0, lineLength - 2, StandardCharsets.ISO_8859_1);
        lineLength = 0;
        return text;
    }

    /** Guards against rubbish that is waited for as if it were the beginning of a request. */
    private void checkMethodByte(byte b) throws InvalidMessageException {
        isMethodComplete = b == ' ' && lineLength > 0;
        if (!isMethodComplete && (b < 'A' || b > 'Z' || lineLength >= MAX_METHOD_BYTES)) {
            throw new InvalidMessageException(400, "malformed request line");
        }
    }

    /** Guards against bytes that another reader would take for a line's end, or for nothing at all. */
    private void checkControlByte(byte b) throws InvalidMessageException {
        boolean afterReturn = lineLength > 0 && line[lineLength - 1] == '\r';
        if (afterReturn != (b == '\n') || b >= 0 && b < ' ' && b != '\t' && b != '\r' && b != '\n' || b == 127) {
            throw new InvalidMessageException(400, "control character, or half a line end");
        }
    }

    private void append(byte b, int max, int status) throws InvalidMessageException {
        if (lineLength == max) {
            throw new InvalidMessageException(status, "line or head too long");
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

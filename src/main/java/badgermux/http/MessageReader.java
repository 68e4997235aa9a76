package badgermux.http;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/**
 * Incremental parser of the HTTP/1.1 messages on one connection. The end of a body is given by Content-Length, by its last
 * chunk or, in a response, by the end of the connection.
 */
public final class MessageReader {
    /** Receives the parts of a message, in their order. */
    public interface Listener {
        /** The head is complete. Not called for interim responses. */
        void onHead(MessageHead head) throws InvalidMessageException;

        /** The next bytes of the body, without framing. */
        void onBody(byte[] bytes) throws InvalidMessageException;
    }

    /** The longest head, and the longest trailer. */
    public static final int MAX_HEAD_BYTES = 16 * 1024;
    /** Initial capacity of the buffer of a head or line. */
    private static final int INITIAL_LINE_BYTES = 512;
    /** The longest line with a chunk's size and extensions. */
    private static final int MAX_CHUNK_LINE_BYTES = 256;
    /** The longest method of a request. */
    private static final int MAX_METHOD_BYTES = 16;
    /** The longest body of requests to backends and of their responses. */
    public static final int MAX_BODY_BYTES = 64 * 1024;

    private enum State { HEAD, FIXED_LENGTH, CHUNK_SIZE, CHUNK_DATA, CHUNK_END, TRAILER, UNTIL_CLOSE }

    private final boolean readsResponses;
    private final int maxBodyBytes;
    private final Listener listener;
    private State state = State.HEAD;
    /** The head or line that is being read. */
    private byte[] line = new byte[INITIAL_LINE_BYTES];
    private int lineLength;
    /** CR and LF bytes skipped before the head. */
    private int leadingLineEndBytes;
    private boolean isMethodComplete;
    private int trailerBytes;
    /** Bytes that are still to be read of a body of fixed length, of a chunk or, until the close, of the present input. */
    private long remainingBytes;
    private long bodyBytes;

    /**
     * Creates a parser for one connection.
     *
     * @param readsResponses whether the messages are responses, not requests
     */
    public MessageReader(boolean readsResponses, int maxBodyBytes, Listener listener) {
        this.readsResponses = readsResponses;
        this.maxBodyBytes = maxBodyBytes;
        this.listener = listener;
    }

    /** Whether no part of the next message has been read. */
    public boolean isBetweenMessages() {
        return state == State.HEAD && lineLength == 0;
    }

    /** Returns how many bytes are held for the part of a head or line that has been read; 0 if there is none. */
    public int heldBytes() {
        return lineLength == 0 ? 0 : line.length;
    }

    /**
     * Reads up to the end of one message at most; input after it stays unread.
     *
     * @return whether the message is complete
     * @throws InvalidMessageException if the message is malformed or too long
     */
    public boolean read(ByteBuf in) throws InvalidMessageException {
        while (in.isReadable()) {
            boolean isComplete = switch (state) {
                case HEAD -> readHead(in);
                case FIXED_LENGTH, CHUNK_DATA -> readData(in);
                case CHUNK_SIZE -> readLine(in, MAX_CHUNK_LINE_BYTES) && startChunk();
                case CHUNK_END -> readLine(in, 2) && endChunk();
                case TRAILER -> readLine(in, MAX_HEAD_BYTES) && readTrailerLine();
                case UNTIL_CLOSE -> {
                    remainingBytes = in.readableBytes();
                    readData(in);
                    yield false;
                }
            };
            if (isComplete) {
                return true;
            }
        }
        return false;
    }

    /** Ends the input; returns whether the end of the connection completes a message. */
    public boolean endOfInput() {
        boolean isComplete = state == State.UNTIL_CLOSE;
        state = State.HEAD;
        return isComplete;
    }

    private boolean readHead(ByteBuf in) throws InvalidMessageException {
        while (in.isReadable()) {
            byte b = in.readByte();
            // Some clients send a line end after a body that its Content-Length does not include.
            if (lineLength == 0 && (b == '\r' || b == '\n') && leadingLineEndBytes < 2) {
                leadingLineEndBytes++;
                continue;
            }
            checkControlByte(b);
            if (!readsResponses && !isMethodComplete) {
                checkMethodByte(b);
            }
            append(b, MAX_HEAD_BYTES, 431);
            if (b == '\n' && endsWith("\r\n\r\n")) {
                String text = new String(line, 0, lineLength - 4, StandardCharsets.ISO_8859_1);
                clearLine();
                leadingLineEndBytes = 0;
                isMethodComplete = false;
                return startBody(MessageHead.parse(text));
            }
        }
        return false;
    }

    private boolean startBody(MessageHead head) throws InvalidMessageException {
        int status = readsResponses ? head.status() : 0;
        if (readsResponses && status < 200) {
            return false;   // interim response: the final one follows
        }
        bodyBytes = 0;
        List<String> lengths = head.values("Content-Length");
        List<String> codings = head.values("Transfer-Encoding");
        // With an ambiguous length, two parsers could find different ends of the message.
        if (!codings.isEmpty() && (!lengths.isEmpty() || codings.size() > 1
            || !codings.get(0).equalsIgnoreCase("chunked"))) {
            throw new InvalidMessageException(400, "transfer coding that is not understood");
        }
        remainingBytes = lengths.isEmpty() ? 0 : parseContentLength(lengths);
        if (remainingBytes > maxBodyBytes) {
            throw new InvalidMessageException(413, "body too long");
        }
        boolean isWithoutBody = status == 204 || status == 304;
        if (!codings.isEmpty() && !isWithoutBody) {
            state = State.CHUNK_SIZE;
        } else if (remainingBytes > 0 && !isWithoutBody) {
            state = State.FIXED_LENGTH;
        } else if (readsResponses && lengths.isEmpty() && !isWithoutBody) {
            state = State.UNTIL_CLOSE;
        }
        listener.onHead(head);
        return state == State.HEAD;
    }

    private static long parseContentLength(List<String> lengths) throws InvalidMessageException {
        String digits = lengths.get(0);
        if (digits.isEmpty() || digits.length() > 18 || !digits.chars().allMatch(c -> c >= '0' && c <= '9')
            || lengths.size() > 1) {
            throw new InvalidMessageException(400, "bad Content-Length");
        }
        return Long.parseLong(digits);
    }

    /** Passes the available bytes of a body or a chunk to the listener; returns whether the message is complete. */
    private boolean readData(ByteBuf in) throws InvalidMessageException {
        byte[] bytes = new byte[(int) Math.min(remainingBytes, in.readableBytes())];
        in.readBytes(bytes);
        remainingBytes -= bytes.length;
        bodyBytes += bytes.length;
        if (bodyBytes > maxBodyBytes) {
            throw new InvalidMessageException(413, "body too long");
        }
        listener.onBody(bytes);
        if (remainingBytes > 0 || state == State.UNTIL_CLOSE) {
            return false;
        }
        boolean isComplete = state == State.FIXED_LENGTH;
        state = isComplete ? State.HEAD : State.CHUNK_END;
        return isComplete;
    }

    private boolean startChunk() throws InvalidMessageException {
        String text = takeLineText();
        int extensionStart = text.indexOf(';');
        String size = extensionStart < 0 ? text : text.substring(0, extensionStart);
        if (size.isEmpty() || size.length() > 8
            || !size.chars().allMatch(c -> Character.digit(c, 16) >= 0 && c < 128)) {
            throw new InvalidMessageException(400, "bad chunk size");
        }
        remainingBytes = Long.parseLong(size, 16);
        if (bodyBytes + remainingBytes > maxBodyBytes) {
            throw new InvalidMessageException(413, "body too long");
        }
        trailerBytes = 0;
        state = remainingBytes == 0 ? State.TRAILER : State.CHUNK_DATA;
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
        trailerBytes += text.length();
        if (trailerBytes > MAX_HEAD_BYTES) {
            throw new InvalidMessageException(431, "trailer too long");
        }
        if (!text.isEmpty()) {
            return false;
        }
        state = State.HEAD;
        return true;
    }

    /** Reads up to the end of a line; returns whether the line is complete. */
    private boolean readLine(ByteBuf in, int maxBytes) throws InvalidMessageException {
        while (in.isReadable()) {
            byte b = in.readByte();
            checkControlByte(b);
            append(b, maxBytes, 400);
            if (b == '\n') {
                return true;
            }
        }
        return false;
    }

    /** Returns the line without its end, and starts the next line. */
    private String takeLineText() {
        String text = new String(line, 0, lineLength - 2, StandardCharsets.ISO_8859_1);
        clearLine();
        return text;
    }

    /** Empties the buffer, and gives it its initial capacity again: few lines are long, and connections stay open for long. */
    private void clearLine() {
        lineLength = 0;
        if (line.length > INITIAL_LINE_BYTES) {
            line = new byte[INITIAL_LINE_BYTES];
        }
    }

    /** Rejects input that can't be a method at once, instead of waiting for the rest of a request line. */
    private void checkMethodByte(byte b) throws InvalidMessageException {
        isMethodComplete = b == ' ' && lineLength > 0;
        if (!isMethodComplete && (b < 'A' || b > 'Z' || lineLength >= MAX_METHOD_BYTES)) {
            throw new InvalidMessageException(400, "malformed request line");
        }
    }

    /** Rejects control characters and a CR or LF alone, which other parsers may take for a line end or ignore. */
    private void checkControlByte(byte b) throws InvalidMessageException {
        boolean isAfterReturn = lineLength > 0 && line[lineLength - 1] == '\r';
        if (isAfterReturn != (b == '\n') || b >= 0 && b < ' ' && b != '\t' && b != '\r' && b != '\n' || b == 127) {
            throw new InvalidMessageException(400, "control character, or half a line end");
        }
    }

    private void append(byte b, int maxBytes, int status) throws InvalidMessageException {
        if (lineLength == maxBytes) {
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

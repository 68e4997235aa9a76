package badgermux.sim;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/**
 * Reads batches of records and writes replies. Both are little-endian frames whose header contains the length of the whole
 * frame.
 */
final class FrameCodec {
    private static final int BATCH_HEADER_BYTES = 16;
    private static final int REPLY_HEADER_BYTES = 4;
    /** A longer batch indicates a corrupt header and is rejected before memory is allocated for it. */
    private static final int MAX_BATCH_BYTES = 1 << 30;
    /** The space that each action's record may use; the reply buffer grows when less is left. */
    private static final int MAX_ACTION_BYTES = 1024;
    /** The longest text in an action's record, which leaves space for its other fields. */
    private static final int MAX_TEXT_BYTES = 500;

    private final InputStream in;
    private final OutputStream out;
    private ByteBuffer batch = allocateBuffer(1 << 16);
    private ByteBuffer reply = allocateBuffer(1 << 16);
    private double clockMillis;
    private int recordCount;

    FrameCodec(InputStream in, OutputStream out) {
        this.in = in;
        this.out = out;
    }

    private static ByteBuffer allocateBuffer(int size) {
        return ByteBuffer.allocate(size).order(ByteOrder.LITTLE_ENDIAN);
    }

    /**
     * Reads the next batch and starts its reply.
     *
     * @return false at the end of input
     * @throws EOFException if the input ends inside a batch
     */
    boolean readBatch() throws IOException {
        batch.clear();
        int headerBytes = in.readNBytes(batch.array(), 0, BATCH_HEADER_BYTES);
        if (headerBytes == 0) {
            return false;
        }
        if (headerBytes < BATCH_HEADER_BYTES) {
            throw new EOFException("input ends inside a batch header");
        }
        clockMillis = batch.getDouble();
        int length = batch.getInt();
        recordCount = batch.getInt();
        if (length < BATCH_HEADER_BYTES || length > MAX_BATCH_BYTES || recordCount < 0 || !Double.isFinite(clockMillis)) {
            throw new MalformedInputException("invalid batch header: length " + length + ", " + recordCount + " records");
        }
        int bodyBytes = length - BATCH_HEADER_BYTES;
        if (batch.capacity() < bodyBytes) {
            batch = allocateBuffer(Math.max(bodyBytes, 2 * batch.capacity()));
        }
        if (in.readNBytes(batch.array(), 0, bodyBytes) < bodyBytes) {
            throw new EOFException("input ends inside a batch of " + length + " bytes");
        }
        batch.position(0).limit(bodyBytes);
        reply.clear().position(REPLY_HEADER_BYTES);
        return true;
    }

    /** Returns the simulator's time of the current batch. */
    double clockMillis() {
        return clockMillis;
    }

    /** Returns the number of records in the current batch. */
    int recordCount() {
        return recordCount;
    }

    /** Rejects a batch that has more bytes than its records. */
    void requireEndOfBatch() {
        if (batch.hasRemaining()) {
            throw new MalformedInputException(batch.remaining() + " bytes follow the last record of a batch");
        }
    }

    /** Writes the reply to the current batch and flushes the output. */
    void writeReply() throws IOException {
        reply.putInt(0, reply.position());
        out.write(reply.array(), 0, reply.position());
        out.flush();
    }

    // ---- Fields read

    int readU8() {
        requireRemaining(1);
        return batch.get() & 0xff;
    }

    int readU16() {
        requireRemaining(2);
        return batch.getShort() & 0xffff;
    }

    int readU32() {
        requireRemaining(4);
        return batch.getInt();
    }

    long readU64() {
        requireRemaining(8);
        return batch.getLong();
    }

    double readF32() {
        requireRemaining(4);
        return batch.getFloat();
    }

    double readF64() {
        requireRemaining(8);
        return batch.getDouble();
    }

    /** Reads an IPv4 address and a port as one number that sorts in the same order. */
    long readBackend() {
        requireRemaining(6);
        long address = Integer.reverseBytes(batch.getInt()) & 0xffffffffL;
        return address << 16 | batch.getShort() & 0xffff;
    }

    /** Reads a UTF-8 text with a 32-bit length. */
    String readText() {
        int length = readU32();
        requireRemaining(length);
        String text = new String(batch.array(), batch.position(), length, StandardCharsets.UTF_8);
        batch.position(batch.position() + length);
        return text;
    }

    void skip(int bytes) {
        requireRemaining(bytes);
        batch.position(batch.position() + bytes);
    }

    private void requireRemaining(int bytes) {
        if (bytes < 0 || batch.remaining() < bytes) {
            throw new MalformedInputException("record is truncated: " + bytes + " bytes expected, " + batch.remaining()
                + " remaining");
        }
    }

    // ---- Fields written

    /** Starts the record of an action; its fields follow. */
    FrameCodec beginAction(int code, int instance) {
        if (reply.remaining() < MAX_ACTION_BYTES) {
            reply = allocateBuffer(2 * reply.capacity()).put(reply.flip());
        }
        reply.put((byte) code).putInt(instance);
        return this;
    }

    FrameCodec putU8(int value) {
        reply.put((byte) value);
        return this;
    }

    FrameCodec putU16(int value) {
        reply.putShort((short) value);
        return this;
    }

    FrameCodec putU32(int value) {
        reply.putInt(value);
        return this;
    }

    FrameCodec putU64(long value) {
        reply.putLong(value);
        return this;
    }

    FrameCodec putF64(double value) {
        reply.putDouble(value);
        return this;
    }

    /** Writes a backend's address and port as {@link #readBackend} returned them. */
    FrameCodec putBackend(long backendId) {
        reply.putInt(Integer.reverseBytes((int) (backendId >>> 16))).putShort((short) backendId);
        return this;
    }

    /** Writes a UTF-8 text with a 16-bit length, cut to {@link #MAX_TEXT_BYTES}. */
    FrameCodec putText(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(MAX_TEXT_BYTES, bytes.length);
        reply.putShort((short) length).put(bytes, 0, length);
        return this;
    }
}

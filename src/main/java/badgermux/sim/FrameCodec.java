package badgermux.sim;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/** Reads batches and writes replies: little-endian frames whose headers state their whole length. */
final class FrameCodec {
    private static final int BATCH_HEADER_BYTES = 16;
    private static final int REPLY_HEADER_BYTES = 4;
    /** No batch comes near this; a larger figure is a broken header, not a reason to ask for the memory. */
    private static final int MAX_BATCH_BYTES = 1 << 30;

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

    /** Takes in the next batch; false at the end of input. */
    boolean readBatch() throws IOException {
        batch.clear();
        int got = in.readNBytes(batch.array(), 0, BATCH_HEADER_BYTES);
        if (got == 0) {
            return false;
        }
        if (got < BATCH_HEADER_BYTES) {
            throw new EOFException("input ends inside a batch header");
        }
        clockMillis = batch.getDouble();
        int length = batch.getInt();
        recordCount = batch.getInt();
        if (length < BATCH_HEADER_BYTES || length > MAX_BATCH_BYTES || recordCount < 0 || !Double.isFinite(clockMillis)) {
            throw new MalformedInputException("batch header states length " + length + " and " + recordCount + " records");
        }
        int body = length - BATCH_HEADER_BYTES;
        if (batch.capacity() < body) {
            batch = allocateBuffer(Math.max(body, 2 * batch.capacity()));
        }
        if (in.readNBytes(batch.array(), 0, body) < body) {
            throw new EOFException("input ends inside a batch of " + length + " bytes");
        }
        batch.position(0).limit(body);
        reply.clear().position(REPLY_HEADER_BYTES);
        return true;
    }

    double clockMillis() {
        return clockMillis;
    }

    int recordCount() {
        return recordCount;
    }

    /** Refuses a batch that holds more bytes than its records. */
    void requireEndOfBatch() {
        if (batch.hasRemaining()) {
            throw new MalformedInputException(batch.remaining() + " bytes follow the last record of a batch");
        }
    }

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

    /** Four bytes of address and a port, kept as one number that sorts as they do. */
    long readBackend() {
        requireRemaining(6);
        long address = Integer.reverseBytes(batch.getInt()) & 0xffffffffL;
        return address << 16 | batch.getShort() & 0xffff;
    }

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
            throw new MalformedInputException("a record ends early: " + bytes + " bytes wanted, " + batch.remaining() + " left");
        }
    }

    // ---- Fields written

    /** Starts an action's record. */
    FrameCodec beginAction(int code, int instance) {
        if (reply.remaining() < 1024) {
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

    FrameCodec putBackend(long runner) {
        reply.putInt(Integer.reverseBytes((int) (runner >>> 16))).putShort((short) runner);
        return this;
    }

    /** A text of at most 500 bytes, so that it fits the room that every record has. */
    FrameCodec putText(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(500, bytes.length);
        reply.putShort((short) length).put(bytes, 0, length);
        return this;
    }
}

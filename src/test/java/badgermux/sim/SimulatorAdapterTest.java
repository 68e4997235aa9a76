package badgermux.sim;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.config.SettingsParser;
import badgermux.decide.DispatchPolicy;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the adapter through its streams, from input frames to output frames. */
class SimulatorAdapterTest {
    private static final String SETTINGS = String.join("\n", "Balancers=1", "Zone=0", "GranularityMs=1.0",
        "Kinds=only", "Discovery=on_request", "Report.How=pull", "Report.Columns=utilization,x0", "Ceilings.Probes=true",
        "Ceilings.Cancel=true", "Ceilings.ParallelTries=true", "Ceilings.MaxAttempts=3", "Extra.TellsStart=true",
        "Safety.ColdMs=1000.0", "Safety.ColdShare=0.5", "Safety.FallMs=1000.0", "Safety.FallMultiple=2.0",
        "RequestClasses.count=1", "RequestClasses.0.Effect=repeatable", "RequestClasses.0.TargetMs=100.0",
        "RequestClasses.0.GiveUpMs=2000.0", "Customers.count=0", "Unknown.Setting=1");

    private final ByteArrayOutputStream input = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    private static ByteBuffer record(int code, int instance) {
        return ByteBuffer.allocate(4096).order(ByteOrder.LITTLE_ENDIAN).put((byte) code).putInt(instance);
    }

    private static ByteBuffer createInstance(int instance, String settings) {
        byte[] text = settings.getBytes(StandardCharsets.UTF_8);
        return record(1, instance).putLong(5).putInt(text.length).put(text);
    }

    /** A list of ready backends 10.0.0.1, 10.0.0.2 and so on, port 80. */
    private static ByteBuffer backendList(int instance, int updateCode, int backends) {
        ByteBuffer list = record(2, instance).put((byte) updateCode).putInt(1).putInt(backends);
        for (int i = 1; i <= backends; i++) {
            list.put(new byte[] {10, 0, 0, (byte) i}).putShort((short) 80).put((byte) 0).putShort((short) 0)
                .putShort((short) 0).put((byte) 1).putFloat(1).putDouble(0);
        }
        return list;
    }

    private static ByteBuffer request(int instance, long id) {
        return record(3, instance).putLong(id).putShort((short) 0).putDouble(0).putShort((short) 0).putFloat(0)
            .putLong(0).putFloat(1).putShort((short) 0).putDouble(2000);
    }

    private static ByteBuffer attemptEnd(int instance, long id, int outcomeCode, int isClosed) {
        return record(5, instance).putLong(id).putDouble(3).put((byte) outcomeCode).putShort((short) 0)
            .put(new byte[] {10, 0, 0, 1}).putShort((short) 80).putInt(0).put((byte) isClosed)
            .put((byte) 2).putFloat(0.5f).putFloat(3);
    }

    private void writeBatch(double clockMillis, ByteBuffer... records) {
        int length = 16 + Arrays.stream(records).mapToInt(ByteBuffer::position).sum();
        ByteBuffer frame = ByteBuffer.allocate(length).order(ByteOrder.LITTLE_ENDIAN);
        frame.putDouble(clockMillis).putInt(length).putInt(records.length);
        for (ByteBuffer record : records) {
            frame.put(record.array(), 0, record.position());
        }
        input.writeBytes(frame.array());
    }

    /** Runs the adapter on the input so far, checks its exit status and returns the bodies of its replies. */
    private List<ByteBuffer> runAdapter(int expectedStatus) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int status = Main.run(new ByteArrayInputStream(input.toByteArray()), out, new PrintStream(errors, true));
        assertEquals(expectedStatus, status, errors::toString);
        ByteBuffer all = ByteBuffer.wrap(out.toByteArray()).order(ByteOrder.LITTLE_ENDIAN);
        List<ByteBuffer> replies = new ArrayList<>();
        while (all.hasRemaining()) {
            int length = all.getInt();
            replies.add(all.slice(all.position(), length - 4).order(ByteOrder.LITTLE_ENDIAN));
            all.position(all.position() + length - 4);
        }
        return replies;
    }

    /** Returns the codes of a reply's actions, which must all have a fixed length. */
    private static List<Integer> actionCodes(ByteBuffer reply) {
        int[] lengthByCode = {0, 27, 21, 13, 15, 17, 11, 11, 0, 0, 0, 6, 5};
        List<Integer> codes = new ArrayList<>();
        for (int position = 0; position < reply.limit(); position += lengthByCode[reply.get(position)]) {
            codes.add((int) reply.get(position));
        }
        return codes;
    }

    @Test void emptyBatchGetsEmptyReplyAndEndOfInputExitsCleanly() {
        writeBatch(243);
        assertEquals(0, runAdapter(0).get(0).limit());
        assertEquals("", errors.toString());
    }

    @Test void requestIsProbedSentAndFinished() {
        writeBatch(1_000, createInstance(3, SETTINGS), backendList(3, 2, 2));
        writeBatch(1_001, request(3, 77));
        writeBatch(1_003, probeAnswer(3, 1), probeAnswer(3, 2));
        writeBatch(1_004, attemptEnd(3, 77, 1, 1));
        writeBatch(1_005, record(11, 3).putLong(77).put((byte) 1).putFloat(0).putShort((short) 0)
            .put(new byte[] {10, 0, 0, 1}).putShort((short) 80), record(6, 3).putLong(77),
            record(9, 3).putInt(1).putShort((short) 2).putShort((short) 0), record(10, 3));
        List<ByteBuffer> replies = runAdapter(0);
        assertEquals(List.of(5, 11), actionCodes(replies.get(0)), "a timer and a watch of the backend list");
        assertEquals(List.of(6, 6, 5), actionCodes(replies.get(1)), "two probes and a timer for their answers");
        ByteBuffer reply = replies.get(2);
        assertEquals(List.of(1, 5), actionCodes(reply), "a send and a timer for the attempt");
        assertEquals(1, reply.get());
        assertEquals(3, reply.getInt());
        assertEquals(77, reply.getLong());
        byte[] backend = new byte[6];
        reply.get(backend);
        assertArrayEquals(new byte[] {10, 0, 0}, Arrays.copyOf(backend, 3));
        assertEquals(80, backend[4] | backend[5] << 8);
        assertEquals(List.of(), actionCodes(replies.get(3)));
        assertEquals(List.of(), actionCodes(replies.get(4)));
    }

    private static ByteBuffer probeAnswer(int instance, int backend) {
        return record(8, instance).put(new byte[] {10, 0, 0, (byte) backend}).putShort((short) 80).put((byte) 1)
            .putDouble(2).put((byte) 0);
    }

    /** Covers classes limited to zones and kinds, rejections that may have run, and the limit of Retry-After. */
    @Test void optionalSettingsReachPolicy() {
        DispatchPolicy.Settings settings = SettingsParser.parse(SETTINGS.replace("Kinds=only", "Kinds=only,other,third")
            + String.join("\n", "", "RequestClasses.0.BoundTo=1,2", "RequestClasses.0.AllowedIn=2", "Safety.FullMayHaveRun=true",
                "Ceilings.RetryAfter=true", "Ceilings.MaxRetryAfterMs=1500.0")).settings();
        assertEquals(Set.of(1, 2), settings.classes.get(0).allowedKinds());
        assertEquals(Set.of(2), settings.classes.get(0).allowedZones());
        assertTrue(settings.rejectedMayHaveRun);
        assertEquals(1_500_000, settings.maxRetryAfterMicros);
        DispatchPolicy.Settings defaults = SettingsParser.parse(
            SETTINGS + "\nCeilings.MaxRetryAfterMs=1500.0\nExtra.ClassKind=0").settings();
        assertEquals(Set.of(0), defaults.classes.get(0).allowedKinds());
        assertEquals(null, defaults.classes.get(0).allowedZones());
        assertFalse(defaults.rejectedMayHaveRun);
        assertEquals(0, defaults.maxRetryAfterMicros, "Retry-After is not enabled");
    }

    @Test void peerMessagesAreSkipped() {
        writeBatch(1_000, createInstance(3, SETTINGS), backendList(3, 2, 1));
        writeBatch(1_001, record(9, 3).putInt(1).putShort((short) 3).put(new byte[3]), request(3, 77));
        assertEquals(List.of(6, 5), actionCodes(runAdapter(0).get(1)), "the record after the message is read");
    }

    @Test void restartedInstanceHasNoPriorState() {
        writeBatch(1_000, createInstance(3, SETTINGS), backendList(3, 2, 2));
        writeBatch(1_001, request(3, 77), record(10, 3), createInstance(3, SETTINGS), backendList(3, 2, 0),
            attemptEnd(3, 77, 6, 0));
        List<Integer> codes = actionCodes(runAdapter(0).get(1));
        assertEquals(List.of(5, 11), codes.subList(codes.size() - 2, codes.size()), "the earlier request is not sent again");
    }

    @Test void addressesAndPortsRoundTrip() throws Exception {
        ByteBuffer body = record(2, 0);
        body.position(0).put(new byte[] {(byte) 200, 18, 74, 7}).putShort((short) 0xfffe);
        int length = 16 + body.position();
        ByteBuffer frame = ByteBuffer.allocate(length).order(ByteOrder.LITTLE_ENDIAN).putDouble(1).putInt(length)
            .putInt(0).put(body.array(), 0, body.position());
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        FrameCodec frames = new FrameCodec(new ByteArrayInputStream(frame.array()), out);
        frames.readBatch();
        long backend = frames.readBackend();
        assertEquals(0xc8124a07fffeL, backend);
        frames.beginAction(7, 0).putBackend(backend);
        frames.writeReply();
        assertArrayEquals(Arrays.copyOf(body.array(), 6), Arrays.copyOfRange(out.toByteArray(), 9, 15));
    }

    @ParameterizedTest @ValueSource(strings = {"RequestClasses.0.TargetMs=soon", "Balancers=two", "Zone=-1",
        "Discovery=maybe", "RequestClasses.0.Effect=", "Ceilings.Probes=1", "RequestClasses.0.BoundTo=4",
        "RequestClasses.0.AllowedIn=a", "Safety.FullMayHaveRun=often", "no equals sign", "Safety.ColdMs=NaN"})
    void malformedSettingExitsWithOneLineMessage(String setting) {
        writeBatch(1_000, createInstance(3, SETTINGS + "\n" + setting));
        assertEquals(0, runAdapter(2).size());
        String message = errors.toString();
        assertTrue(message.startsWith("badgermux: setting ") && message.strip().lines().count() == 1, message);
    }

    @ParameterizedTest @ValueSource(strings = {"RequestClasses.count", "RequestClasses.0.Effect",
        "RequestClasses.0.GiveUpMs", "RequestClasses.0.TargetMs"})
    void missingRequiredSettingExitsWithMessage(String setting) {
        writeBatch(1_000, createInstance(3, SETTINGS.replace(setting + "=", "Unknown=")));
        runAdapter(2);
        assertEquals("badgermux: setting " + setting + " is missing", errors.toString().strip());
    }

    @ParameterizedTest @ValueSource(ints = {1, 9, 15, 17, 40, 300})
    void truncatedInputExitsWithMessage(int bytes) {
        writeBatch(1_000, createInstance(3, SETTINGS), backendList(3, 2, 2));
        byte[] allBytes = input.toByteArray();
        input.reset();
        input.write(allBytes, 0, bytes);
        assertEquals(0, runAdapter(2).size());
        assertTrue(errors.toString().startsWith("badgermux: input ends inside a batch"), errors::toString);
    }

    @Test void malformedRecordsExitWithMessage() {
        writeBatch(1_000, record(99, 0));
        writeBatch(1_001);
        runAdapter(2);
        assertEquals("badgermux: unknown record code 99", errors.toString().strip());
        input.reset();
        writeBatch(1_000, record(1, 0).putLong(5).putInt(4_000));
        runAdapter(2);
        input.reset();
        writeBatch(1_000, createInstance(3, SETTINGS), backendList(3, 7, 0));
        runAdapter(2);
        input.reset();
        writeBatch(1_000, request(4, 1));
        runAdapter(2);
        assertTrue(errors.toString().contains("instance 4, which is not running"), errors::toString);
        input.reset();
        input.writeBytes(ByteBuffer.allocate(17).order(ByteOrder.LITTLE_ENDIAN).putDouble(1).putInt(17).array());
        runAdapter(2);
        assertTrue(errors.toString().contains("1 bytes follow the last record"), errors::toString);
    }

    @Test void equalEventsGetEqualRepliesInSharedAndSeparateProcesses() {
        writeBatch(1_000, createInstance(5, SETTINGS), backendList(5, 2, 12), createInstance(9, SETTINGS), backendList(9, 2, 12));
        for (int id = 0; id < 50; id++) {
            writeBatch(2_000 + id, request(5, id), request(9, id));
        }
        List<ByteBuffer> sharedReplies = runAdapter(0);
        List<List<byte[]>> separateReplies = new ArrayList<>();
        for (int instance : new int[] {5, 9}) {
            input.reset();
            writeBatch(1_000, createInstance(instance, SETTINGS), backendList(instance, 2, 12));
            for (int id = 0; id < 50; id++) {
                writeBatch(2_000 + id, request(instance, id));
            }
            separateReplies.add(runAdapter(0).stream().map(SimulatorAdapterTest::bytes).toList());
        }
        for (int batch = 0; batch < sharedReplies.size(); batch++) {
            ByteArrayOutputStream expected = new ByteArrayOutputStream();
            expected.writeBytes(separateReplies.get(0).get(batch));
            expected.writeBytes(separateReplies.get(1).get(batch));
            assertArrayEquals(expected.toByteArray(), bytes(sharedReplies.get(batch)), "batch " + batch);
        }
    }

    private static byte[] bytes(ByteBuffer reply) {
        byte[] bytes = new byte[reply.limit()];
        reply.get(0, bytes);
        return bytes;
    }
}

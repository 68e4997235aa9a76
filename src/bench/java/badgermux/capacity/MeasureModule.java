package badgermux.capacity;

import badgermux.core.BackendClient;
import badgermux.core.Deadlines;
import badgermux.core.Engine;
import badgermux.core.ResponseListener;
import badgermux.decide.DefaultDispatchPolicy;
import badgermux.decide.DispatchPolicy;
import badgermux.decide.DispatchPolicy.ListUpdate;
import badgermux.discovery.BackendListCodec;
import badgermux.http.ForwardedRequest;
import badgermux.http.MessageEncoder;
import badgermux.metrics.Metrics;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonParser;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.function.IntConsumer;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Measures the cost of a dispatcher's components inside one process at several sizes: processor time of the measuring
 * thread, live heap after garbage collections, and sizes of encoded messages. Writes the slopes to the file of slopes.
 */
@Command(name = "measure-module", mixinStandardHelpOptions = true,
    description = "Measures decisions, changes of the backend list, heap and message sizes at several sizes.")
public final class MeasureModule implements Callable<Integer> {
    /** Name of the run in the file of slopes. */
    private static final String RUN = "module";
    private static final int[] BACKEND_COUNTS = {60, 250, 600, 1200, 2600, 5200, 10_000};
    private static final int[] CLASS_COUNTS = {1, 3, 6, 12};
    private static final int[] TENANT_COUNTS = {3, 60, 190, 600};
    private static final int[] OPEN_REQUEST_COUNTS = {250, 1000, 4000, 16_000};
    private static final int DEFAULT_CLASS_COUNT = 3;
    private static final int TARGET_BACKEND_COUNT = 2600;
    private static final int TARGET_TENANT_COUNT = 190;
    /** Processor time of the measuring thread after which a round begins no further call. */
    private static final long MIN_ROUND_NANOS = 25_000_000;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    @Option(names = "--slopes", defaultValue = "docs/capacity/slopes.json",
        description = "File of measured slopes (${DEFAULT-VALUE}).")
    private Path slopesFile;

    @Option(names = "--rounds", defaultValue = "9", description = "Rounds measured for each point, after two warm-up rounds.")
    private int rounds;

    private final SlopeRecorder recorder = new SlopeRecorder(RUN);
    /** Sum of the hash codes of decoded lists. The exit code depends on it, so that the compiler can't remove the decoding. */
    private long resultHash;
    /** Keeps the measured object reachable until the next one is measured. */
    private Object measuredObject;

    public static void main(String[] args) {
        System.exit(new CommandLine(new MeasureModule()).execute(args));
    }

    @Override public Integer call() throws Exception {
        measureCpu();
        measureHeap();
        measureMessages();
        String command = "JAVA_TOOL_OPTIONS='" + System.getenv().getOrDefault("JAVA_TOOL_OPTIONS", "")
            + "' src/bench/run badgermux.capacity.MeasureModule --rounds " + rounds;
        String method = "Processor time of the measuring thread, so other processes' load counts little; collections run on "
            + "another thread and are left out. Heap: what is in use after three collections. Messages: as the program's own "
            + "classes encode them, without TCP and IP heads.";
        Slopes.read(slopesFile).withRun(recorder.describeRun(command, method), recorder.slopes()).write(slopesFile);
        return resultHash == Long.MIN_VALUE ? 1 : 0;
    }

    // ---- Processor time

    private void measureCpu() {
        recorder.describe("cpu.request", "a request in the decision module, with its probes, timers and outcome", "us", "worker");
        recorder.describe("probes.request", "probes that the module asks for with a request, one job each 20 ms",
            "probes", "worker");
        recorder.describe("cpu.news", "the news of one worker in the decision module, 3 classes", "us", "worker");
        recorder.describe("cpu.news.class", "the news of one of 2,600 workers in the decision module", "us", "class");
        recorder.describe("cpu.list", "a whole list in the decision module, 3 classes", "us", "worker");
        recorder.describe("cpu.zone.single", "a zone (1/11) is told gone, one delta a worker, 3 classes", "us", "worker");
        recorder.describe("cpu.zone.whole", "a zone (1/11) is told gone in one delta, 3 classes", "us", "worker");
        recorder.describe("cpu.parse", "decoding a whole list by ListDecoder", "us", "worker");
        for (int size : BACKEND_COUNTS) {
            PolicyHarness harness = new PolicyHarness(size, DEFAULT_CLASS_COUNT, 0);
            recorder.add("cpu.request", size, cpuMicrosPerCall(callNumber -> harness.runRequest()));
            long probesBefore = harness.probeCount();
            IntStream.range(0, 1000).forEach(callNumber -> harness.runRequest());
            recorder.add("probes.request", size, (harness.probeCount() - probesBefore) / 1000.0);
            recorder.add("cpu.news", size, cpuMicrosPerCall(harness::changeOneBackend));
            recorder.add("cpu.list", size, cpuMicrosPerCall(callNumber -> harness.resendFullList()));
            recorder.add("cpu.zone.single", size, zoneLossCpuMicros(harness, true));
            recorder.add("cpu.zone.whole", size, zoneLossCpuMicros(harness, false));
            String list = listJson(size);
            recorder.add("cpu.parse", size, cpuMicrosPerCall(
                callNumber -> resultHash += BackendListCodec.decode(list).hashCode()));
        }
        for (int classes : CLASS_COUNTS) {
            PolicyHarness harness = new PolicyHarness(TARGET_BACKEND_COUNT, classes, 0);
            recorder.add("cpu.news.class", classes, cpuMicrosPerCall(harness::changeOneBackend));
        }
    }

    /**
     * Returns the processor time of one call in microseconds, one value for each round.
     *
     * @param call takes the number of the call
     */
    private double[] cpuMicrosPerCall(IntConsumer call) {
        double[] micros = new double[rounds];
        int callNumber = 0;
        // Rounds with negative numbers warm up.
        for (int round = -2; round < rounds; round++) {
            long startNanos = THREADS.getCurrentThreadCpuTime();
            long takenNanos = 0;
            int calls = 0;
            while (takenNanos < MIN_ROUND_NANOS) {
                call.accept(callNumber++);
                calls++;
                takenNanos = THREADS.getCurrentThreadCpuTime() - startNanos;
            }
            if (round >= 0) {
                micros[round] = takenNanos / NANOS_PER_MICRO / calls;
            }
        }
        return micros;
    }

    /**
     * Returns the processor time for the loss of a zone in microseconds, one value for each round. The zone's return is not
     * counted.
     */
    private double[] zoneLossCpuMicros(PolicyHarness harness, boolean oneByOne) {
        double[] micros = new double[rounds];
        // Rounds with negative numbers warm up.
        for (int round = -2; round < rounds; round++) {
            long startNanos = THREADS.getCurrentThreadCpuTime();
            harness.removeZone(oneByOne);
            long takenNanos = THREADS.getCurrentThreadCpuTime() - startNanos;
            harness.restoreZone();
            if (round >= 0) {
                micros[round] = takenNanos / NANOS_PER_MICRO;
            }
        }
        return micros;
    }

    // ---- Heap

    private void measureHeap() {
        recorder.describe("heap.worker", "live heap of the decision module", "bytes", "worker");
        recorder.describe("heap.tenant", "live heap of the decision module and its settings", "bytes", "tenant");
        recorder.describe("heap.open", "live heap of engine and module for requests that have one attempt out",
            "bytes", "request");
        for (int size : BACKEND_COUNTS) {
            recorder.add("heap.worker", size, retainedBytes(() -> new PolicyHarness(size, DEFAULT_CLASS_COUNT, 0)));
        }
        for (int tenants : TENANT_COUNTS) {
            recorder.add("heap.tenant", tenants, retainedBytes(() -> new PolicyHarness(60, DEFAULT_CLASS_COUNT, tenants)));
        }
        for (int count : OPEN_REQUEST_COUNTS) {
            recorder.add("heap.open", count, retainedBytes(() -> new OpenRequests(count)));
        }
    }

    /** Returns the heap in bytes that a created object keeps in use, one value for each of three rounds after a warm-up round. */
    private double[] retainedBytes(Supplier<Object> factory) {
        double[] bytes = new double[3];
        retainedBytesOnce(factory);
        for (int round = 0; round < bytes.length; round++) {
            bytes[round] = retainedBytesOnce(factory);
        }
        return bytes;
    }

    private long retainedBytesOnce(Supplier<Object> factory) {
        measuredObject = null;
        long usedBefore = usedHeapBytes();
        measuredObject = factory.get();
        return Math.max(1, usedHeapBytes() - usedBefore);
    }

    /** Returns the bytes of heap in use after three garbage collections. */
    private static long usedHeapBytes() {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /** An engine with a given number of open requests, each with one attempt at a backend that never answers. */
    private static final class OpenRequests implements BackendClient<ForwardedRequest>, ResponseListener {
        private static final long TIMEOUT_MICROS = 10_000_000;
        private final Engine<ForwardedRequest> engine;

        OpenRequests(int requestCount) {
            Metrics metrics = new Metrics(List.of("class0"));
            long nowMicros = System.nanoTime() / 1000;
            Deadlines deadlines = new Deadlines(() -> nowMicros, deadline -> { }, metrics);
            DispatchPolicy.Settings settings = PolicyHarness.settings(1, 0);
            settings.reportMode = DispatchPolicy.ReportMode.NEVER;
            settings.mayProbe = false;
            engine = new Engine<>(() -> nowMicros, deadlines, metrics, settings.maxAttempts);
            engine.connect(new DefaultDispatchPolicy(settings, 7, engine), this, () -> { });
            engine.backendsListed(ListUpdate.FULL, IntStream.range(0, 60).mapToObj(i -> new DispatchPolicy.Backend(
                i * 0x9E3779B97F4A7C15L, 0, 0, 0, DispatchPolicy.BackendState.READY, 0)).toList());
            for (int i = 0; i < requestCount; i++) {
                String id = String.format("%016x", i);
                ForwardedRequest request = new ForwardedRequest(id, "POST /preview/a HTTP/1.1", "X-Request-ID: " + id + "\r\n",
                    new byte[64], null);
                engine.submit(this, request, 0, 0, 1, nowMicros + TIMEOUT_MICROS, true);
            }
            if (engine.openRequestCount() < requestCount) {
                throw new IllegalStateException("only " + engine.openRequestCount() + " of " + requestCount
                    + " requests are open");
            }
        }

        @Override public void startAttempt(long attempt, long backend, ForwardedRequest payload, long deadline) { }

        @Override public void abort(long attempt) { }

        @Override public boolean withdraw(long attempt) {
            return false;
        }

        @Override public void probe(long backend) { }

        @Override public void closeIdleConnections(long backend) { }

        @Override public void onServed(byte[] result) { }

        @Override public void onRefused(long retryAfterMicros) { }

        @Override public void onFailed(boolean timedOut) { }
    }

    // ---- Messages

    private void measureMessages() {
        recorder.describe("bytes.list", "a whole list on one line, with its HTTP head", "bytes", "worker");
        recorder.describe("bytes.list.indented", "a whole list, indented, with its HTTP head", "bytes", "worker");
        recorder.describe("bytes.delta", "a delta on one line, with the call for it and both heads", "bytes", "entry");
        recorder.describe("bytes.probe", "probes and their answers with a report", "bytes", "probe");
        recorder.describe("bytes.attempt", "attempts with a body of 64 bytes, and their lines started and done",
            "bytes", "attempt");
        recorder.describe("bytes.request", "clients' requests with a body of 64 bytes, and their answers", "bytes", "request");
        recorder.describe("bytes.metrics", "an answer to GET /metrics", "bytes", "class");
        recorder.describe("bytes.settings", "a configuration file without a list, 3 classes", "bytes", "tenant");
        for (int size : BACKEND_COUNTS) {
            recorder.add("bytes.list", size, responseBytes(listJson(size)));
            String indented = new GsonBuilder().setPrettyPrinting().create().toJson(JsonParser.parseString(listJson(size)));
            recorder.add("bytes.list.indented", size, responseBytes(indented));
        }
        for (int entries : new int[] {1, 10, 236}) {
            String delta = listJson(entries).replace("\"complete\":true", "\"complete\":false");
            recorder.add("bytes.delta", entries, watchRequestBytes() + responseBytes(delta));
        }
        for (int count : new int[] {1, 100}) {
            recorder.add("bytes.probe", count, count * probeBytes());
            recorder.add("bytes.attempt", count, count * attemptBytes());
            recorder.add("bytes.request", count, count * requestBytes());
        }
        for (int classes : CLASS_COUNTS) {
            List<String> names = IntStream.range(0, classes).mapToObj(i -> "class" + i).toList();
            recorder.add("bytes.metrics", classes, responseBytes(new Metrics(names).text()));
        }
        for (int tenants : TENANT_COUNTS) {
            recorder.add("bytes.settings", tenants, MeasureProcess.configurationJson("", tenants, true).length());
        }
    }

    /** Bytes of a response of status 200 with the given body. */
    private static double responseBytes(String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return MessageEncoder.response(200, "OK", "", bytes, true).readableBytes();
    }

    private static double watchRequestBytes() {
        return MessageEncoder.getRequest("/v1/servers?since=123456&timeout_ms=5000", "10.2.0.1:8500").readableBytes();
    }

    /** Bytes of a probe and the answer to it. */
    private static double probeBytes() {
        return MessageEncoder.getRequest("/load", "10.1.200.118:5000").readableBytes()
            + responseBytes("TEXT x0=2, x1=2048, latency_ms=431, qps=2.5");
    }

    /** Bytes of an attempt and the answer to it. */
    private static double attemptBytes() {
        String id = "9b1f03aa5c7e2d41";
        ForwardedRequest request = new ForwardedRequest(id, "POST /preview/nhan-dan HTTP/1.1", requestHeaders(id),
            new byte[64], null);
        String started = "{\"id\":\"" + id + "\",\"from\":\"s-0badcafe\",\"state\":\"started\"}\n";
        String done = "{\"id\":\"" + id + "\",\"from\":\"s-0badcafe\",\"state\":\"done\",\"result\":\""
            + "r".repeat(64) + "\"}\n";
        return request.encode("10.1.200.118:5000", 5000).readableBytes() + responseBytes(started + done);
    }

    /** Bytes of a client's request and the answer to it. */
    private static double requestBytes() {
        String id = "9b1f03aa5c7e2d41";
        return MessageEncoder.message("POST /preview/nhan-dan HTTP/1.1\r\nHost: 10.0.0.4:5000\r\n" + requestHeaders(id)
            + "X-Timeout: 5000m\r\nContent-Length: 64\r\n", new byte[64]).readableBytes() + responseBytes("r".repeat(64));
    }

    private static String requestHeaders(String id) {
        return "X-Request-ID: " + id + "\r\nX-Tenant-Id: team-118\r\nContent-Type: application/json\r\n";
    }

    /** A complete backend list in the discovery service's JSON form. */
    static String listJson(int backendCount) {
        List<String> members = new ArrayList<>();
        for (int i = 0; i < backendCount; i++) {
            members.add(MeasureProcess.backendJson(i, "10.1." + i / 256 + '.' + i % 256 + ":5000"));
        }
        return "{\"revision\":123456,\"complete\":true,\"members\":[" + String.join(",", members) + "]}";
    }
}

package badgermux.capacity;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Measures the cost of a whole dispatcher process on loopback sockets: processor time, memory and log volume, with the
 * Java options of deploy/balancer.toml. Writes the slopes to the committed JSON file. The jar has to be built before.
 */
@Command(name = "measure-process", mixinStandardHelpOptions = true,
    description = "Measures processes of the built jar: start, idle time, lists, requests, probes, connections, reloads.")
public final class MeasureProcess implements Callable<Integer> {
    /** Name of the run in the file of slopes; a run of one part adds the part's name. */
    private static final String RUN = "process";
    private static final int[] BACKEND_COUNTS = {8, 60, 600, 2600, 5200, 10_000};
    private static final int[] TENANT_COUNTS = {3, 190, 600};
    /** The measurements that a run makes. */
    enum Part { ALL, LISTS, SETTINGS, REQUESTS, CONNECTIONS, IDLE }

    /** Numbers of requests that a process has served before it is measured: its code is interpreted at first. */
    private static final int[] SERVED_COUNTS = {300, 3000, 20_000};
    /** Ages at which an idle process is measured. */
    private static final int[] AGES_SECONDS = {5, 60, 240};
    private static final int[] CONNECTION_COUNTS = {1, 100, 400};
    private static final int DEFAULT_BACKEND_COUNT = 60;
    private static final int MEASURED_LIST_COUNT = 10;
    private static final int WARM_UP_LIST_COUNT = 5;
    private static final int RELOAD_COUNT = 20;
    private static final int SCRAPE_COUNT = 200;
    /** Pause before a measurement in which work that is still in progress ends. */
    private static final long SETTLE_MS = 2_000;
    private static final long REQUEST_INTERVAL_MS = 20;
    private static final long EVENT_TIMEOUT_MS = 30_000;

    @Option(names = "--slopes", defaultValue = "docs/capacity/slopes.json",
        description = "File of measured slopes (${DEFAULT-VALUE}).")
    private Path slopesFile;

    @Option(names = "--rounds", defaultValue = "3", description = "Number of processes started for each point.")
    private int rounds;

    @Option(names = "--requests", defaultValue = "300", description = "Number of requests in each round, 50 a second.")
    private int requests;

    @Option(names = "--idle-ms", defaultValue = "4000",
        description = "How long an idle process is measured, in milliseconds.")
    private long idleMs;

    @Option(names = "--part", defaultValue = "ALL", description = "Measurements to make: ${COMPLETION-CANDIDATES}.")
    private Part part;

    private SlopeRecorder recorder;
    private long nextId = 1;

    public static void main(String[] args) {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.exit(new CommandLine(new MeasureProcess()).execute(args));
    }

    @Override public Integer call() throws Exception {
        recorder = new SlopeRecorder(part == Part.ALL ? RUN : RUN + '-' + part.name().toLowerCase(Locale.ROOT));
        switch (part) {
            case ALL -> {
                measureLists();
                measureSettings();
                measureRequests();
                measureConnections();
                measureIdle();
            }
            case LISTS -> measureLists();
            case SETTINGS -> measureSettings();
            case REQUESTS -> measureRequests();
            case CONNECTIONS -> measureConnections();
            case IDLE -> measureIdle();
            default -> throw new IllegalArgumentException("unknown part " + part);
        }
        String command = "src/bench/run badgermux.capacity.MeasureProcess --part " + part + " --rounds " + rounds + " --requests "
            + requests + " --idle-ms " + idleMs;
        String how = "The built jar, started by the line run of deploy/balancer.toml, with stand-ins on loopback. Processor "
            + "time is that of all threads of the process, in user and system mode.";
        Slopes.read(slopesFile).withRun(recorder.describeRun(command, how), recorder.slopes()).write(slopesFile);
        return 0;
    }

    // ---- Configuration

    /**
     * Returns the text of a configuration file.
     *
     * @param members  JSON entries of the known backends, separated by commas
     * @param mayProbe whether the dispatcher probes backends for load reports
     */
    static String configurationJson(String members, int tenantCount, boolean mayProbe) {
        String teams = IntStream.range(0, tenantCount).mapToObj(i -> "{\"Name\":\"team-" + i + "\",\"QuotaPerS\":5.5}")
            .collect(Collectors.joining(","));
        String classes = IntStream.range(0, 3).mapToObj(i -> "{\"Name\":\"preview" + (i == 0 ? "" : i)
            + "\",\"Effect\":\"repeatable\",\"TargetMs\":4000,\"GiveUpMs\":5000}").collect(Collectors.joining(","));
        String zones = IntStream.range(0, 11).mapToObj(i -> "\"zone" + i + '"').collect(Collectors.joining(","));
        return "{\"name\":\"n\",\"seed\":\"1f\",\"limits\":{\"sockets\":1024,\"memory_mb\":192},\"known\":{\"revision\":1,"
            + "\"complete\":true,\"members\":[" + members + "]},\"settings\":{\"Zone\":0,\"FailureDomains\":[" + zones
            + "],\"Kinds\":[\"k\"],\"Discovery\":\"on_request\",\"Report\":{\"How\":\"" + (mayProbe ? "pull" : "silent")
            + "\",\"Columns\":[]},\"Customers\":[" + teams + "],\"Ceilings\":{\"Probes\":" + mayProbe + ",\"MaxAttempts\":3,"
            + "\"Cancel\":true,\"RetryAfter\":true,\"MaxRetryAfterMs\":2000,\"ConnIdleMs\":15000,\"ConnectTimeoutMs\":250},"
            + "\"Extra\":{\"TellsStart\":true},\"RequestClasses\":[" + classes + "]}}";
    }

    /** Returns the entry of one backend in the discovery service's JSON form. */
    static String backendJson(int index, String address) {
        return String.format("{\"id\":\"s-%08x\",\"host_port\":\"%s\",\"locality\":\"zone%d\",\"flavor\":\"k\",\"cell\":%d,"
            + "\"phase\":\"SERVING\",\"size\":1.0,\"up_since_ms\":0}", index * 0x9E3779B9, address, index % 11, index / 4);
    }

    private static String backendsJson(int count, String address) {
        return IntStream.range(0, count).mapToObj(i -> backendJson(i, address)).collect(Collectors.joining(","));
    }

    private static String listJson(int revision, int backendCount, String address) {
        return "{\"revision\":" + revision + ",\"complete\":true,\"members\":[" + backendsJson(backendCount, address) + "]}";
    }

    private static MeasuredDispatcher startDispatcher(StubServers stubs, int backendCount, int tenantCount, boolean mayProbe)
            throws IOException {
        Path configuration = Files.createTempFile("capacity", ".json");
        Files.writeString(configuration,
            configurationJson(backendsJson(backendCount, stubs.backendAddress()), tenantCount, mayProbe));
        return new MeasuredDispatcher(configuration, stubs.discoveryAddress());
    }

    // ---- Lists: start, idle, whole lists

    private void measureLists() throws IOException, InterruptedException {
        recorder.describe("cpu.start", "a start with a known list, until it listens and 2 s on", "us", "worker");
        recorder.describe("cpu.idle", "a second without any request, after some lists", "us", "worker");
        recorder.describe("cpu.list.process", "a whole list that is received, decoded and taken over, idle time taken off",
            "us", "worker");
        recorder.describe("heap.process", "live heap of the process with a list in hand", "bytes", "worker");
        recorder.describe("rss.process", "resident memory of the process after ten whole lists", "bytes", "worker");
        recorder.describe("bytes.log.start", "the log of a start", "bytes", "worker");
        for (int backendCount : BACKEND_COUNTS) {
            double[][] costs = new double[6][rounds];
            for (int round = 0; round < rounds; round++) {
                double[] roundCosts = measureListRound(backendCount);
                for (int i = 0; i < roundCosts.length; i++) {
                    costs[i][round] = roundCosts[i];
                }
            }
            String[] names = {"cpu.start", "cpu.idle", "cpu.list.process", "heap.process", "rss.process", "bytes.log.start"};
            for (int i = 0; i < names.length; i++) {
                recorder.add(names[i], backendCount, costs[i]);
            }
        }
    }

    /** Measures one process; the costs are in the order in which {@link #measureLists} describes them. */
    private double[] measureListRound(int backendCount) throws IOException, InterruptedException {
        try (StubServers stubs = new StubServers();
                MeasuredDispatcher process = startDispatcher(stubs, backendCount, 3, true)) {
            TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
            double startMicros = process.cpuMicrosSince(Map.of());
            long logBytes = process.logBytes();
            sendLists(stubs, backendCount, WARM_UP_LIST_COUNT);
            long heapBytes = process.liveHeapBytes();
            TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
            double idleMicrosPerMilli = idleCpuMicrosPerMilli(process);
            Map<Path, Double> before = process.cpuMicrosByThread();
            long startNanos = System.nanoTime();
            sendLists(stubs, backendCount, MEASURED_LIST_COUNT);
            double listMicros = (process.cpuMicrosSince(before) - idleMicrosPerMilli * (System.nanoTime() - startNanos) / 1e6)
                / MEASURED_LIST_COUNT;
            double idleMicrosPerSecond = idleMicrosPerMilli * 1000;
            return new double[] {startMicros, idleMicrosPerSecond, listMicros, heapBytes, process.residentBytes(), logBytes};
        }
    }

    /** Microseconds of processor time that a process without requests uses in one millisecond. */
    private double idleCpuMicrosPerMilli(MeasuredDispatcher process) throws IOException, InterruptedException {
        Map<Path, Double> before = process.cpuMicrosByThread();
        TimeUnit.MILLISECONDS.sleep(idleMs);
        return process.cpuMicrosSince(before) / idleMs;
    }

    /**
     * Sends complete lists one after another. Waits after each until it has been sent, and 100 ms more, in which the
     * dispatcher applies it and calls again.
     */
    private void sendLists(StubServers stubs, int backendCount, int listCount) throws InterruptedException {
        for (int i = 0; i < listCount; i++) {
            long listsSent = stubs.sentListCount();
            stubs.pushList(listJson((int) nextId++ + 10, backendCount, stubs.backendAddress()));
            awaitAbove(stubs::sentListCount, listsSent);
            long watches = stubs.watchCount();
            awaitAbove(stubs::watchCount, watches - 1);
            TimeUnit.MILLISECONDS.sleep(100);
        }
    }

    /** Waits until a counter exceeds a value. */
    private static void awaitAbove(java.util.function.LongSupplier counter, long value) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(EVENT_TIMEOUT_MS);
        while (counter.getAsLong() <= value) {
            if (System.nanoTime() > deadline) {
                throw new IllegalStateException("no event within " + EVENT_TIMEOUT_MS + " ms");
            }
            TimeUnit.MILLISECONDS.sleep(2);
        }
    }

    // ---- Settings: start, reload and metrics, by number of tenants

    private void measureSettings() throws IOException, InterruptedException {
        recorder.describe("cpu.start.tenants", "a start with 60 workers known, until it listens and 2 s on", "us", "tenant");
        recorder.describe("cpu.reload", "a SIGHUP, on which the file is reread", "us", "tenant");
        recorder.describe("cpu.metrics", "a GET /metrics on a connection of its own", "us", "tenant");
        for (int tenantCount : TENANT_COUNTS) {
            double[][] costs = new double[3][rounds];
            for (int round = 0; round < rounds; round++) {
                try (StubServers stubs = new StubServers();
                        MeasuredDispatcher process = startDispatcher(stubs, DEFAULT_BACKEND_COUNT, tenantCount, true)) {
                    TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
                    costs[0][round] = process.cpuMicrosSince(Map.of());
                    costs[1][round] = cpuMicrosPerReload(process);
                    costs[2][round] = cpuMicrosPerScrape(process);
                }
            }
            recorder.add("cpu.start.tenants", tenantCount, costs[0]);
            recorder.add("cpu.reload", tenantCount, costs[1]);
            recorder.add("cpu.metrics", tenantCount, costs[2]);
        }
    }

    /** Microseconds of processor time of one reload; a reload has ended when it has logged a line. */
    private static double cpuMicrosPerReload(MeasuredDispatcher process) throws IOException, InterruptedException {
        Map<Path, Double> before = process.cpuMicrosByThread();
        for (int i = 0; i < RELOAD_COUNT; i++) {
            long linesBefore = process.logLines();
            process.sendHangUp();
            awaitAbove(process::logLines, linesBefore);
        }
        return process.cpuMicrosSince(before) / RELOAD_COUNT;
    }

    private static double cpuMicrosPerScrape(MeasuredDispatcher process) throws IOException {
        Map<Path, Double> before = process.cpuMicrosByThread();
        for (int i = 0; i < SCRAPE_COUNT; i++) {
            process.metrics();
        }
        return process.cpuMicrosSince(before) / SCRAPE_COUNT;
    }

    // ---- Idle time, by age of the process

    private void measureIdle() throws IOException, InterruptedException {
        recorder.describe("cpu.idle.age", "a second without any request, 60 workers, by the age of the process", "us", "second");
        List<StubServers> stubs = new ArrayList<>();
        List<MeasuredDispatcher> processes = new ArrayList<>();
        for (int round = 0; round < rounds; round++) {
            stubs.add(new StubServers());
            processes.add(startDispatcher(stubs.get(round), DEFAULT_BACKEND_COUNT, 3, true));
        }
        long startNanos = System.nanoTime();
        for (int age : AGES_SECONDS) {
            TimeUnit.NANOSECONDS.sleep(startNanos + TimeUnit.SECONDS.toNanos(age) - System.nanoTime());
            recorder.add("cpu.idle.age", age, idleCpuMicrosPerSecond(processes));
        }
        processes.forEach(MeasuredDispatcher::close);
        stubs.forEach(StubServers::close);
    }

    /** Measures several processes at the same time: microseconds of processor time a second of each. */
    private double[] idleCpuMicrosPerSecond(List<MeasuredDispatcher> processes) throws IOException, InterruptedException {
        List<Map<Path, Double>> before = new ArrayList<>();
        for (MeasuredDispatcher process : processes) {
            before.add(process.cpuMicrosByThread());
        }
        TimeUnit.MILLISECONDS.sleep(idleMs);
        double[] micros = new double[processes.size()];
        for (int i = 0; i < micros.length; i++) {
            micros[i] = processes.get(i).cpuMicrosSince(before.get(i)) / idleMs * 1000;
        }
        return micros;
    }

    // ---- Requests and probes

    private void measureRequests() throws IOException, InterruptedException {
        recorder.describe("cpu.request.silent",
            "a request through a process that does not probe, 50 a second, idle time taken off",
            "us", "request served before");
        recorder.describe("cpu.request.probing", "a request through a process that probes, 50 a second, idle time taken off",
            "us", "request served before");
        recorder.describe("probes.process", "probes for a request, 50 a second at 60 workers", "probes", "request served before");
        for (int served : SERVED_COUNTS) {
            double[] silent = new double[rounds];
            double[] probing = new double[rounds];
            double[] probes = new double[rounds];
            for (int round = 0; round < rounds; round++) {
                silent[round] = measureRequestRound(served, false)[0];
                double[] microsAndProbes = measureRequestRound(served, true);
                probing[round] = microsAndProbes[0];
                probes[round] = microsAndProbes[1];
            }
            recorder.add("cpu.request.silent", served, silent);
            recorder.add("cpu.request.probing", served, probing);
            recorder.add("probes.process", served, probes);
        }
    }

    /** Measures one process: microseconds of processor time and number of probes for each request. */
    private double[] measureRequestRound(int served, boolean mayProbe) throws IOException, InterruptedException {
        try (StubServers stubs = new StubServers();
                MeasuredDispatcher process = startDispatcher(stubs, DEFAULT_BACKEND_COUNT, 3, mayProbe);
                Socket client = new Socket("127.0.0.1", process.port())) {
            client.setTcpNoDelay(true);
            sendRequests(client, served, 0);
            TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
            double idleMicrosPerMilli = idleCpuMicrosPerMilli(process);
            long probesBefore = stubs.probeCount();
            Map<Path, Double> before = process.cpuMicrosByThread();
            long startNanos = System.nanoTime();
            sendRequests(client, requests, REQUEST_INTERVAL_MS);
            double micros = process.cpuMicrosSince(before) - idleMicrosPerMilli * (System.nanoTime() - startNanos) / 1e6;
            return new double[] {micros / requests, (double) (stubs.probeCount() - probesBefore) / requests};
        }
    }

    /** Sends requests one after another: each {@code intervalMs} after the one before, or on its answer if that is later. */
    private void sendRequests(Socket client, int count, long intervalMs) throws IOException, InterruptedException {
        long nextNanos = System.nanoTime();
        for (int i = 0; i < count; i++) {
            String head = String.format("POST /preview/a HTTP/1.1\r\nHost: h\r\nX-Request-ID: %016x\r\nX-Timeout: 5000m\r\n"
                + "X-Tenant-Id: team-1\r\nContent-Length: 64\r\n\r\n", nextId++);
            client.getOutputStream().write((head + "b".repeat(64)).getBytes(StandardCharsets.ISO_8859_1));
            readResponse(client.getInputStream());
            nextNanos += TimeUnit.MILLISECONDS.toNanos(intervalMs);
            TimeUnit.NANOSECONDS.sleep(Math.max(0, nextNanos - System.nanoTime()));
        }
    }

    /** Reads and discards a response, which has to be of status 200. */
    private static void readResponse(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int read = in.read();
            if (read < 0) {
                throw new IOException("connection closed before a response");
            }
            head.append((char) read);
        }
        if (!head.toString().startsWith("HTTP/1.1 200")) {
            throw new IOException("unexpected response: " + head);
        }
        in.readNBytes(Integer.parseInt(head.toString().replaceAll("(?s).*Content-Length: (\\d+).*", "$1")));
    }

    // ---- Connections

    private void measureConnections() throws IOException, InterruptedException {
        recorder.describe("heap.connection", "live heap of the process with idle client connections", "bytes", "connection");
        for (int count : CONNECTION_COUNTS) {
            double[] heapBytes = new double[rounds];
            for (int round = 0; round < rounds; round++) {
                try (StubServers stubs = new StubServers();
                        MeasuredDispatcher process = startDispatcher(stubs, DEFAULT_BACKEND_COUNT, 3, false)) {
                    List<Socket> clients = new ArrayList<>();
                    for (int i = 0; i < count; i++) {
                        Socket client = new Socket("127.0.0.1", process.port());
                        clients.add(client);
                        sendRequests(client, 1, 0);
                    }
                    heapBytes[round] = process.liveHeapBytes();
                    for (Socket client : clients) {
                        client.close();
                    }
                }
            }
            recorder.add("heap.connection", count, heapBytes);
        }
    }
}

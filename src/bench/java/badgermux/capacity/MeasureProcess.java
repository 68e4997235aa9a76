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
 * Measures what a whole dispatcher of the built jar costs on loopback sockets: processor time, memory and log, with the
 * Java options of the deploy file. Writes the slopes to the committed JSON file. The jar has to be built.
 */
@Command(name = "measure-process", mixinStandardHelpOptions = true,
    description = "Measures processes of the built jar: start, idle, lists, requests, probes, connections, reloads.")
public final class MeasureProcess implements Callable<Integer> {
    private static final String RUN = "process";
    private static final int[] BACKEND_COUNTS = {8, 60, 600, 2600, 5200, 10_000};
    private static final int[] TENANT_COUNTS = {3, 190, 600};
    /** What one run measures. */
    enum Part { ALL, LISTS, SETTINGS, REQUESTS, CONNECTIONS, IDLE }

    /** How many requests a process has served before it is measured: its code is interpreted at first. */
    private static final int[] SERVED_COUNTS = {300, 3000, 20_000};
    /** Seconds after its start at which an idle process is watched. */
    private static final int[] AGES_SECONDS = {5, 60, 240};
    private static final int[] CONNECTION_COUNTS = {1, 100, 400};
    private static final int DEFAULT_BACKEND_COUNT = 60, MEASURED_LIST_COUNT = 10, WARM_UP_LIST_COUNT = 5, RELOAD_COUNT = 20, SCRAPE_COUNT = 200;
    private static final long SETTLE_MS = 2_000, REQUEST_INTERVAL_MS = 20, EVENT_TIMEOUT_MS = 30_000;

    @Option(names = "--slopes", defaultValue = "docs/capacity/slopes.json", description = "The file of slopes.")
    private Path slopesFile;

    @Option(names = "--rounds", defaultValue = "3", description = "Processes started for each point.")
    private int rounds;

    @Option(names = "--requests", defaultValue = "300", description = "Requests of each round, 50 a second.")
    private int requests;

    @Option(names = "--idle-ms", defaultValue = "4000", description = "How long an idle process is watched, in milliseconds.")
    private long idleMs;

    @Option(names = "--part", defaultValue = "ALL", description = "What is measured: ${COMPLETION-CANDIDATES}.")
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
                requests();
                measureConnections();
                measureIdle();
            }
            case LISTS -> measureLists();
            case SETTINGS -> measureSettings();
            case REQUESTS -> requests();
            case CONNECTIONS -> measureConnections();
            case IDLE -> measureIdle();
            default -> throw new IllegalArgumentException("unknown part " + part);
        }
        String command = "src/bench/run badgermux.capacity.MeasureProcess --part " + part + " --rounds " + rounds + " --requests "
            + requests + " --idle-ms " + idleMs;
        String how = "The built jar, started by the line run of deploy/balancer.toml, with stand-ins on loopback. Processor "
            + "time is that of all threads of the process, in user and system mode.";
        Slopes.read(slopesFile).withRun(recorder.run(command, how), recorder.slopes()).write(slopesFile);
        return 0;
    }

    // ---- What is configured

    /** A configuration file; {@code members} are the workers that it knows from before. */
    static String configurationJson(String members, int tenants, boolean probes) {
        String teams = IntStream.range(0, tenants).mapToObj(t -> "{\"Name\":\"team-" + t + "\",\"QuotaPerS\":5.5}")
            .collect(Collectors.joining(","));
        String classes = IntStream.range(0, 3).mapToObj(c -> "{\"Name\":\"preview" + (c == 0 ? "" : c)
            + "\",\"Effect\":\"repeatable\",\"TargetMs\":4000,\"GiveUpMs\":5000}").collect(Collectors.joining(","));
        String zones = IntStream.range(0, 11).mapToObj(z -> "\"zone" + z + '"').collect(Collectors.joining(","));
        return "{\"name\":\"n\",\"seed\":\"1f\",\"limits\":{\"sockets\":1024,\"memory_mb\":192},\"known\":{\"revision\":1,"
            + "\"complete\":true,\"members\":[" + members + "]},\"settings\":{\"Zone\":0,\"FailureDomains\":[" + zones
            + "],\"Kinds\":[\"k\"],\"Discovery\":\"on_request\",\"Report\":{\"How\":\"" + (probes ? "pull" : "silent")
            + "\",\"Columns\":[]},\"Customers\":[" + teams + "],\"Ceilings\":{\"Probes\":" + probes + ",\"MaxAttempts\":3,"
            + "\"Cancel\":true,\"RetryAfter\":true,\"MaxRetryAfterMs\":2000,\"ConnIdleMs\":15000,\"ConnectTimeoutMs\":250},"
            + "\"Extra\":{\"TellsStart\":true},\"RequestClasses\":[" + classes + "]}}";
    }

    /** A worker in the platform's form. */
    static String backendJson(int i, String address) {
        return String.format("{\"id\":\"s-%08x\",\"host_port\":\"%s\",\"locality\":\"zone%d\",\"flavor\":\"k\",\"cell\":%d,"
            + "\"phase\":\"SERVING\",\"size\":1.0,\"up_since_ms\":0}", i * 0x9E3779B9, address, i % 11, i / 4);
    }

    private static String backendsJson(int count, String address) {
        return IntStream.range(0, count).mapToObj(i -> backendJson(i, address)).collect(Collectors.joining(","));
    }

    private static String listJson(int revision, int workers, String address) {
        return "{\"revision\":" + revision + ",\"complete\":true,\"members\":[" + backendsJson(workers, address) + "]}";
    }

    private static MeasuredDispatcher startDispatcher(StubServers peers, int workers, int tenants, boolean probes) throws IOException {
        Path configuration = Files.createTempFile("capacity", ".json");
        Files.writeString(configuration, configurationJson(backendsJson(workers, peers.backendAddress()), tenants, probes));
        return new MeasuredDispatcher(configuration, peers.discoveryAddress());
    }

    // ---- Lists: start, idle, whole lists

    private void measureLists() throws IOException, InterruptedException {
        recorder.describe("cpu.start", "a start with a known list, until it listens and 2 s on", "us", "worker");
        recorder.describe("cpu.idle", "a second without any request, after some lists", "us", "worker");
        recorder.describe("cpu.list.process", "a whole list that is received, decoded and taken over, idle time taken off", "us", "worker");
        recorder.describe("heap.process", "live heap of the process with a list in hand", "bytes", "worker");
        recorder.describe("rss.process", "resident memory of the process after ten whole lists", "bytes", "worker");
        recorder.describe("bytes.log.start", "the log of a start", "bytes", "worker");
        for (int workers : BACKEND_COUNTS) {
            double[][] rows = new double[6][rounds];
            for (int round = 0; round < rounds; round++) {
                double[] row = measureListRound(workers);
                for (int i = 0; i < row.length; i++) {
                    rows[i][round] = row[i];
                }
            }
            String[] names = {"cpu.start", "cpu.idle", "cpu.list.process", "heap.process", "rss.process", "bytes.log.start"};
            for (int i = 0; i < names.length; i++) {
                recorder.add(names[i], workers, rows[i]);
            }
        }
    }

    private double[] measureListRound(int workers) throws IOException, InterruptedException {
        try (StubServers peers = new StubServers(); MeasuredDispatcher process = startDispatcher(peers, workers, 3, true)) {
            TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
            double started = process.cpuMicrosSince(Map.of());
            long logged = process.logBytes();
            sendLists(peers, workers, WARM_UP_LIST_COUNT);
            long heap = process.liveHeapBytes();
            TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
            double idlePerMs = idleCpuMicrosPerMilli(process);
            Map<Path, Double> before = process.cpuMicrosByThread();
            long from = System.nanoTime();
            sendLists(peers, workers, MEASURED_LIST_COUNT);
            double list = (process.cpuMicrosSince(before) - idlePerMs * (System.nanoTime() - from) / 1e6) / MEASURED_LIST_COUNT;
            double idle = idlePerMs * 1000;
            return new double[] {started, idle, list, heap, process.residentBytes(), logged};
        }
    }

    /** Microseconds of processor time that a process takes in a millisecond without requests. */
    private double idleCpuMicrosPerMilli(MeasuredDispatcher process) throws IOException, InterruptedException {
        Map<Path, Double> before = process.cpuMicrosByThread();
        TimeUnit.MILLISECONDS.sleep(idleMs);
        return process.cpuMicrosSince(before) / idleMs;
    }

    /** Sends so many whole lists, one after another, and waits until the next call has come after the last. */
    private void sendLists(StubServers peers, int workers, int count) throws InterruptedException {
        for (int i = 0; i < count; i++) {
            long answered = peers.sentListCount();
            peers.pushList(listJson((int) nextId++ + 10, workers, peers.backendAddress()));
            awaitAbove(peers::sentListCount, answered);
            long calls = peers.watchCount();
            awaitAbove(peers::watchCount, calls - 1);
            TimeUnit.MILLISECONDS.sleep(100);
        }
    }

    private static void awaitAbove(java.util.function.LongSupplier counter, long value) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(EVENT_TIMEOUT_MS);
        while (counter.getAsLong() <= value) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException("waited " + EVENT_TIMEOUT_MS + " ms for an event that did not come");
            }
            TimeUnit.MILLISECONDS.sleep(2);
        }
    }

    // ---- Settings: start and reload by tenants, operators' figures

    private void measureSettings() throws IOException, InterruptedException {
        recorder.describe("cpu.start.tenants", "a start with 60 workers known, until it listens and 2 s on", "us", "tenant");
        recorder.describe("cpu.reload", "a SIGHUP, on which the file is reread", "us", "tenant");
        recorder.describe("cpu.metrics", "a GET /metrics on a connection of its own", "us", "tenant");
        for (int tenants : TENANT_COUNTS) {
            double[][] rows = new double[3][rounds];
            for (int round = 0; round < rounds; round++) {
                try (StubServers peers = new StubServers(); MeasuredDispatcher process = startDispatcher(peers, DEFAULT_BACKEND_COUNT, tenants, true)) {
                    TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
                    rows[0][round] = process.cpuMicrosSince(Map.of());
                    rows[1][round] = cpuMicrosPerReload(process);
                    rows[2][round] = cpuMicrosPerScrape(process);
                }
            }
            recorder.add("cpu.start.tenants", tenants, rows[0]);
            recorder.add("cpu.reload", tenants, rows[1]);
            recorder.add("cpu.metrics", tenants, rows[2]);
        }
    }

    private static double cpuMicrosPerReload(MeasuredDispatcher process) throws IOException, InterruptedException {
        Map<Path, Double> before = process.cpuMicrosByThread();
        for (int i = 0; i < RELOAD_COUNT; i++) {
            long lines = process.logLines();
            process.sendHangUp();
            awaitAbove(process::logLines, lines);
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

    // ---- Idle time by age

    private void measureIdle() throws IOException, InterruptedException {
        recorder.describe("cpu.idle.age", "a second without any request, 60 workers, by the age of the process", "us", "second");
        List<StubServers> peers = new ArrayList<>();
        List<MeasuredDispatcher> processes = new ArrayList<>();
        for (int round = 0; round < rounds; round++) {
            peers.add(new StubServers());
            processes.add(startDispatcher(peers.get(round), DEFAULT_BACKEND_COUNT, 3, true));
        }
        long from = System.nanoTime();
        for (int age : AGES_SECONDS) {
            TimeUnit.NANOSECONDS.sleep(from + TimeUnit.SECONDS.toNanos(age) - System.nanoTime());
            recorder.add("cpu.idle.age", age, idleCpuMicrosPerSecond(processes));
        }
        processes.forEach(MeasuredDispatcher::close);
        peers.forEach(StubServers::close);
    }

    /** Of several processes, in the same seconds. */
    private double[] idleCpuMicrosPerSecond(List<MeasuredDispatcher> processes) throws IOException, InterruptedException {
        List<Map<Path, Double>> before = new ArrayList<>();
        for (MeasuredDispatcher process : processes) {
            before.add(process.cpuMicrosByThread());
        }
        TimeUnit.MILLISECONDS.sleep(idleMs);
        double[] result = new double[processes.size()];
        for (int i = 0; i < result.length; i++) {
            result[i] = processes.get(i).cpuMicrosSince(before.get(i)) / idleMs * 1000;
        }
        return result;
    }

    // ---- Requests and probes

    private void requests() throws IOException, InterruptedException {
        recorder.describe("cpu.request.silent", "a request through a process that does not probe, 50 a second, idle time taken off",
            "us", "request served before");
        recorder.describe("cpu.request.probing", "a request through a process that probes, 50 a second, idle time taken off", "us",
            "request served before");
        recorder.describe("probes.process", "probes for a request, 50 a second at 60 workers", "probes", "request served before");
        for (int served : SERVED_COUNTS) {
            double[] silent = new double[rounds], probing = new double[rounds], probes = new double[rounds];
            for (int round = 0; round < rounds; round++) {
                silent[round] = measureRequestRound(served, false)[0];
                double[] both = measureRequestRound(served, true);
                probing[round] = both[0];
                probes[round] = both[1];
            }
            recorder.add("cpu.request.silent", served, silent);
            recorder.add("cpu.request.probing", served, probing);
            recorder.add("probes.process", served, probes);
        }
    }

    private double[] measureRequestRound(int served, boolean probes) throws IOException, InterruptedException {
        try (StubServers peers = new StubServers(); MeasuredDispatcher process = startDispatcher(peers, DEFAULT_BACKEND_COUNT, 3, probes);
                Socket client = new Socket("127.0.0.1", process.port())) {
            client.setTcpNoDelay(true);
            sendRequests(client, served, 0);
            TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
            double idlePerMs = idleCpuMicrosPerMilli(process);
            long asked = peers.probeCount();
            Map<Path, Double> before = process.cpuMicrosByThread();
            long from = System.nanoTime();
            sendRequests(client, requests, REQUEST_INTERVAL_MS);
            double taken = process.cpuMicrosSince(before) - idlePerMs * (System.nanoTime() - from) / 1e6;
            return new double[] {taken / requests, (double) (peers.probeCount() - asked) / requests};
        }
    }

    /** So many requests, one each {@code gapMs}, or as soon as the one before is answered where that takes longer. */
    private void sendRequests(Socket client, int count, long gapMs) throws IOException, InterruptedException {
        long next = System.nanoTime();
        for (int i = 0; i < count; i++) {
            String head = String.format("POST /preview/a HTTP/1.1\r\nHost: h\r\nX-Request-ID: %016x\r\nX-Timeout: 5000m\r\n"
                + "X-Tenant-Id: team-1\r\nContent-Length: 64\r\n\r\n", nextId++);
            client.getOutputStream().write((head + "b".repeat(64)).getBytes(StandardCharsets.ISO_8859_1));
            readResponse(client.getInputStream());
            next += TimeUnit.MILLISECONDS.toNanos(gapMs);
            TimeUnit.NANOSECONDS.sleep(Math.max(0, next - System.nanoTime()));
        }
    }

    private static void readResponse(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int read = in.read();
            if (read < 0) {
                throw new IOException("closed without an answer");
            }
            head.append((char) read);
        }
        if (!head.toString().startsWith("HTTP/1.1 200")) {
            throw new IOException("not served: " + head);
        }
        in.readNBytes(Integer.parseInt(head.toString().replaceAll("(?s).*Content-Length: (\\d+).*", "$1")));
    }

    // ---- Connections

    private void measureConnections() throws IOException, InterruptedException {
        recorder.describe("heap.connection", "live heap of the process with idle client connections", "bytes", "connection");
        for (int count : CONNECTION_COUNTS) {
            double[] heap = new double[rounds];
            for (int round = 0; round < rounds; round++) {
                try (StubServers peers = new StubServers(); MeasuredDispatcher process = startDispatcher(peers, DEFAULT_BACKEND_COUNT, 3, false)) {
                    List<Socket> clients = new ArrayList<>();
                    for (int i = 0; i < count; i++) {
                        Socket client = new Socket("127.0.0.1", process.port());
                        clients.add(client);
                        sendRequests(client, 1, 0);
                    }
                    heap[round] = process.liveHeapBytes();
                    for (Socket client : clients) {
                        client.close();
                    }
                }
            }
            recorder.add("heap.connection", count, heap);
        }
    }
}

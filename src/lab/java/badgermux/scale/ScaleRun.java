package badgermux.scale;

import badgermux.metrics.Metrics.Count;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.Closeable;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.ToLongFunction;

/** One scale run, from the start of all processes to the result. Closing it ends all processes and threads that it started. */
public final class ScaleRun implements Closeable {
    private static final int BACKEND_LOOPS = 2;
    private static final int MAX_PROCESSES = 200;
    /** Lower limit of the connections to backends that one dispatcher may have. */
    private static final int MIN_CONNECTIONS = 24;
    /** The descriptors of this process for the listeners and connections of the backends, some of which close late under load. */
    private static final int DESCRIPTORS = 16_000;
    /** Upper limit of the connections to backends that one dispatcher may have. */
    private static final int MAX_CONNECTIONS = 600;
    /** Memory of a real dispatcher. */
    private static final int REAL_MB = 192;
    /** Memory of this process. */
    private static final int OWN_MB = 2_048;
    /** Memory of a process of hollow dispatchers in addition to its heap, and also the part of the heap that holds no lists. */
    private static final int PROCESS_BASE_MB = 96;
    private static final int MAX_HEAP_MB = 2_048;
    /** Memory of one entry of the backend list in one hollow dispatcher. */
    private static final double MB_PER_BACKEND_AND_DISPATCHER = 0.002;
    private static final long START_TIMEOUT_MS = 180_000;
    private static final long CONVERGENCE_TIMEOUT_MS = 60_000;
    private static final long POLL_INTERVAL_MS = 100;
    private static final long SECOND_MS = 1_000;
    private static final long BYTES_PER_MB = 1 << 20;
    private static final int PROGRESS_INTERVAL_SECONDS = 5;

    private final ScaleOptions options;
    private final PrintStream progress;
    private final FleetLayout layout;
    private final ChangePropagation propagation;
    private final TrafficCounter traffic = new TrafficCounter();
    private final SendRules rules;
    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(BACKEND_LOOPS, NioIoHandler.newFactory());
    private final MultiThreadIoEventLoopGroup discoveryGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop discoveryLoop = discoveryGroup.next();
    private final StepScheduler steps = new StepScheduler();
    private final DiscoveryServer discovery;
    private final HollowBackends backends;
    private final FaultInjector faultInjector;
    private final Path folder = Files.createTempDirectory("scale");
    private final List<Path> configs = new ArrayList<>();
    private final List<Integer> discoveryPorts = new ArrayList<>();
    private final List<HollowProcessHandle> children = new ArrayList<>();
    private final List<HollowProcess.Report> finalReports = new ArrayList<>();
    private final RealDispatcher[] real;
    private final List<LoadGenerator> clients = new ArrayList<>();
    private final List<ScaleResult.Sample> samples = new ArrayList<>();
    private double restartMs;
    private int startCount;

    /** Prepares a run without starting it. Progress messages go to {@code progress}. */
    public ScaleRun(ScaleOptions options, PrintStream progress) throws IOException {
        this.options = options;
        this.progress = progress;
        layout = new FleetLayout(options);
        propagation = new ChangePropagation(options.allDispatchers());
        rules = new SendRules(propagation, System::nanoTime);
        discovery = new DiscoveryServer(discoveryLoop, layout, options, propagation, traffic);
        backends = new HollowBackends(options, layout, loops, discoveryLoop, discovery, steps, traffic, rules);
        faultInjector = new FaultInjector(options, layout, backends, discovery, discoveryLoop, steps);
        real = new RealDispatcher[options.real];
    }

    /** Performs the run. {@code command} and {@code commit} are copied to the result. */
    public ScaleResult run(String command, String commit) throws IOException, InterruptedException {
        String startedAt = Instant.now().toString();
        double loadAverage = ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
        checkSize();
        startDiscoveryAndBackends();
        startDispatchers();
        for (int d = 0; d < options.real; d++) {
            int number = d;
            clients.add(new LoadGenerator(() -> real[number], d, ratePerDispatcher(), options.giveUpMs(), options.seed));
        }
        clients.forEach(LoadGenerator::start);
        TimeUnit.SECONDS.sleep(options.warmUp);
        Measurement before = measure();
        long firstChange = propagation.startMeasuring();
        orderAll(HollowProcess.Order.MARK);
        clients.forEach(client -> client.health.reset());
        faultInjector.start();
        runMeasuredPart();
        Measurement after = measure();
        faultInjector.stopChurn();
        finish();
        return result(startedAt, loadAverage, command, commit, before, after, firstChange);
    }

    /** Returns the requests per second of one dispatcher. */
    private double ratePerDispatcher() {
        return options.rate / options.allDispatchers();
    }

    private int childHeapMb() {
        double listsMb = MB_PER_BACKEND_AND_DISPATCHER * options.workers * Math.min(options.perProcess, options.dispatchers);
        return (int) Math.min(MAX_HEAP_MB, PROCESS_BASE_MB + 3 * listsMb);
    }

    private int childCount() {
        return (options.dispatchers + options.perProcess - 1) / options.perProcess;
    }

    /** Rejects a run that needs more than half of the memory of the machine, or too many processes. */
    private void checkSize() throws IOException {
        long neededMb = OWN_MB + (long) childCount() * (childHeapMb() + PROCESS_BASE_MB) + (long) options.real * REAL_MB;
        long machineMb = Files.readAllLines(Path.of("/proc/meminfo")).stream().filter(line -> line.startsWith("MemTotal:"))
            .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")) / 1024).findFirst().orElse(0);
        if (neededMb > machineMb / 2 || childCount() + options.real > MAX_PROCESSES) {
            throw new IllegalArgumentException("run is too large: it needs " + neededMb + " MB of " + machineMb + " MB and "
                + (childCount() + options.real) + " processes; limits are half of the memory and " + MAX_PROCESSES
                + " processes");
        }
    }

    private void startDiscoveryAndBackends() throws IOException, InterruptedException {
        for (int d = 0; d < options.allDispatchers(); d++) {
            discoveryPorts.add(discovery.listen(d));
            configs.add(Files.writeString(folder.resolve("config-" + d + ".json"), layout.config(d)));
        }
        backends.startAll();
        printProgress(options.workers + " backends are listening");
    }

    private void startDispatchers() throws IOException, InterruptedException {
        long startNanos = System.nanoTime();
        for (int d = 0; d < options.real; d++) {
            real[d] = new RealDispatcher(d, configs.get(d), discoveryPorts.get(d));
        }
        for (int first = options.real; first < options.allDispatchers(); first += options.perProcess) {
            int end = Math.min(options.allDispatchers(), first + options.perProcess);
            children.add(new HollowProcessHandle(new HollowProcess.Plan(first,
                configs.subList(first, end).stream().map(Path::toString).toList(),
                List.copyOf(discoveryPorts.subList(first, end)),
                startCount, ratePerDispatcher() * (end - first), options.tenants, connectionsPerDispatcher(),
                options.seed + startCount), childHeapMb()));
        }
        startCount++;
        if (!await(this::allUpToDate, START_TIMEOUT_MS)) {
            throw new IOException("timed out: only " + propagation.upToDateCount() + " dispatchers have the backend list");
        }
        restartMs = startCount == 1 ? 0 : (System.nanoTime() - startNanos) / 1e6;
        printProgress("all dispatchers have the backend list after " + (System.nanoTime() - startNanos) / 1_000_000 + " ms");
        orderAll(HollowProcess.Order.GO);
    }

    /** Returns how many connections to backends a dispatcher may have. */
    private int connectionsPerDispatcher() {
        int descriptors = DESCRIPTORS - options.workers * layout.portsPerBackend();
        return Math.max(MIN_CONNECTIONS, Math.min(MAX_CONNECTIONS, descriptors / options.allDispatchers()));
    }

    private boolean allUpToDate() {
        return propagation.upToDateCount() == options.allDispatchers();
    }

    private void orderAll(HollowProcess.Order order) throws IOException {
        for (HollowProcessHandle child : children) {
            child.order(order);
        }
    }

    /** Waits for the length of the measured part, and takes a sample each second. */
    private void runMeasuredPart() throws IOException, InterruptedException {
        long startNanos = System.nanoTime();
        Map<TrafficCounter.Purpose, TrafficCounter.Bytes> previousSums = traffic.sums();
        for (int second = 1; second <= options.seconds; second++) {
            long dueNanos = startNanos + second * TimeUnit.SECONDS.toNanos(1);
            TimeUnit.NANOSECONDS.sleep(Math.max(0, dueNanos - System.nanoTime()));
            Map<TrafficCounter.Purpose, TrafficCounter.Bytes> sums = traffic.sums();
            samples.add(new ScaleResult.Sample(second, bytesPerDispatcher(sums, previousSums, TrafficCounter.Purpose.LISTS),
                bytesPerDispatcher(sums, previousSums, TrafficCounter.Purpose.PROBES),
                bytesPerDispatcher(sums, previousSums, TrafficCounter.Purpose.ATTEMPTS), propagation.upToDateCount()));
            previousSums = sums;
            if (second % PROGRESS_INTERVAL_SECONDS == 0) {
                printProgress(second + " of " + options.seconds + " s, " + propagation.changeCount() + " changes, "
                    + propagation.upToDateCount() + " of " + options.allDispatchers() + " dispatchers up to date, "
                    + rules.result().sends() + " sends");
            }
            if (options.scenario == ScaleOptions.Scenario.RESTART && second == options.seconds / 2) {
                restartAll();
            }
        }
    }

    private double bytesPerDispatcher(Map<TrafficCounter.Purpose, TrafficCounter.Bytes> now,
            Map<TrafficCounter.Purpose, TrafficCounter.Bytes> before, TrafficCounter.Purpose purpose) {
        TrafficCounter.Bytes bytes = now.get(purpose).minus(before.get(purpose));
        return (double) (bytes.in() + bytes.out()) / options.allDispatchers();
    }

    /** Performs a planned restart of all dispatchers: each answers its open requests, exits, and starts again without a list. */
    private void restartAll() throws IOException, InterruptedException {
        pauseClients(true);
        for (RealDispatcher dispatcher : real) {
            dispatcher.terminate();
        }
        endChildren();
        for (RealDispatcher dispatcher : real) {
            if (!dispatcher.awaitExit(options.giveUpMs() + CONVERGENCE_TIMEOUT_MS)) {
                throw new IOException("dispatcher " + dispatcher.number + " did not exit in time");
            }
        }
        for (int d = 0; d < options.allDispatchers(); d++) {
            propagation.dispatcherRestarted(d);
        }
        startDispatchers();
        pauseClients(false);
    }

    private void pauseClients(boolean paused) {
        clients.forEach(client -> client.setPaused(paused));
    }

    /** Waits until all requests are answered, at most for the client timeout, and ends the processes of hollow dispatchers. */
    private void endChildren() throws IOException, InterruptedException {
        orderAll(HollowProcess.Order.QUIET);
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(options.giveUpMs() + SECOND_MS);
        for (HollowProcessHandle child : children) {
            HollowProcess.Report report = child.report();
            while (report.lost() > 0 && System.nanoTime() < deadlineNanos) {
                TimeUnit.MILLISECONDS.sleep(SECOND_MS);
                report = child.report();
            }
            finalReports.add(report);
        }
        for (HollowProcessHandle child : children) {
            child.close();
        }
        children.clear();
    }

    /** Waits until the last change is in force in all dispatchers and all requests are answered. */
    private void finish() throws IOException, InterruptedException {
        printProgress("the measured part has ended");
        await(() -> steps.isSettled() && allUpToDate(), options.giveUpMs() + CONVERGENCE_TIMEOUT_MS);
        pauseClients(true);
        await(() -> clients.stream().allMatch(client -> client.openCount() == 0), options.giveUpMs() + 10 * SECOND_MS);
        endChildren();
    }

    /** Waits for a condition, and returns whether it is met. */
    private boolean await(BooleanSupplier condition, long timeoutMs) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        while (!condition.getAsBoolean() && System.nanoTime() < deadlineNanos) {
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        }
        return condition.getAsBoolean();
    }

    private void printProgress(String line) {
        progress.println(Instant.now() + " " + line);
    }

    // ---- Figures

    /** Use of processor time and memory of each process, and bytes sent so far, at one moment. */
    private record Measurement(long atNanos, List<ProcessUsage> hollow, List<ProcessUsage> real,
        Map<TrafficCounter.Purpose, TrafficCounter.Bytes> bytes) { }

    private Measurement measure() throws IOException {
        List<ProcessUsage> hollow = new ArrayList<>();
        List<ProcessUsage> realUsage = new ArrayList<>();
        for (HollowProcessHandle child : children) {
            hollow.add(ProcessUsage.of(child.pid()));
        }
        for (RealDispatcher dispatcher : real) {
            realUsage.add(ProcessUsage.of(dispatcher.pid()));
        }
        return new Measurement(System.nanoTime(), hollow, realUsage, traffic.sums());
    }

    /** Returns the processor time used between two moments, in percent of a core; a restarted process counts from its start. */
    private double cpuPercent(ProcessUsage before, ProcessUsage after, double seconds) {
        boolean restarted = options.scenario == ScaleOptions.Scenario.RESTART;
        return 100 * (after.cpuSeconds() - (restarted ? 0 : before.cpuSeconds())) / seconds;
    }

    private ScaleResult result(String startedAt, double loadAverage, String command, String commit, Measurement before,
            Measurement after, long firstChange) {
        double seconds = (after.atNanos - before.atNanos) / 1e9;
        Map<String, TrafficCounter.Bytes> bytes = new LinkedHashMap<>();
        Map<String, Double> bytesPerSecond = new LinkedHashMap<>();
        after.bytes.forEach((purpose, sum) -> {
            TrafficCounter.Bytes measured = sum.minus(before.bytes.get(purpose));
            bytes.put(purpose.name().toLowerCase(Locale.ROOT), measured);
            bytesPerSecond.put(purpose.name().toLowerCase(Locale.ROOT),
                (measured.in() + measured.out()) / seconds / options.allDispatchers());
        });
        List<ScaleResult.Real> realResults = new ArrayList<>();
        for (int d = 0; d < options.real; d++) {
            LoadGenerator client = clients.get(d);
            realResults.add(new ScaleResult.Real(d, cpuPercent(before.real.get(d), after.real.get(d), seconds),
                after.real.get(d).rssMb(), new ScaleResult.Requests(client.asked.get(), client.served.get(),
                    client.synthetic.get(), client.failed.get(), client.lost.get() + client.openCount(), 0, client.resent.get()),
                Times.ofMicros(client.health)));
        }
        long healedAtNanos = faultInjector.healedAtNanos();
        ScaleResult.Hollow hollow = hollow(before, after, seconds);
        ScaleResult.Rules ruleCounts = rules.result();
        long notInForce = propagation.notInForceCount(firstChange);
        List<String> faults = faults(hollow, realResults, ruleCounts, notInForce);
        return new ScaleResult(faults.isEmpty(), faults, command, commit, startedAt, loadAverage, options, hollow, realResults,
            bytes, bytesPerSecond,
            propagation.changeCount() - firstChange + 1, propagation.untilInForce(),
            propagation.untilInForceEverywhere(firstChange, 0),
            healedAtNanos == 0 ? null : propagation.untilInForceEverywhere(firstChange, healedAtNanos), restartMs, notInForce,
            propagation.upToDateCount(), ruleCounts, samples);
    }

    /** Returns the faults that make the run fail, each as a count with a description. */
    private List<String> faults(ScaleResult.Hollow hollow, List<ScaleResult.Real> realResults, ScaleResult.Rules ruleCounts,
            long notInForce) {
        Map<String, Long> counts = new LinkedHashMap<>();
        counts.put("requests of hollow dispatchers lost", hollow.requests().lost());
        counts.put("second answers", hollow.requests().second());
        counts.put("requests of real dispatchers lost", realResults.stream().mapToLong(r -> r.requests().lost()).sum());
        counts.put("exceptions", hollow.counts().getOrDefault(Count.EXCEPTIONS, 0L));
        counts.put("steps of the script that failed", (long) steps.failed());
        counts.put("sends after a drain", ruleCounts.afterDrain());
        counts.put("cold workers over their budget", ruleCounts.overCold());
        counts.put("changes not in force everywhere", notInForce);
        counts.put("dispatchers not at the last revision", (long) options.allDispatchers() - propagation.upToDateCount());
        List<String> faults = new ArrayList<>();
        counts.forEach((description, count) -> {
            if (count != 0) {
                faults.add(count + " " + description);
            }
        });
        return faults;
    }

    private ScaleResult.Hollow hollow(Measurement before, Measurement after, double seconds) {
        double cpuPercent = 0;
        for (int i = 0; i < after.hollow.size(); i++) {
            cpuPercent += cpuPercent(before.hollow.get(i), after.hollow.get(i), seconds);
        }
        Map<Count, Long> counts = new EnumMap<>(Count.class);
        finalReports.forEach(report -> report.counts().forEach((count, value) -> counts.merge(count, value, Long::sum)));
        double rssMb = after.hollow.stream().mapToDouble(ProcessUsage::rssMb).sum();
        double heapMb = finalReports.subList(finalReports.size() - after.hollow.size(), finalReports.size()).stream()
            .mapToDouble(HollowProcess.Report::heapBytes).sum() / BYTES_PER_MB;
        int dispatcherCount = Math.max(1, options.dispatchers);
        ScaleResult.Requests requests = new ScaleResult.Requests(sum(HollowProcess.Report::asked),
            sum(HollowProcess.Report::served), sum(HollowProcess.Report::synthetic), sum(HollowProcess.Report::failed),
            sum(HollowProcess.Report::lost), sum(HollowProcess.Report::second), 0);
        return new ScaleResult.Hollow(after.hollow.size(), cpuPercent / dispatcherCount, rssMb / dispatcherCount,
            heapMb / dispatcherCount, requests, worst(HollowProcess.Report::loopLate),
            worst(HollowProcess.Report::news), worst(HollowProcess.Report::decisions), counts);
    }

    private long sum(ToLongFunction<HollowProcess.Report> value) {
        return finalReports.stream().mapToLong(value).sum();
    }

    /** Returns the times of the process with the highest 99.9th percentile; null if there is no process. */
    private Times worst(Function<HollowProcess.Report, Times> value) {
        return finalReports.stream().map(value).max(Comparator.comparingDouble(Times::p999Ms)).orElse(null);
    }

    @Override public void close() throws IOException {
        steps.close();
        clients.forEach(LoadGenerator::close);
        for (HollowProcessHandle child : children) {
            child.close();
        }
        for (RealDispatcher dispatcher : real) {
            if (dispatcher != null) {
                dispatcher.close();
            }
        }
        loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        discoveryGroup.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        for (Path config : configs) {
            Files.deleteIfExists(config);
        }
        Files.deleteIfExists(folder);
    }
}

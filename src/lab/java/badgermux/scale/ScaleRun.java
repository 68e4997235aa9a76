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

/** One scale run, from the start of all parts to the result. Closing it ends all that it started. */
public final class ScaleRun implements Closeable {
    private static final int WORKER_LOOPS = 2, MOST_PROCESSES = 200, FEWEST_CONNECTIONS = 24;
    /** Descriptors of this process for the workers' listeners and ends of connections; some close late, when all is busy. */
    private static final int DESCRIPTORS = 16_000;
    private static final int MOST_CONNECTIONS = 600, REAL_MB = 192, OWN_MB = 2_048, BASE_MB = 96, MOST_HEAP_MB = 2_048;
    private static final double MB_A_WORKER_AND_DISPATCHER = 0.002;
    private static final long START_MS = 180_000, CONVERGE_MS = 60_000, LOOK_MS = 100, SECOND_MS = 1_000, MB = 1 << 20;
    private static final int PROGRESS_S = 5;

    private final ScaleOptions options;
    private final PrintStream progress;
    private final Layout layout;
    private final Ledger ledger;
    private final Traffic traffic = new Traffic();
    private final RuleCheck rules;
    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(WORKER_LOOPS, NioIoHandler.newFactory());
    private final MultiThreadIoEventLoopGroup discoveryGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop discoveryLoop = discoveryGroup.next();
    private final Steps steps = new Steps();
    private final DiscoveryServer discovery;
    private final HollowWorkers workers;
    private final Script script;
    private final Path folder = Files.createTempDirectory("scale");
    private final List<Path> configs = new ArrayList<>();
    private final List<Integer> discoveryPorts = new ArrayList<>();
    private final List<Child> children = new ArrayList<>();
    private final List<HollowProcess.Report> ended = new ArrayList<>();
    private final RealDispatcher[] real;
    private final List<RealClients> clients = new ArrayList<>();
    private final List<ScaleResult.Sample> samples = new ArrayList<>();
    private double restartMs;
    private int starts;

    /** Gets ready; nothing is started yet. {@code progress} is told how it goes. */
    public ScaleRun(ScaleOptions options, PrintStream progress) throws IOException {
        this.options = options;
        this.progress = progress;
        layout = new Layout(options);
        ledger = new Ledger(options.allDispatchers());
        rules = new RuleCheck(ledger, System::nanoTime);
        discovery = new DiscoveryServer(discoveryLoop, layout, options, ledger, traffic);
        workers = new HollowWorkers(options, layout, loops, discoveryLoop, discovery, steps, traffic, rules);
        script = new Script(options, layout, workers, discovery, discoveryLoop, steps);
        real = new RealDispatcher[options.real];
    }

    /** The whole run; {@code command} and {@code commit} are for its result. */
    public ScaleResult run(String command, String commit) throws IOException, InterruptedException {
        String started = Instant.now().toString();
        double load = ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
        checkSize();
        startStandIns();
        startDispatchers();
        for (int d = 0; d < options.real; d++) {
            int number = d;
            clients.add(new RealClients(() -> real[number], d, rateOfEach(), options.giveUpMs(), options.seed));
        }
        clients.forEach(RealClients::start);
        TimeUnit.SECONDS.sleep(options.warmUp);
        Measurement before = measure();
        long firstChange = ledger.mark();
        orderAll(HollowProcess.Order.MARK);
        clients.forEach(of -> of.health.reset());
        script.start();
        measuredPart();
        Measurement after = measure();
        script.end();
        finish();
        return result(started, load, command, commit, before, after, firstChange);
    }

    private double rateOfEach() {
        return options.rate / options.allDispatchers();
    }

    private int childHeapMb() {
        double lists = MB_A_WORKER_AND_DISPATCHER * options.workers * Math.min(options.perProcess, options.dispatchers);
        return (int) Math.min(MOST_HEAP_MB, BASE_MB + 3 * lists);
    }

    private int childCount() {
        return (options.dispatchers + options.perProcess - 1) / options.perProcess;
    }

    /** Half of the machine's memory, and so many processes, at most. */
    private void checkSize() throws IOException {
        long needed = OWN_MB + (long) childCount() * (childHeapMb() + BASE_MB) + (long) options.real * REAL_MB;
        long machine = Files.readAllLines(Path.of("/proc/meminfo")).stream().filter(line -> line.startsWith("MemTotal:"))
            .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")) / 1024).findFirst().orElse(0);
        if (needed > machine / 2 || childCount() + options.real > MOST_PROCESSES) {
            throw new IllegalArgumentException("needs " + needed + " MB of " + machine + " and " + (childCount() + options.real)
                + " processes: more than half of the memory, or than " + MOST_PROCESSES);
        }
    }

    private void startStandIns() throws IOException, InterruptedException {
        for (int d = 0; d < options.allDispatchers(); d++) {
            discoveryPorts.add(discovery.listen(d));
            configs.add(Files.writeString(folder.resolve("config-" + d + ".json"), layout.config(d)));
        }
        workers.startAll();
        say(options.workers + " workers listen");
    }

    private void startDispatchers() throws IOException, InterruptedException {
        long from = System.nanoTime();
        for (int d = 0; d < options.real; d++) {
            real[d] = new RealDispatcher(d, configs.get(d), discoveryPorts.get(d));
        }
        for (int first = options.real; first < options.allDispatchers(); first += options.perProcess) {
            int end = Math.min(options.allDispatchers(), first + options.perProcess);
            children.add(new Child(new HollowProcess.Plan(first,
                configs.subList(first, end).stream().map(Path::toString).toList(), List.copyOf(discoveryPorts.subList(first, end)),
                starts, rateOfEach() * (end - first), options.tenants, connectionsOfEach(), options.seed + starts), childHeapMb()));
        }
        starts++;
        if (!await(this::allUpToDate, START_MS)) {
            throw new IOException("only " + ledger.current() + " dispatchers have the list");
        }
        restartMs = starts == 1 ? 0 : (System.nanoTime() - from) / 1e6;
        say("all dispatchers have the list after " + (System.nanoTime() - from) / 1_000_000 + " ms");
        orderAll(HollowProcess.Order.GO);
    }

    private int connectionsOfEach() {
        int all = DESCRIPTORS - options.workers * layout.portsOfWorker();
        return Math.max(FEWEST_CONNECTIONS, Math.min(MOST_CONNECTIONS, all / options.allDispatchers()));
    }

    private boolean allUpToDate() {
        return ledger.current() == options.allDispatchers();
    }

    private void orderAll(HollowProcess.Order order) throws IOException {
        for (Child child : children) {
            child.order(order);
        }
    }

    private void measuredPart() throws IOException, InterruptedException {
        long from = System.nanoTime();
        Map<Traffic.Purpose, Traffic.Bytes> last = traffic.sums();
        for (int second = 1; second <= options.seconds; second++) {
            long due = from + second * TimeUnit.SECONDS.toNanos(1);
            TimeUnit.NANOSECONDS.sleep(Math.max(0, due - System.nanoTime()));
            Map<Traffic.Purpose, Traffic.Bytes> sums = traffic.sums();
            samples.add(new ScaleResult.Sample(second, each(sums, last, Traffic.Purpose.LISTS),
                each(sums, last, Traffic.Purpose.PROBES), each(sums, last, Traffic.Purpose.ATTEMPTS), ledger.current()));
            last = sums;
            if (second % PROGRESS_S == 0) {
                say(second + " of " + options.seconds + " s, " + ledger.changes() + " changes, " + ledger.current() + " of "
                    + options.allDispatchers() + " up to date, " + rules.result().sends() + " sends");
            }
            if (options.scenario == ScaleOptions.Scenario.RESTART && second == options.seconds / 2) {
                restartAll();
            }
        }
    }

    private double each(Map<Traffic.Purpose, Traffic.Bytes> now, Map<Traffic.Purpose, Traffic.Bytes> before,
            Traffic.Purpose purpose) {
        Traffic.Bytes bytes = now.get(purpose).minus(before.get(purpose));
        return (double) (bytes.in() + bytes.out()) / options.allDispatchers();
    }

    /** As at a planned restart of all: each answers what it has taken, ends, and starts anew without a list. */
    private void restartAll() throws IOException, InterruptedException {
        quiet(true);
        for (RealDispatcher one : real) {
            one.terminate();
        }
        endChildren();
        for (RealDispatcher one : real) {
            if (!one.awaitEnd(options.giveUpMs() + CONVERGE_MS)) {
                throw new IOException("dispatcher " + one.number + " does not end");
            }
        }
        for (int d = 0; d < options.allDispatchers(); d++) {
            ledger.restarted(d);
        }
        startDispatchers();
        quiet(false);
    }

    private void quiet(boolean is) {
        clients.forEach(of -> of.quiet(is));
    }

    /** Waits until all requests are answered, bounded by how long their clients wait, and ends the processes. */
    private void endChildren() throws IOException, InterruptedException {
        orderAll(HollowProcess.Order.QUIET);
        long limit = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(options.giveUpMs() + SECOND_MS);
        for (Child child : children) {
            HollowProcess.Report report = child.report();
            while (report.lost() > 0 && System.nanoTime() < limit) {
                TimeUnit.MILLISECONDS.sleep(SECOND_MS);
                report = child.report();
            }
            ended.add(report);
        }
        for (Child child : children) {
            child.close();
        }
        children.clear();
    }

    /** Waits until the last change is in force everywhere, and all is answered. */
    private void finish() throws IOException, InterruptedException {
        say("the measured part is over");
        await(() -> steps.isSettled() && allUpToDate(), options.giveUpMs() + CONVERGE_MS);
        quiet(true);
        await(() -> clients.stream().allMatch(of -> of.open() == 0), options.giveUpMs() + 10 * SECOND_MS);
        endChildren();
    }

    private boolean await(BooleanSupplier condition, long limitMs) throws InterruptedException {
        long limit = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMs);
        while (!condition.getAsBoolean() && System.nanoTime() < limit) {
            TimeUnit.MILLISECONDS.sleep(LOOK_MS);
        }
        return condition.getAsBoolean();
    }

    private void say(String line) {
        progress.println(Instant.now() + " " + line);
    }

    // ---- Figures

    /** What is read off at one moment. */
    private record Measurement(long at, List<ProcessFigures> hollow, List<ProcessFigures> real,
        Map<Traffic.Purpose, Traffic.Bytes> bytes) { }

    private Measurement measure() throws IOException {
        List<ProcessFigures> hollow = new ArrayList<>();
        List<ProcessFigures> alone = new ArrayList<>();
        for (Child child : children) {
            hollow.add(ProcessFigures.of(child.pid()));
        }
        for (RealDispatcher one : real) {
            alone.add(ProcessFigures.of(one.pid()));
        }
        return new Measurement(System.nanoTime(), hollow, alone, traffic.sums());
    }

    /** Processor time used between two moments, in percent of a core; a restarted process counts from its start. */
    private double cpuPercent(ProcessFigures before, ProcessFigures after, double seconds) {
        boolean restarted = options.scenario == ScaleOptions.Scenario.RESTART;
        return 100 * (after.cpuSeconds() - (restarted ? 0 : before.cpuSeconds())) / seconds;
    }

    private ScaleResult result(String started, double load, String command, String commit, Measurement before,
            Measurement after, long firstChange) {
        double seconds = (after.at - before.at) / 1e9;
        Map<String, Traffic.Bytes> bytes = new LinkedHashMap<>();
        Map<String, Double> each = new LinkedHashMap<>();
        after.bytes.forEach((purpose, sum) -> {
            Traffic.Bytes of = sum.minus(before.bytes.get(purpose));
            bytes.put(purpose.name().toLowerCase(Locale.ROOT), of);
            each.put(purpose.name().toLowerCase(Locale.ROOT),
                (of.in() + of.out()) / seconds / options.allDispatchers());
        });
        List<ScaleResult.Real> reals = new ArrayList<>();
        for (int d = 0; d < options.real; d++) {
            RealClients of = clients.get(d);
            reals.add(new ScaleResult.Real(d, cpuPercent(before.real.get(d), after.real.get(d), seconds),
                after.real.get(d).rssMb(), new ScaleResult.Requests(of.asked.get(), of.served.get(), of.synthetic.get(),
                    of.failed.get(), of.lost.get() + of.open(), 0, of.resent.get()), Times.ofMicros(of.health)));
        }
        long healedAt = script.healedAt();
        ScaleResult.Hollow hollow = hollow(before, after, seconds);
        ScaleResult.Rules broken = rules.result();
        long notInForce = ledger.unfinished(firstChange);
        List<String> faults = faults(hollow, reals, broken, notInForce);
        return new ScaleResult(faults.isEmpty(), faults, command, commit, started, load, options, hollow, reals, bytes, each,
            ledger.changes() - firstChange + 1, ledger.each(), ledger.last(firstChange, 0),
            healedAt == 0 ? null : ledger.last(firstChange, healedAt), restartMs, notInForce, ledger.current(), broken, samples);
    }

    private List<String> faults(ScaleResult.Hollow hollow, List<ScaleResult.Real> reals, ScaleResult.Rules broken,
            long notInForce) {
        Map<String, Long> counts = new LinkedHashMap<>();
        counts.put("requests of hollow dispatchers lost", hollow.requests().lost());
        counts.put("second answers", hollow.requests().second());
        counts.put("requests of real dispatchers lost", reals.stream().mapToLong(r -> r.requests().lost()).sum());
        counts.put("exceptions", hollow.counts().getOrDefault(Count.EXCEPTIONS, 0L));
        counts.put("steps of the script that failed", (long) steps.failed());
        counts.put("sends after a drain", broken.afterDrain());
        counts.put("cold workers over their budget", broken.overCold());
        counts.put("changes not in force everywhere", notInForce);
        counts.put("dispatchers not at the last revision", (long) options.allDispatchers() - ledger.current());
        List<String> faults = new ArrayList<>();
        counts.forEach((what, count) -> {
            if (count != 0) {
                faults.add(count + " " + what);
            }
        });
        return faults;
    }

    private ScaleResult.Hollow hollow(Measurement before, Measurement after, double seconds) {
        double cpu = 0;
        for (int i = 0; i < after.hollow.size(); i++) {
            cpu += cpuPercent(before.hollow.get(i), after.hollow.get(i), seconds);
        }
        Map<Count, Long> counts = new EnumMap<>(Count.class);
        ended.forEach(report -> report.counts().forEach((count, value) -> counts.merge(count, value, Long::sum)));
        double rss = after.hollow.stream().mapToDouble(ProcessFigures::rssMb).sum();
        double heap = ended.subList(ended.size() - after.hollow.size(), ended.size()).stream()
            .mapToDouble(HollowProcess.Report::heapBytes).sum() / MB;
        int count = Math.max(1, options.dispatchers);
        ScaleResult.Requests requests = new ScaleResult.Requests(sum(HollowProcess.Report::asked),
            sum(HollowProcess.Report::served), sum(HollowProcess.Report::synthetic), sum(HollowProcess.Report::failed),
            sum(HollowProcess.Report::lost), sum(HollowProcess.Report::second), 0);
        return new ScaleResult.Hollow(after.hollow.size(), cpu / count, rss / count, heap / count, requests,
            worst(HollowProcess.Report::loopLate), worst(HollowProcess.Report::news), worst(HollowProcess.Report::decisions),
            counts);
    }

    private long sum(ToLongFunction<HollowProcess.Report> of) {
        return ended.stream().mapToLong(of).sum();
    }

    private Times worst(Function<HollowProcess.Report, Times> of) {
        return ended.stream().map(of).max(Comparator.comparingDouble(Times::p999Ms)).orElse(null);
    }

    @Override public void close() throws IOException {
        steps.close();
        clients.forEach(RealClients::close);
        for (Child child : children) {
            child.close();
        }
        for (RealDispatcher one : real) {
            if (one != null) {
                one.close();
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

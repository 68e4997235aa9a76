package badgermux.lab;

import badgermux.decide.DispatchPolicy;
import badgermux.decide.DispatchPolicy.Effect;
import badgermux.decide.DispatchPolicy.ListUpdate;
import badgermux.decide.DispatchPolicy.Outcome;
import badgermux.decide.DispatchPolicy.DedupScope;
import badgermux.decide.DispatchPolicy.BackendState;
import badgermux.decide.DefaultDispatchPolicy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * One run: clients, dispatchers, network, discovery and nodes. Each actor draws from a stream of its own (Commons RNG), so
 * that two policies meet the same arrivals and the same delays. The same seed gives the same run.
 */
final class Fleet {
    /** The classes: name, mean run, slots of one or two, aim, stretch, give-up time, worth, effect. */
    record Kind(String name, double share, double run, boolean wide, double aim, double stretch, double giveUp,
            double worth, Effect effect) { }

    static final List<Kind> KINDS = List.of(
        new Kind("preview", 0.37, 0.84, false, 0.6, 1.75, 10, 1, Effect.REPEATABLE),
        new Kind("epaper-page", 0.36, 5.1, true, 1.5, 2.5, 25, 2, Effect.REPEATABLE),
        new Kind("publish", 0.27, 3.4, true, 2.5, 1.75, 25, 3, Effect.BY_KEY));
    private static final double[] SPEEDS = {1.8, 0.88};
    private static final long CONNECT = 250_000, PROBE = 500_000, IDLE = 15_000_000;
    private static final long DRAIN = 5_000_000, BOOT = 1_500_000;
    private static final int STEPS = 6;
    private static final long STOP = 3_700_000;

    /** What a client wants, all its tries together. */
    static final class Wish {
        final long key;
        final int kind;
        final int zone;
        final double work;
        final int slots;
        final long at;
        int tries;
        boolean inTime;

        Wish(long key, int kind, int zone, double work, int slots, long at) {
            this.key = key;
            this.kind = kind;
            this.zone = zone;
            this.work = work;
            this.slots = slots;
            this.at = at;
        }

        double latest() {
            return at + (KINDS.get(kind).aim + KINDS.get(kind).stretch * work) * 1e6;
        }
    }

    /** One try, as a dispatcher has it. */
    static final class Job {
        final long id;
        final Wish wish;
        final int slots;
        final long until;
        int answers;
        final List<Attempt> attempts = new ArrayList<>(2);

        Job(long id, Wish wish, long until) {
            this.id = id;
            this.wish = wish;
            slots = wish.slots;
            this.until = until;
        }
    }

    /** One send. */
    static final class Attempt {
        final Job job;
        final int number;
        final Node node;
        final Instance from;
        boolean over;
        Node.Task task;

        Attempt(Job job, int number, Node node, Instance from) {
            this.job = job;
            this.number = number;
            this.node = node;
            this.from = from;
        }
    }

    /** What came of a run. */
    static final class Result {
        double asked;
        double inTime;
        final double[] askedByZone;
        final double[] inTimeByZone;
        final double[] askedByKind = new double[KINDS.size()];
        final double[] inTimeByKind = new double[KINDS.size()];
        double bound;
        int jobs;
        int wishes;
        int wrongAnswers;
        int keysTwice;
        int fallen;
        double worstRatio;
        double spillOver;
        /** Worth in time and asked for, by five seconds of arrival. */
        final double[][] bins = new double[2][64];
        final List<Double> verdictAfter = new ArrayList<>();
        double serviceBack = Double.NaN;
        /** By half seconds: work served by zone, then capacity by zone, then spilled slots. */
        final List<double[]> curve = new ArrayList<>();

        Result(int zones) {
            askedByZone = new double[zones];
            inTimeByZone = new double[zones];
        }
    }

    /** A dispatcher: the real module, and its actions as they come out in this world. */
    final class Instance implements DispatchPolicy.Actions {
        final int number;
        final int zone;
        private final UniformRandomProvider net;
        private final Map<Long, Job> jobs = new HashMap<>();
        private final Map<Long, Long> usedAt = new HashMap<>();
        private DefaultDispatchPolicy module;
        private DispatchPolicy.ZoneLimits zones;
        private int life;
        private boolean down;

        Instance(int number, int zone) {
            this.number = number;
            this.zone = zone;
            net = stream(1_000 + number);
        }

        void start() {
            life++;
            down = false;
            jobs.clear();
            usedAt.clear();
            DispatchPolicy.LearnedState left = module == null || !scenario.heirs ? null : module.exportLearnedState();
            DispatchPolicy.Settings s = settings(number, zone);
            zones = policy.apply(s, stream(5_000 + 100L * life + number));
            module = new DefaultDispatchPolicy(s, new SplittableRandom(seed * 31 + number + 1_000L * life).nextLong(), this, zones);
            List<DispatchPolicy.Backend> known = new ArrayList<>();
            for (Node node : nodes.values()) {
                known.add(new DispatchPolicy.Backend(node.id, node.zone, node.kind, 0, listed.get(node.id) ? BackendState.READY
                    : BackendState.GONE, listedStart.get(node.id)));
            }
            module.backendsListed(now(), ListUpdate.FULL, known);
            if (left != null) {
                module.importLearnedState(left);
            }
        }

        /** Serves what it has for as long as a planned stop lets it, while others take what comes; then begins anew. */
        void restart() {
            down = true;
            agenda.after(STOP, this::start);
        }

        void list(Node node, boolean ready, long startedAt) {
            module.backendsListed(now(), ListUpdate.DELTA, List.of(new DispatchPolicy.Backend(node.id, node.zone, node.kind, 0,
                ready ? BackendState.READY : BackendState.GONE, startedAt)));
        }

        void take(Wish wish) {
            Job job = new Job(nextJob++, wish, now() + (long) (KINDS.get(wish.kind).giveUp * 1e6));
            result.jobs++;
            jobs.put(job.id, job);
            module.requestReceived(now(), new DispatchPolicy.Request(job.id, wish.kind, 0, wish.slots, 0, job.until - 30_000 - now()));
        }

        private long delay(int to) {
            return zone == to ? 300 + net.nextInt(400) : 5_600 + net.nextInt(4_400);
        }

        @Override public void send(long id, long worker) {
            Job job = jobs.get(id);
            Node node = nodes.get(worker);
            Attempt a = new Attempt(job, job.attempts.size(), node, this);
            job.attempts.add(a);
            if (node.zone != zone) {
                spilled(node, a, 1);
            }
            int mine = life;
            long idle = now() - usedAt.getOrDefault(worker, Long.MIN_VALUE / 2);
            if (!node.up && !node.silent) {
                agenda.after(delay(node.zone), () -> end(a, Outcome.CONNECT_FAILED, mine));
            } else if (!node.up && idle > IDLE) {
                agenda.after(CONNECT, () -> end(a, Outcome.CONNECT_FAILED, mine));
            } else {
                usedAt.put(worker, now());
                agenda.after(delay(node.zone), () -> arrive(a, mine));
            }
            agenda.at(job.until - 30_000, () -> end(a, Outcome.TIMED_OUT, mine));
        }

        private void arrive(Attempt a, int mine) {
            if (!a.over && a.node.up && mine == life) {
                reach(a, mine);
            }
        }

        void started(Attempt a, int mine) {
            agenda.after(delay(a.node.zone), () -> {
                if (mine == life && !a.over) {
                    module.attemptStarted(now(), a.job.id, a.number);
                }
            });
        }

        void ended(Attempt a, Outcome outcome, int mine) {
            agenda.after(delay(a.node.zone), () -> end(a, outcome, mine));
        }

        private void end(Attempt a, Outcome outcome, int mine) {
            if (a.over) {
                return;
            }
            a.over = true;
            if (a.node.zone != zone) {
                spilled(a.node, a, -1);
            }
            if (mine != life) {
                return;
            }
            if (outcome == Outcome.SERVED) {
                usedAt.put(a.node.id, now());
                answer(a.job, true, 0);
            } else if (outcome != Outcome.REJECTED) {
                usedAt.remove(a.node.id);
            }
            module.attemptEnded(now(), a.job.id, a.number, a.node.id, outcome, a.job.answers > 0, null);
        }

        @Override public void cancel(long id, int attempt) {
            Job job = jobs.get(id);
            if (job == null || attempt >= job.attempts.size() || job.attempts.get(attempt).over) {
                return;
            }
            Attempt a = job.attempts.get(attempt);
            int mine = life;
            if (a.task != null && !a.task.running && !(scenario.deaf && a.node.kind == 1)) {
                a.task.dropped = true;
            }
            agenda.after(0, () -> end(a, Outcome.CANCELLED, mine));
        }

        @Override public void refuse(long id, long comeBack) {
            answer(jobs.get(id), false, comeBack);
        }

        @Override public void fail(long id) {
            answer(jobs.get(id), false, -1);
        }

        private void answer(Job job, boolean served, long comeBack) {
            if (job == null) {
                return;
            }
            if (job.answers++ > 0) {
                result.wrongAnswers += served ? 0 : 1;
                return;
            }
            agenda.after(1_000 * KINDS.size() * 20, () -> jobs.remove(job.id));
            answered(job, served, comeBack);
        }

        @Override public void startTimer(long delay, int token) {
            int mine = life;
            agenda.after(delay, () -> {
                if (mine == life) {
                    module.timerFired(now(), token);
                }
            });
        }

        @Override public void probe(long worker) {
            Node node = nodes.get(worker);
            int mine = life;
            boolean answers = node.up && !node.fallen;
            agenda.after(answers ? 2 * delay(node.zone) : node.silent ? PROBE : delay(node.zone), () -> {
                if (mine == life) {
                    DispatchPolicy.LoadReport report = new DispatchPolicy.LoadReport();
                    report.freeSlots = Math.max(0, node.reported);
                    report.recentRunMicros = scenario.tellsRuns ? 1e6 * KINDS.stream().mapToDouble(k -> k.share * k.run).sum()
                        / node.speed / node.warmth(now()) : Double.NaN;
                    module.probeEnded(now(), worker, answers && node.up, answers ? report : null);
                }
            });
        }

        @Override public void closeIdleConnections(long worker) {
            usedAt.remove(worker);
        }

        @Override public void watchBackendList() { }

        @Override public void log(String line) {
            if (line.startsWith("zone ")) {
                verdict(line);
            }
            if (log != null) {
                log.add(String.format(java.util.Locale.ROOT, "%7.3f dispatcher %d %s", now() / 1e6, number, line));
            }
        }
    }

    private final Scenario scenario;
    private final long seed;
    private final BiFunction<DispatchPolicy.Settings, UniformRandomProvider, DispatchPolicy.ZoneLimits> policy;
    private final Agenda agenda = new Agenda();
    private final Map<Long, Node> nodes = new HashMap<>();
    private final Map<Long, Boolean> listed = new HashMap<>();
    private final Map<Long, Long> listedStart = new HashMap<>();
    private final List<Instance> instances = new ArrayList<>();
    private final Map<Long, int[]> keys = new HashMap<>();
    private final Result result;
    private final double[] spilledSlots;
    private final double[] servedWork;
    private final UniformRandomProvider discovery;
    private final UniformRandomProvider clients;
    private List<String> log;
    private long nextJob = 1;
    private long nextKey = 1;
    private double rate;
    private int lossesSeen;

    Fleet(Scenario scenario, long seed, BiFunction<DispatchPolicy.Settings, UniformRandomProvider, DispatchPolicy.ZoneLimits> policy) {
        this.scenario = scenario;
        this.seed = seed;
        this.policy = policy;
        result = new Result(scenario.zones);
        spilledSlots = new double[scenario.zones];
        servedWork = new double[scenario.zones];
        discovery = stream(1);
        clients = stream(2);
    }

    private UniformRandomProvider stream(long actor) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {seed * 0x9E3779B97F4A7C15L + actor,
            actor * 0xBF58476D1CE4E5B9L ^ seed});
    }

    private long now() {
        return agenda.now();
    }

    /** Keeps what dispatchers log. */
    Fleet logged(List<String> to) {
        log = to;
        return this;
    }

    Result run() {
        UniformRandomProvider fleet = stream(3);
        double all = 0;
        for (int z = 0; z < scenario.zones; z++) {
            for (int i = 0; i < scenario.nodesPerZone; i++) {
                int kind = i % 3 == 2 ? 1 : 0;
                Node node = new Node(fleet.nextLong(), z, kind, SPEEDS[kind], 15_000_000 + fleet.nextInt(8_000_000));
                nodes.put(node.id, node);
                listed.put(node.id, true);
                listedStart.put(node.id, 0L);
                all += node.slots * node.speed;
            }
        }
        double work = KINDS.stream().mapToDouble(k -> k.share * k.run * (k.wide ? 1 + scenario.wide : 1)).sum();
        nodes.values().forEach(node -> node.meanJob = scenario.fellByMean ? work : node.meanJob);
        rate = scenario.load * all * (scenario.zones - 1) / scenario.zones / work;
        // The module takes 0 for long ago; the world begins a while after it.
        agenda.runUntil(100_000_000);
        nodes.values().stream().limit(Math.round(scenario.coldAtFirst * nodes.size())).forEach(node -> {
            node.start(now());
            listedStart.put(node.id, now());
        });
        for (int d = 0; d < scenario.zones * scenario.dispatchersPerZone; d++) {
            instances.add(new Instance(d, d % scenario.zones));
        }
        instances.forEach(Instance::start);
        long begin = now();
        for (Scenario.Loss loss : scenario.losses) {
            agenda.at(begin + (long) (loss.from() * 1e6), () -> lose(loss.zone()));
            agenda.at(begin + (long) (loss.to() * 1e6), () -> bringBack(loss.zone()));
        }
        if (scenario.restarted >= 0) {
            agenda.at(begin + (long) (scenario.restartAt * 1e6), () -> instances.get(scenario.restarted).start());
        }
        for (int i = 0; scenario.rollTo > 0 && i < instances.size(); i++) {
            double step = Math.floorDiv(10 * i, instances.size()) / 10.0 * (scenario.rollTo - scenario.rollFrom);
            agenda.at(begin + (long) ((scenario.rollFrom + step) * 1e6), instances.get(i)::restart);
        }
        List<Node> old = new ArrayList<>(nodes.values());
        for (int i = 0; i < scenario.swapped * old.size(); i++) {
            double step = (i % STEPS) / (double) STEPS * (scenario.swapTo - scenario.swapFrom);
            Node leaves = old.get(i);
            long id = fleet.nextLong();
            long coldFor = 15_000_000 + fleet.nextInt(8_000_000);
            agenda.at(begin + (long) ((scenario.swapFrom + step) * 1e6), () -> replace(leaves, id, coldFor));
        }
        long end = begin + (long) (scenario.length * 1e6);
        arrive(end);
        report();
        watchCurve(begin, end);
        agenda.runUntil(end + 30_000_000);
        nodes.values().forEach(node -> {
            result.worstRatio = Math.max(result.worstRatio, node.worstRatio);
            result.fallen += node.fallen ? 1 : 0;
        });
        keys.values().forEach(zones -> {
            int ran = 0;
            for (int times : zones) {
                ran += times;
            }
            result.keysTwice += ran > 1 ? 1 : 0;
        });
        bound(begin, end);
        return result;
    }

    // ---- Clients

    private void arrive(long end) {
        double gap = ZigguratSampler.Exponential.of(clients, 1e6 / rate).sample();
        agenda.after((long) gap, () -> {
            if (now() < end) {
                int kind = 0;
                double draw = clients.nextDouble();
                while (kind < KINDS.size() - 1 && draw >= KINDS.get(kind).share) {
                    draw -= KINDS.get(kind++).share;
                }
                // A run of gamma shape 2: neither all alike nor without a scale.
                double work = (ZigguratSampler.Exponential.of(clients, 1).sample()
                    + ZigguratSampler.Exponential.of(clients, 1).sample()) / 2 * KINDS.get(kind).run;
                int slots = KINDS.get(kind).wide && clients.nextDouble() < scenario.wide ? 2 : 1;
                Wish wish = new Wish(nextKey++, kind, clients.nextInt(scenario.zones), work, slots, now());
                result.wishes++;
                double worth = KINDS.get(kind).worth;
                result.asked += worth;
                result.askedByKind[kind]++;
                result.askedByZone[wish.zone] += worth;
                result.bins[1][bin(wish)] += worth;
                arrivals.add(wish);
                ask(wish, clients.nextInt(scenario.dispatchersPerZone));
                arrive(end);
            }
        });
    }

    private static int bin(Wish wish) {
        return (int) Math.min(63, (wish.at - 100_000_000) / 5_000_000);
    }

    private final List<Wish> arrivals = new ArrayList<>();

    private void ask(Wish wish, int which) {
        wish.tries++;
        int at = which;
        for (int i = 0; i < scenario.dispatchersPerZone && instances.get(at * scenario.zones + wish.zone).down; i++) {
            at = (at + 1) % scenario.dispatchersPerZone;
        }
        instances.get(at * scenario.zones + wish.zone).take(wish);
    }

    private void answered(Job job, boolean served, long comeBack) {
        Wish wish = job.wish;
        if (served) {
            if (!wish.inTime && now() <= wish.latest()) {
                wish.inTime = true;
                result.inTimeByKind[wish.kind]++;
                result.inTime += KINDS.get(wish.kind).worth;
                result.bins[0][bin(wish)] += KINDS.get(wish.kind).worth;
                result.inTimeByZone[wish.zone] += KINDS.get(wish.kind).worth;
            }
        } else if (comeBack >= 0 && wish.tries <= 2) {
            long wait = Math.max(comeBack, 500_000);
            int which = (int) Math.floorMod(wish.key * 7 + wish.tries, (long) scenario.dispatchersPerZone);
            agenda.after(wait + Math.floorMod(wish.key * 7919, wait / 2), () -> ask(wish, which));
        }
    }

    // ---- Nodes

    private void reach(Attempt a, int mine) {
        Node node = a.node;
        if (node.fallen) {
            return;
        }
        Job job = a.job;
        double work = scenario.fellByMean ? KINDS.get(job.wish.kind).run : job.wish.work;
        if (node.overburdened(now(), work * job.slots, a.from.number)) {
            node.fallen = true;
            if (log != null) {
                log.add(String.format(java.util.Locale.ROOT, "%7.3f zone node %s falls, %.2f s old, work %s", now() / 1e6,
                    Long.toHexString(node.id), (now() - node.startedAt) / 1e6, node.story()));
            }
            node.lose();
            return;
        }
        if (node.isFull()) {
            a.from.ended(a, Outcome.REJECTED, mine);
            return;
        }
        a.task = new Node.Task(a);
        node.waiting.add(a.task);
        fill(node, mine);
    }

    /** In order: the first that waits starts as soon as it fits. */
    private void fill(Node node, int mine) {
        while (!node.waiting.isEmpty()) {
            Node.Task task = node.waiting.peek();
            if (task.dropped) {
                node.waiting.poll();
                continue;
            }
            Job job = task.attempt.job;
            if (node.used + job.slots > node.slots) {
                return;
            }
            node.waiting.poll();
            task.running = true;
            node.used += job.slots;
            node.running.add(task);
            int life = node.life;
            int[] zonesOfKey = KINDS.get(job.wish.kind).effect == Effect.BY_KEY
                ? keys.computeIfAbsent(job.wish.key, k -> new int[scenario.zones]) : null;
            boolean repeat = zonesOfKey != null && zonesOfKey[node.zone] > 0;
            if (zonesOfKey != null && !repeat) {
                zonesOfKey[node.zone]++;
            }
            task.attempt.from.started(task.attempt, task.attempt.from.life);
            // A repeat inside one data centre is dropped: it costs next to nothing and brings the same result.
            double run = repeat ? 0.01 : job.wish.work / (node.speed * Math.max(Node.COLD_SHARE, node.warmth(now())));
            agenda.after((long) (run * 1e6), () -> {
                if (node.life != life) {
                    return;
                }
                node.used -= job.slots;
                node.running.remove(task);
                if (node.up && !node.fallen) {
                    servedWork[node.zone] += job.wish.work * job.slots;
                    task.attempt.from.ended(task.attempt, Outcome.SERVED, task.attempt.from.life);
                }
                fill(node, mine);
            });
        }
    }

    private void lose(int zone) {
        lossesSeen++;
        lostAt = now();
        for (Node node : nodes.values()) {
            if (node.zone == zone) {
                node.up = false;
                node.silent = scenario.silent;
                List<Node.Task> had = new ArrayList<>(node.running);
                had.addAll(node.waiting);
                node.lose();
                if (!scenario.silent) {
                    had.forEach(task -> task.attempt.from.ended(task.attempt, Outcome.RESET, task.attempt.from.life));
                }
                tell(node, false, listedStart.get(node.id));
            }
        }
    }

    /** One drains and ends, with what still runs there; another begins cold in its place. */
    private void replace(Node leaves, long id, long coldFor) {
        tell(leaves, false, listedStart.get(leaves.id));
        agenda.after(DRAIN, () -> {
            leaves.up = false;
            List<Node.Task> had = new ArrayList<>(leaves.running);
            had.addAll(leaves.waiting);
            leaves.lose();
            had.forEach(task -> task.attempt.from.ended(task.attempt, Outcome.RESET, task.attempt.from.life));
        });
        agenda.after(BOOT, () -> {
            Node next = new Node(id, leaves.zone, leaves.kind, leaves.speed, coldFor);
            next.meanJob = leaves.meanJob;
            next.start(now());
            nodes.put(id, next);
            listed.put(id, false);
            listedStart.put(id, 0L);
            refresh(next, stream(id));
            tell(next, true, now());
        });
    }

    private void bringBack(int zone) {
        backAt = now();
        for (Node node : nodes.values()) {
            if (node.zone == zone) {
                // Not all at one time: machines boot over some seconds.
                agenda.after(discovery.nextInt(3_000_000), () -> {
                    node.up = true;
                    node.silent = false;
                    node.start(now());
                    tell(node, true, now());
                });
            }
        }
    }

    /** Each dispatcher hears of a change by itself, late. */
    private void tell(Node node, boolean ready, long startedAt) {
        agenda.after((long) (scenario.listLeast * 1e6), () -> {
            listed.put(node.id, ready);
            listedStart.put(node.id, startedAt);
        });
        for (Instance instance : instances) {
            double late = scenario.listLeast + discovery.nextDouble() * (scenario.listMost - scenario.listLeast);
            agenda.after((long) (late * 1e6), () -> instance.list(node, ready, startedAt));
        }
    }

    private void report() {
        for (Node node : nodes.values()) {
            refresh(node, stream(node.id));
        }
    }

    private void refresh(Node node, UniformRandomProvider own) {
        agenda.after(310_000 + own.nextInt(570_000), () -> {
            // What is reported are slots that nothing runs in: one may be kept by a wide job that waits for a second.
            double free = node.slots - node.used;
            agenda.after(scenario.reportLag, () -> node.reported = free);
            refresh(node, own);
        });
    }

    // ---- What is watched

    private long lostAt;
    private long backAt;

    private void verdict(String line) {
        if (line.contains(" is dark") && lossesSeen > 0) {
            result.verdictAfter.add((now() - lostAt) / 1e6);
        }
    }

    private void spilled(Node node, Attempt a, int sign) {
        spilledSlots[node.zone] += sign * a.job.slots;
        double slots = 0;
        for (Node each : nodes.values()) {
            slots += each.zone == node.zone ? each.slots : 0;
        }
        result.spillOver = Math.max(result.spillOver, spilledSlots[node.zone] / slots);
    }

    private void watchCurve(long begin, long end) {
        double[] before = servedWork.clone();
        agenda.after(500_000, () -> {
            double[] row = new double[3 * scenario.zones + 1];
            row[0] = (now() - begin) / 1e6;
            for (int z = 0; z < scenario.zones; z++) {
                row[1 + z] = (servedWork[z] - before[z]) * 2;
                for (Node node : nodes.values()) {
                    row[1 + scenario.zones + z] += node.zone == z ? node.capacity(now()) : 0;
                }
                row[1 + 2 * scenario.zones + z] = spilledSlots[z];
            }
            result.curve.add(row);
            if (now() < end) {
                watchCurve(begin, end);
            } else {
                back(begin);
            }
        });
    }

    /** From the first node that is up again to 95% of the work that the zone did before. */
    private void back(long begin) {
        if (scenario.losses.isEmpty()) {
            return;
        }
        int zone = scenario.losses.get(0).zone();
        double lost = scenario.losses.get(0).from();
        double steady = result.curve.stream().filter(r -> r[0] > lost / 2 && r[0] <= lost).mapToDouble(r -> r[1 + zone])
            .average().orElse(0);
        double from = (backAt - begin) / 1e6;
        double sum = 0;
        int count = 0;
        for (int i = 0; i < result.curve.size(); i++) {
            double[] row = result.curve.get(i);
            if (row[0] < from) {
                continue;
            }
            sum += row[1 + zone];
            count++;
            if (count > 6) {
                sum -= result.curve.get(i - 6)[1 + zone];
                count--;
            }
            if (count == 6 && sum / count >= 0.95 * steady) {
                result.serviceBack = row[0] - from;
                return;
            }
        }
    }

    /**
     * What no dispatcher could exceed: in steps of half a second all work that waits is poured, the dearest by the
     * second first, into all capacity that there is, in whatever node, without queues, parts or distance, as long as it
     * can still be in time.
     */
    private void bound(long begin, long end) {
        List<Wish> open = new ArrayList<>();
        int next = 0;
        Map<Wish, Double> left = new HashMap<>();
        for (double[] row : result.curve) {
            long until = begin + (long) (row[0] * 1e6);
            while (next < arrivals.size() && arrivals.get(next).at < until) {
                Wish wish = arrivals.get(next++);
                open.add(wish);
                left.put(wish, wish.work * wish.slots);
            }
            double capacity = 0;
            for (int z = 0; z < scenario.zones; z++) {
                capacity += row[1 + scenario.zones + z] / 2;
            }
            open.removeIf(wish -> until - 500_000 > wish.latest());
            open.sort((a, b) -> Double.compare(KINDS.get(b.kind).worth / (b.work * b.slots),
                KINDS.get(a.kind).worth / (a.work * a.slots)));
            for (int i = 0; i < open.size() && capacity > 0;) {
                Wish wish = open.get(i);
                double use = Math.min(capacity, left.get(wish));
                capacity -= use;
                if (use >= left.get(wish)) {
                    result.bound += KINDS.get(wish.kind).worth;
                    open.remove(i);
                } else {
                    left.put(wish, left.get(wish) - use);
                    i++;
                }
            }
        }
    }

    private DispatchPolicy.Settings settings(int number, int zone) {
        DispatchPolicy.Settings s = new DispatchPolicy.Settings();
        s.dispatcherCount = scenario.zones * scenario.dispatchersPerZone;
        s.dispatcherIndex = number;
        s.ownZone = zone;
        s.kindCount = 2;
        for (Kind kind : KINDS) {
            s.classes.add(new DispatchPolicy.RequestClass(kind.name, kind.effect, DedupScope.ZONE, (long) (kind.aim * 1e6), kind.stretch,
                (long) (kind.giveUp * 1e6), 40_000_000, kind.worth, 0, -1, false));
        }
        s.reportMode = DispatchPolicy.ReportMode.ON_PROBE;
        s.mayProbe = true;
        s.listPushed = true;
        s.idleTimeoutMicros = IDLE;
        s.connectCost = 0.01;
        s.mayCancel = true;
        s.mayHedge = true;
        s.maxAttempts = 3;
        s.maxRetryAfterMicros = 2_000_000;
        s.backendsReportStart = true;
        s.coldCapacityShare = Node.COLD_SHARE;
        s.warmUpMicros = 23_000_000;
        s.overloadMultiple = Node.FALL_MULTIPLE;
        s.overloadWindowMicros = Node.FALL_WINDOW;
        return s.validated();
    }
}

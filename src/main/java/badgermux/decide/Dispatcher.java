package badgermux.decide;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.DoubleStream;
import java.util.stream.IntStream;

/** All decisions of one dispatcher, single-threaded. Interface: Dispatch.java; reasons: docs/design.md. */
public final class Dispatcher implements Dispatch {
    /** Workers in a group: two groups show enough of them for a small constant load (paper, section 4). */
    private static final int GROUP = 3;
    /** Loads closer than so many slots tie, as reports are no finer; totals of groups more widely. Weight of
     *  a new figure in a moving average; mean runs until all jobs of a report have ended. */
    private static final double TIE = 0.5, WIDE_TIE = 1.5, EVEN = 1.6, NEW = 0.05, REPORT_RUNS = 10;
    /** A report's usual age: younger pushes are not in it; how long a group's place outlives its worker. */
    private static final long REPORT_LAG = 400_000, PLACE_HOLD = 60_000_000;
    /** How often held jobs are tried again; a suspect's first rest, doubled up to 4 times by failures. */
    private static final long ROUND = 100_000, FIRST_REST = 500_000;
    /** Seconds or jobs of its quota that a tenant may save; the part of the cold budget used; coldShare. */
    private static final double CREDIT_SECONDS = 2, CREDIT_JOBS = 10, COLD_MARGIN = 0.5, SPREAD = 2.4;
    /** The part of the tightest aim that a job waits for reports; of its patience, where it runs unknown.
     *  A look at cold workers alone; held jobs tried at once; lines; a job alone; most jobs in a share. */
    private static final int PATIENCE = 4, TURN = -1, TRIES = 3, LOG_LINES = 100, ALONE = -1, SHARE_JOBS = 2;

    /** A worker: what the list, its reports and our own attempts say of it. */
    private static final class Server {
        Worker info;
        WorkerState state;
        boolean suspect, silent;
        double free, usualFree, cap, held, queue;
        long changedAt, usedAt = Long.MIN_VALUE / 4, restUntil, rest = FIRST_REST, listed;
        long reportedAt = Long.MIN_VALUE / 4, probedAt = Long.MIN_VALUE / 4;
        final List<Attempt> out = new ArrayList<>();
        final List<Request> asking = new ArrayList<>(0);
        final Map<Integer, Long> restFor = new HashMap<>(0);
    }

    private record Drawn(List<Server> group, double total, Server pick) { }

    /** One send of a job to a worker. */
    private static final class Attempt {
        Request request;
        Server server;
        long sentAt, startedAt = -1, notedAt, idle, wait;
        boolean roomy;
        Outcome outcome;
    }

    /** A client's job until its final answer and its last outcome. */
    private static final class Request {
        Job job;
        JobClass type;
        long deadline, latest, draw;
        boolean over, streaming, overShare, stuck, again;
        int awaited, tier;
        final List<Attempt> attempts = new ArrayList<>(2);
    }

    private final Settings s;
    private final Actions act;
    private final Zones zones;
    private final SplittableRandom random;
    private final boolean asks, listens;    // workers are probed; answers alone tell, connections are free
    private final double tie, patience;
    private final Map<Long, Server> servers = new TreeMap<>(Long::compareUnsigned);
    private final List<Server> gone = new ArrayList<>();
    private final Map<Long, Request> requests = new HashMap<>();
    private final Map<Integer, Runnable> timers = new HashMap<>();
    private final List<Request> held = new ArrayList<>();
    private final ColdSendLedger sends = new ColdSendLedger();
    private final List<List<List<Server>>> groupsByClass = new ArrayList<>();
    private final double[] ready, kindFree, kindSlots, kindPace, meanRun, runs, runPerHint, longest, credit;
    private double outSlots, runningSlots, stuckSlots, asked, slotRun, part;
    private long now, bornAt = -1, watchDelay, keepAlive, coldUntil;
    private int nextToken, logged, lists, doubt;

    public Dispatcher(Settings settings, long seed, Actions actions) {
        this(settings, seed, actions, null);
    }

    /** The same, held to what {@code zones} allow; null for no limits. */
    public Dispatcher(Settings settings, long seed, Actions actions, Zones zones) {
        this.zones = Objects.requireNonNullElse(zones, new Zones() { });
        s = settings.checked();
        act = Objects.requireNonNull(actions, "actions");
        random = new SplittableRandom(seed);
        tie = Math.max(TIE, WIDE_TIE * (1 - 4.0 / s.dispatchers));
        keepAlive = s.connectionIdle;
        asks = s.probes && s.reports == ReportMode.ON_PROBE;
        listens = !asks && s.connectPrice == 0;
        patience = s.classes.stream().mapToLong(c -> c.aim() / PATIENCE).min().orElse(ROUND);
        ready = new double[s.kinds];
        kindFree = new double[s.kinds];
        kindSlots = new double[s.kinds];
        kindPace = new double[s.kinds];
        part = 1.0 / s.dispatchers;
        meanRun = new double[s.classes.size()];
        runPerHint = new double[s.classes.size()];
        longest = new double[s.classes.size()];
        runs = new double[s.classes.size()];
        credit = new double[s.tenants.size()];
        Arrays.setAll(credit, t -> Math.max(0, CREDIT_JOBS / 2 - quota(t)));    // what one second brings
    }

    // ---- Events

    @Override public void workers(long time, ListUpdate update, List<Worker> list) {
        now = time;
        if (bornAt < 0) {
            bornAt = now;
            round();
            if (!s.listPushed) act.watch();
        }
        watchDelay = update == ListUpdate.FAILED ? WatchTiming.grown(watchDelay, s.askEvery) : FIRST_REST / 2;
        if (update != ListUpdate.FAILED) takeList(update, list);
        // A failed call or a dropped watch: again after a jittered pause, which grows until a list comes.
        else if (!s.listPushed) after((long) (watchDelay * (0.5 + random.nextDouble())), act::watch);
        zones.listed(now, update, list);
        sendHeld();
    }

    @Override public void request(long time, Job job) {
        now = time;
        Request r = new Request();
        r.job = job;
        r.type = s.classOf(job);
        r.deadline = now + job.left();
        // What the client has left tells how long it has waited, earlier tries included.
        longest[job.jobClass()] = Math.max(longest[job.jobClass()], job.left());
        double slack = r.type.slack(expectedRun(r));
        // Guards against all taken for late that waited out our restart: short jobs alone have ended since.
        boolean waitedForUs = job.hint() == 0 && r.deadline - r.type.deadline() < bornAt;
        if (waitedForUs) slack = Math.max(slack, r.type.deadline() / PATIENCE);
        r.latest = (long) (r.deadline - longest[job.jobClass()] + slack);
        r.again = job.left() < longest[job.jobClass()] - s.tick;
        asked += r.again ? 0 : job.slots() * expectedRun(r);
        r.overShare = overShare(job.tenant(), !r.again);
        requests.put(job.id(), r);
        proceed(r);
    }

    @Override public void started(long time, long job, int attempt) {
        now = time;
        Attempt a = find(job, attempt);
        if (a == null || a.outcome != null || a.startedAt >= 0) return;
        a.startedAt = a.notedAt = now;
        doubt = a.idle > 0 ? 0 : doubt;
        runningSlots += a.request.job.slots();
        stuck(a.request, false);
        wellDone(a.server);
        zones.alive(now, a.server.info.id());
        // The first copy to start wins: one that still waits costs no work yet.
        a.request.attempts.stream().filter(other -> other.startedAt < 0).forEach(this::cancel);
    }

    @Override public void progress(long time, long job, int attempt) {
        now = time;
        Attempt a = find(job, attempt);
        if (a != null) a.notedAt = now;
    }

    @Override public void streaming(long time, long job, int attempt) {
        now = time;
        Attempt a = find(job, attempt);
        if (a != null) a.request.streaming = true;
    }

    @Override public void outcome(long time, long job, int attempt, long worker, Outcome outcome,
            boolean settled, Report report) {
        now = time;
        Attempt a = find(job, attempt);
        // Guards against a worker set aside for all when it has room, no queue, and turns one tenant away.
        boolean room = a != null && outcome == Outcome.REJECTED && report != null
            && report.queued < TIE && report.freeSlots > a.request.job.slots() + TIE;
        if (room) a.server.restFor.put(a.request.job.tenant(), now + 4 * FIRST_REST);
        if (a != null && a.outcome == null) end(a, outcome, room);
        takeReport(servers.get(worker), report);
        closeIdle(servers.get(worker));
        if (a != null && (settled || a.request.over)) finish(a.request);
        else if (a != null && outcome == Outcome.UNFIT && unfit(a.request) > 1) giveUp(a.request);
        else if (a != null && !a.request.streaming && outstanding(a.request) == 0) proceed(a.request);
        sendHeld();
    }

    @Override public void probed(long time, long worker, boolean answered, Report report) {
        now = time;
        Server w = servers.get(worker);
        if (w == null) return;
        takeReport(w, answered ? report : null);
        zones.probed(now, worker, answered, w.cap);
        w.asking.forEach(r -> heard(r, 1));
        w.asking.clear();
        closeIdle(w);
    }

    @Override public void clientGone(long time, long job) {
        now = time;
        if (requests.containsKey(job)) finish(requests.get(job));
    }

    @Override public void timer(long time, int token) {
        now = time;
        Objects.requireNonNullElse(timers.remove(token), () -> { }).run();
    }

    private double[][] learning() {
        return new double[][] {kindFree, kindSlots, kindPace, meanRun, runs, runPerHint, longest};
    }

    @Override public Heritage leave() {
        DoubleStream learnt = Arrays.stream(learning()).flatMapToDouble(Arrays::stream);
        return new Heritage(DoubleStream.concat(DoubleStream.of(slotRun, part), learnt).toArray(),
            sends.later(now - s.fallWindow).stream().filter(p -> cold(servers.get(p.worker()))).toList());
    }

    @Override public void inherit(Heritage left) {
        if (left.learnt().length != leave().learnt().length) return;
        int at = 2;
        for (double[] of : learning()) for (int i = 0; i < of.length; i++) of[i] = left.learnt()[at++];
        slotRun = left.learnt()[0];
        part = left.learnt()[1];
        if (left.pushes() != null) left.pushes().forEach(p -> sends.record(p, false));
        bornAt -= left.pushes() == null ? 0 : s.fallWindow;     // what was pushed before is known
    }

    @Override public void ending(long time, long job) {
        now = time;
        if (requests.containsKey(job) && !requests.get(job).over) giveUp(requests.get(job));
    }

    @Override public boolean avoids(long worker) {
        Server w = servers.get(worker);
        return w == null || w.state != WorkerState.READY || w.silent || resting(w);
    }

    private void after(long delay, Runnable what) {
        timers.put(nextToken, what);
        act.timer(Math.max(delay, s.tick), nextToken++);
    }

    private void round() {
        after(ROUND, this::round);  // first: an exception below ends no later round
        double used = IntStream.range(0, s.kinds).mapToDouble(k -> ready[k] * (kindSlots[k] - kindFree[k]))
            .sum();
        // Our part of traffic and quotas, by the work that comes; overload says nothing of it.
        if (held.isEmpty() && used >= 1 && slotRun > 0) part += NEW / 5 * (asked / ROUND / used - part);
        asked = 0;
        double allowed = servers.values().stream().filter(this::cold).mapToDouble(this::coldBudget).sum();
        sends.round(now - s.fallWindow, allowed / s.dispatchers * ROUND / s.fallWindow, NEW / 5);
        zones.round(now).forEach(id -> { if (s.probes) act.probe(id); });
        for (String line = zones.news(); line != null; line = zones.news()) act.log(line);
        keepAlive = Math.min(s.connectionIdle, keepAlive + keepAlive / 100 + 1);
        held.removeIf(this::done);
        Arrays.setAll(credit, t -> Math.min(credit[t] + quota(t) * ROUND / 1e6,
            Math.max(CREDIT_JOBS, quota(t) * CREDIT_SECONDS)));
        held.sort((a, b) -> value(a) != value(b) ? Double.compare(value(b), value(a))
            : Long.compare(b.latest, a.latest));
        sendHeld();
    }

    // ---- Placement: two aligned groups of the sorted ids, the lower total, its least-loaded worker

    /** The mechanism; suspects and workers tried before come in only when nobody else is left. */
    private Drawn place(Request r, boolean copy) {
        for (int leniency = 0; leniency <= (copy ? 0 : 2); leniency++) {
            Drawn one = usable(r, (int) r.draw, null, leniency);
            Drawn two = one == null ? null : usable(r, (int) (r.draw >> 32), one, leniency);
            boolean even = two != null && Math.abs(one.total - two.total)
                < Math.max(EVEN, GROUP * (tie(one.pick) - TIE));
            boolean first = two == null || (even ? beats(one.pick, two.pick) : one.total <= two.total);
            if (one != null) return first ? one : two;
        }
        return null;
    }

    /** A group drawn at random, or the next one round that holds a worker for this job; weighed. */
    private Drawn usable(Request r, int start, Drawn not, int leniency) {
        if (groupsByClass.isEmpty()) group();
        List<List<Server>> groups = groupsByClass.get(r.job.jobClass() * zones.tiers() + r.tier);
        for (int i = 0; i < groups.size(); i++) {
            List<Server> group = groups.get(Math.floorMod(start + i, groups.size()));
            Drawn drawn = not != null && group == not.group ? null : weigh(group, r, leniency);
            if (drawn != null) return drawn;
        }
        return null;
    }

    /** Its summed load, scaled to full where it is short or partly resting, and its least-loaded worker. */
    private Drawn weigh(List<Server> group, Request r, int leniency) {
        boolean repeatable = r.type.effect() == Effect.REPEATABLE;
        Server lightest = null;
        double sum = 0, least = 0, counted = 0;
        for (Server w : group) {
            if (!eligible(w, r, leniency) || leniency == TURN && !cold(w)) continue;
            if (silent(w, r) && leniency < 1 || leniency == TURN && !roomy(w, r)) continue;
            double load = load(w);
            if (!zones.admits(now, r.job, repeatable, r.attempts.size(), w.info, load, r.tier)) continue;
            sum += load;
            counted++;
            if (lightest == null || (Math.abs(load - least) < tie(w) ? beats(w, lightest) : load < least)) {
                lightest = w;
                least = load;
            }
        }
        return lightest == null ? null : new Drawn(group, sum * GROUP / counted, lightest);
    }

    /** Among equal loads: connected, own zone, newer report, faster kind, chance; at the left all meet. */
    private boolean beats(Server w, Server other) {
        double faster = kindPace[other.info.kind()] - kindPace[w.info.kind()];
        if (connected(w) != connected(other)) return connected(w);
        if (w.info.zone() == s.zone != (other.info.zone() == s.zone)) return w.info.zone() == s.zone;
        // Guards against knowing all workers badly: where answers alone tell, a few are used and known well.
        boolean heard = listens && Math.min(w.reportedAt, other.reportedAt) >= 0;
        if (heard && w.reportedAt != other.reportedAt) return w.reportedAt > other.reportedAt;
        return faster == 0 ? random.nextBoolean() : faster > 0;
    }

    /** Loads tie more widely the more dispatchers push unseen, and the older a report not asked for. */
    private double tie(Server w) {
        return TIE + (tie - TIE) * (1 - lasting(w));
    }

    /** How much what a worker usually has free still counts; in the end it is taken for one of its kind. */
    private double lasting(Server w) {
        return !listens ? 0 : Math.exp((w.reportedAt - now) / Math.max(1, REPORT_RUNS * slotRun));
    }

    /** Whether a connection of ours is likely to stand idle there: a new one costs time and work. */
    private boolean connected(Server w) {
        return w.out.isEmpty() && now - w.usedAt < keepAlive;
    }

    /** Minus the free slots last reported plus the slots pushed since. */
    private double load(Server w) {
        double own = 0, since = 0, faded = faded(w);
        for (Attempt a : w.out) {
            own += a.request.job.slots();
            since += a.sentAt > w.reportedAt - REPORT_LAG ? a.request.job.slots() : 0;
        }
        // Guards against slow or crowded workers taken for their kind's mean as soon as a report's jobs end.
        double usual = kindFree[w.info.kind()] + lasting(w) * (w.usualFree - kindFree[w.info.kind()]);
        return (1 - faded) * (since - w.free) + faded * (own - usual);
    }

    /** Guards against a worker that once reported full and is never used again: reports fade as jobs end. */
    private double faded(Server w) {
        return 1 - Math.exp((w.reportedAt - now - REPORT_LAG) / Math.max(slotRun / 2, REPORT_LAG));
    }

    private boolean roomy(Server w, Request r) {
        return load(w) + r.job.slots() <= TIE;
    }

    /** A worker that was never heard of is taken for one of its kind. */
    private double slots(Server w) {
        return w.cap < 1 ? kindSlots[w.info.kind()] : w.cap;
    }

    private boolean resting(Server w) {
        return w.suspect && (now < w.restUntil || !w.out.isEmpty());
    }

    private boolean eligible(Server w, Request r, int leniency) {
        boolean resting = resting(w) || now < w.restFor.getOrDefault(r.job.tenant(), 0L);
        if (w.state != WorkerState.READY || resting && leniency < 1) return false;
        for (Attempt a : r.attempts) {
            // Rule 2: a keyed job that may have run stays with the workers that drop its repeats.
            boolean near = w.info.zone() == a.server.info.zone()
                && (r.type.scope() == Scope.ZONE || w.info.cell() == a.server.info.cell());
            boolean astray = r.type.effect() == Effect.BY_KEY && r.type.scope() != Scope.ALL && !near;
            if (astray && mayHaveRun(a) || a.server == w && (a.outcome == null || leniency < 2)) return false;
        }
        return !cold(w) || now - bornAt >= s.fallWindow && withinColdBudget(w, r);
    }

    /** Asks it for a report if the last one is old; whether it has left the last question unanswered. */
    private boolean silent(Server w, Request r) {
        if (!asks) return false;
        w.silent |= w.probedAt > w.reportedAt && now - w.probedAt >= patience;
        if (now - Math.max(w.reportedAt, w.probedAt) > Math.max(slotRun, ROUND)) {
            w.probedAt = now;
            act.probe(w.info.id());
        }
        if (r.awaited > 0 && !w.silent && w.probedAt > w.reportedAt && w.asking.add(r)) r.awaited++;
        return w.silent;
    }

    // ---- Attempts

    /** Sends a job with nothing out; or holds it while nobody may take it, sheds it, or ends it. */
    private void proceed(Request r) {
        r.draw = random.nextLong();
        r.awaited = 1;
        while (r.tier + 1 < zones.tiers() && !opens(r)) r.tier++;
        // Guards against turns at cold workers of which nothing is known, as they are drawn seldom.
        boolean look = asks && !hopeless(r) && (place(r, false) == null || now < coldUntil);
        if (look) usable(r, (int) r.draw, null, TURN);
        if (r.awaited > 1) after((long) patience, () -> heard(r, r.awaited));
        heard(r, 1);
    }

    /** Guards against old reports: a job waits a moment for the drawn workers that are being asked. */
    private void heard(Request r, int answers) {
        if (r.awaited == 0) return;
        r.awaited = Math.max(0, r.awaited - answers);
        if (r.awaited == 0 && !r.over && !sendNow(r) && !done(r)) held.add(r);
    }

    private boolean hopeless(Request r) {
        double least = s.tick + Math.max(ROUND, r.attempts.isEmpty() ? 0 : expectedRun(r));
        // Guards against repeats refused where a dispatcher died: what ran so long is long, with more slack.
        boolean due = !asks || !r.again || !r.attempts.isEmpty();
        return r.deadline - now <= least || !mayRepeat(r) || due && now > r.latest && r.type.lateShare() == 0;
    }

    private boolean done(Request r) {
        return r.over || (hopeless(r) || isLate(r)) && giveUp(r);
    }

    private boolean isLate(Request r) {
        return r.attempts.isEmpty() && now > r.latest;
    }

    /** Tier by tier: one is looked through only where those before it have nobody who may take the job. */
    private boolean sendNow(Request r) {
        boolean some = false;
        // Guards against a lost zone's suspects tried one after another while the next tier is well.
        for (int pass = zones.tiers() > 1 ? 0 : 1; pass < 2; pass++) {
            for (r.tier = 0; r.tier < zones.tiers() && !hopeless(r); r.tier++) {
                Drawn drawn = opens(r) ? place(r, pass == 0) : null;
                some |= drawn != null;
                // Guards against turns at cold workers that pass unused while jobs queue elsewhere.
                boolean seeks = drawn != null && now < coldUntil && !isLate(r) && !roomy(drawn.pick, r);
                if (seeks) drawn = Objects.requireNonNullElse(usable(r, (int) r.draw, null, TURN), drawn);
                if (drawn != null && mayGo(r, drawn)) {
                    send(r, drawn.pick);
                    return true;
                }
            }
        }
        r.tier = 0;
        r.draw = random.nextLong();
        // A job beyond what other zones may be burdened with is told so at once, and not held.
        return !some && zones.givesUp(now, r.job) && giveUp(r);
    }

    private boolean opens(Request r) {
        return zones.opens(now, r.job, r.type.effect() == Effect.REPEATABLE, r.tier);
    }

    /** Tries the first few held jobs (most worth, then most slack, as of the last round) while any goes. */
    private void sendHeld() {
        while (held.subList(0, Math.min(held.size(), TRIES)).removeIf(r -> done(r) || sendNow(r))) continue;
    }

    private void send(Request r, Server w) {
        Attempt a = new Attempt();
        a.request = r;
        a.server = w;
        a.sentAt = now;
        outSlots += r.job.slots();
        r.attempts.add(a);
        a.idle = w.out.isEmpty() ? now - w.usedAt : 0;
        // Guards against a start taken for late while its connection comes up; known queues may take longer.
        a.wait = Math.max(r.type.aim() / (asks ? 2 : 2 * PATIENCE), connected(w) ? 0 : s.connectTimeout);
        // Guards against idle connections dropped unseen: one as old as those that were is closed, not used.
        if (a.idle > keepAlive && a.idle < s.connectionIdle) act.release(w.info.id());
        if (a.idle > keepAlive) a.idle = 0;
        a.roomy = roomy(w, r);
        w.out.add(a);
        sends.record(new Push(w.info.id(), now, coldWork(w, r)), cold(w));
        double work = Math.max(slotRun / 4, expectedRun(r)) * r.job.slots() / 1e6;
        zones.sent(now, r.job, r.attempts.size() - 1, w.info, work);
        act.send(r.job.id(), w.info.id());
        if (s.cancels && !r.type.stream()) after(a.wait, () -> checkOn(a));
    }

    /** Half an aim without a start, or two progress notes missed: a copy goes where it starts at once. */
    private void checkOn(Attempt a) {
        Request r = a.request;  // what has not begun yet is not silent: its copies would run for nobody
        if (a.outcome != null || r.over) return;
        boolean waits = s.tellsStart && r.attempts.stream().allMatch(other -> other.startedAt < 0);
        // Guards against a backlog seen where idle connections swallow jobs: there was room, nothing started.
        boolean swallowed = asks && waits && a.roomy && a.idle > 0;
        if (swallowed && ++doubt > 1) keepAlive = Math.min(keepAlive, a.idle / 2);
        if (waits && !swallowed) stuck(r, true);
        if (waits && a.roomy) zones.late(now, a.server.info.id());
        // Guards against queues full of late jobs: they make room, if an even chance of one in time gains.
        boolean gain = r.type.effect() == Effect.REPEATABLE && r.type.lateShare() < 1.0 / 3;
        if (waits && gain && now > r.latest && giveUp(r)) return;
        boolean silent = a.notedAt > 0 && s.progressEvery > 0 && now - a.notedAt > 5 * s.progressEvery / 2;
        boolean stuck = !s.tellsStart ? now - a.sentAt > 3 * expectedRun(r) : a.startedAt < 0 || silent;
        boolean room = backlog() < 1 && outstanding(r) < (asks ? 2 : 3) && r.deadline - now > expectedRun(r);
        if (stuck && room && s.parallelAttempts && mayRepeat(r)) {
            r.draw = random.nextLong();
            Drawn d = place(r, true);
            boolean less = s.reports == ReportMode.NEVER && d != null && load(d.pick) < load(a.server);
            // Guards against copies that queue, or run for nobody: answers alone tell too late who is free.
            if (d != null && (silent || (asks ? roomy(d.pick, r) : less))) {
                send(r, d.pick);
                return;
            }
        }
        after(a.startedAt < 0 ? a.wait : Math.max(ROUND, s.progressEvery), () -> checkOn(a));
    }

    /** Jobs that were pushed and do not start, against those that run, tell how long all queues are. */
    private void stuck(Request r, boolean is) {
        stuckSlots += r.stuck == is ? 0 : is ? r.job.slots() : -r.job.slots();
        r.stuck = is;
    }

    private double backlog() {
        return outSlots < 1 ? 0 : (stuckSlots - Math.sqrt(stuckSlots)) / (runningSlots + 1);
    }

    private void cancel(Attempt a) {
        if (s.cancels && a.outcome == null) act.cancel(a.request.job.id(), a.request.attempts.indexOf(a));
    }

    private void end(Attempt a, Outcome outcome, boolean room) {
        a.outcome = outcome;
        double ran = a.startedAt >= 0 ? (now - a.startedAt) * a.request.job.slots() / 1e6 : 0;
        zones.ended(now, a.request.job, a.request.attempts.indexOf(a), a.server.info, outcome, ran);
        outSlots -= a.request.job.slots();
        runningSlots -= a.startedAt >= 0 ? a.request.job.slots() : 0;
        if (outcome == Outcome.TIMED_OUT) return;   // its slots count until the next report: see takeReport
        a.server.out.remove(a);
        if (outcome == Outcome.REJECTED && !room) stuck(a.request, !a.request.over);
        // A connection that was lost at once, after standing idle, tells of idle ones and not of the worker.
        boolean stale = a.idle > 0 && a.startedAt < 0 && now - a.sentAt < ROUND;
        if (outcome.answered()) a.server.usedAt = now;
        if (outcome == Outcome.SERVED) served(a);
        else if (outcome == Outcome.RESET && stale) keepAlive = Math.min(keepAlive, a.idle / 2);
        else if (!room && !outcome.ours() && outcome != Outcome.UNFIT) setAside(a.server, outcome);
        // Guards against workers set aside for what a bad client sent: who serves it tells.
        if (outcome == Outcome.SERVED) a.request.attempts.stream().filter(x -> x.outcome == Outcome.UNFIT)
            .forEach(x -> setAside(x.server, Outcome.ERROR));
    }

    /** How many workers could not use it: two that agree are believed. */
    private static int unfit(Request r) {
        return (int) r.attempts.stream().filter(a -> a.outcome == Outcome.UNFIT).count();
    }

    /** Rule 2: whether a further attempt is allowed, connection and all; eligible() decides where to. */
    private boolean mayRepeat(Request r) {
        long remembered = r.type.effect() == Effect.REPEATABLE ? Long.MAX_VALUE
            : r.type.effect() == Effect.BY_KEY ? r.type.window() - 2 * s.tick - s.connectTimeout : 0;
        return r.attempts.size() < s.maxAttempts
            && r.attempts.stream().noneMatch(a -> mayHaveRun(a) && now - a.sentAt >= remembered);
    }

    /** Guards against 'full' taken for proof where workers also turn away what they had begun. */
    private boolean mayHaveRun(Attempt a) {
        boolean begun = s.rejectedMayHaveRun && a.outcome == Outcome.REJECTED;
        return a.outcome == null || !a.outcome.neverRan() || begun;
    }

    private static int outstanding(Request r) {
        return (int) r.attempts.stream().filter(a -> a.outcome == null).count();
    }

    private Attempt find(long job, int attempt) {
        Request r = requests.get(job);
        return r == null || attempt >= r.attempts.size() ? null : r.attempts.get(attempt);
    }

    /** The last word: a refusal where rule 2 lets us call another try harmless, else a failure. */
    private boolean giveUp(Request r) {
        boolean harmless = r.type.effect() == Effect.REPEATABLE
            || r.type.effect() == Effect.BY_KEY && r.type.scope() == Scope.ALL;
        // A refused client is told to come back once what now runs and waits has ended, not before.
        long comeBack = (long) Math.min(s.longestComeBack, slotRun * Math.max(1, backlog()));
        boolean refused = unfit(r) == 0 && (harmless || r.attempts.stream().noneMatch(this::mayHaveRun));
        if (refused) act.refuse(r.job.id(), comeBack);
        else act.fail(r.job.id());
        finish(r);
        return true;
    }

    /** Rule 1: nothing more is sent for it; attempts still out are withdrawn. */
    private void finish(Request r) {
        r.over = true;
        stuck(r, false);
        r.attempts.forEach(this::cancel);
        if (outstanding(r) == 0) requests.remove(r.job.id());
    }

    // ---- Shedding

    /** It may queue for a part of its slack and of that of all who would wait behind it; else it is held. */
    private boolean mayGo(Request r, Drawn drawn) {
        double own = value(r), above = 0, pace = Math.exp(kindPace[drawn.pick.info.kind()]);
        double work = r.job.hint() > 0 ? r.job.hint() : expectedRun(r);
        double slack = r.type.aim() + r.type.stretch() * work - expectedRun(r) * pace;
        for (int c = 0; c < runs.length; c++) {
            above += value(c) > own ? 1.0 / runs.length : 0;
            if (c != r.job.jobClass()) slack = Math.min(slack, s.classes.get(c).slack(usualRun(c)));
        }
        // Others push into the same queue unseen: the less a late answer earns, the more slack is left.
        // Guards against jobs held until their slack is spent that queue as if they had just come.
        double left = Math.max(r.latest - now, r.type.lateShare() * slack);
        double fraction = isLate(r) ? 0 : (1 - above) * (1 + r.type.lateShare()) / 2;
        return queueing(drawn.pick, r) * pace <= Math.max(0, Math.min(left, fraction * slack));
    }

    /** A class's worth for a second of a slot; one number for all where worth goes by work. */
    private double value(int c) {
        return s.classes.get(c).worth() / (s.worthByWork ? 1 : Math.max(1, usualRun(c)));
    }

    private double value(Request r) {
        double late = isLate(r) ? r.type.lateShare() : 1;
        return value(r.job.jobClass()) * late * (r.overShare ? s.overShareWorth : 1);
    }

    /** How long a job pushed there now may wait; a full worker's report hides who waits: one job more. */
    private long queueing(Server w, Request r) {
        boolean idle = !asks && !r.overShare && w.out.isEmpty() && now - w.reportedAt > slotRun / 2;
        // Guards against work over a share that fills what nobody sees: it leaves a slot count's root free.
        double room = r.overShare ? faded(w) * Math.sqrt(slots(w)) : 0, load = load(w) + r.job.slots() + room;
        double queue = w.queue * Math.exp((w.reportedAt - now) / Math.max(1, slotRun));
        double ahead = Math.max(queue, idle || load <= TIE ? 0 : load + (asks ? 1 : 0));
        return (long) (slotRun * Math.max(backlog(), ahead / Math.max(1, slots(w))));
    }

    /** A tenant has credit for our part of its quota; each first try takes one, whatever becomes of it. */
    private boolean overShare(int t, boolean firstTry) {
        if (t >= credit.length || quota(t) <= 0) return t >= Math.max(1, credit.length);
        if (credit[t] < 1) return true;
        if (firstTry) credit[t]--;
        return false;
    }

    private double quota(int tenant) {
        return s.tenants.get(tenant).quotaPerSecond() * Math.min(1, part);
    }

    // ---- Reports and health

    private void takeReport(Server w, Report report) {
        if (w == null || report == null || Double.isNaN(report.freeSlots)) return;
        w.out.removeIf(a -> a.outcome != null);
        int k = w.info.kind();
        boolean first = w.reportedAt < 0;
        w.reportedAt = now;
        // Guards against knowing no run where few jobs come: what workers tell counts until one has ended.
        boolean told = report.recentRun > 0 && !cold(w) && Arrays.stream(runs).sum() == 0;
        if (told) slotRun += (slotRun == 0 ? 1 : NEW) * (report.recentRun - slotRun);
        w.silent = false;
        // Guards against busy workers taken for small ones: free slots alone show a part of them only.
        boolean full = report.freeSlots < TIE, counts = !full && !Double.isNaN(report.inFlight);
        if (counts) w.held += (w.held == 0 ? 1 : NEW) * (report.freeSlots + report.inFlight - w.held);
        w.cap = Math.max(w.cap, report.freeSlots);
        // For choosing a queue counts in part: counted whole it made all stop and start together.
        double beyond = full && report.inFlight > w.cap ? report.inFlight - w.cap : 0;
        w.queue = Math.max(0, Double.isNaN(report.queued) ? beyond : report.queued);
        w.free = report.freeSlots - Math.min(w.queue, w.cap / 2);
        w.usualFree += (first ? 1 : 4 * NEW) * (w.free - w.usualFree);
        kindFree[k] += (kindSlots[k] == 0 ? 1 : NEW) * (w.free - kindFree[k]);
        kindSlots[k] += (kindSlots[k] == 0 ? 1 : NEW) * (Math.max(w.cap, w.held) - kindSlots[k]);
    }

    private void wellDone(Server w) {
        if (!w.suspect || now < w.restUntil) return;
        w.suspect = false;
        log(w, "is back in use");
    }

    /** A rest that ends in a trial; the next rest is longer while trials fail. */
    private void setAside(Server w, Outcome why) {
        if (w.suspect && now < w.restUntil) return;
        w.rest = w.suspect ? Math.min(16 * FIRST_REST, 2 * w.rest) : FIRST_REST;
        w.suspect = true;
        w.restUntil = now + w.rest;
        log(w, "set aside: " + why);
    }

    private void served(Attempt a) {
        wellDone(a.server);
        // Guards against knowing no run time at all where starts are not told: waits count with it there.
        long from = s.tellsStart ? a.startedAt : a.sentAt;
        if (from < 0) return;
        int c = a.request.job.jobClass(), k = a.server.info.kind();
        double run = now - from, usual = expectedRun(a.request);
        if (usual > 0) kindPace[k] += NEW * (Math.log(Math.max(1, run) / usual) - kindPace[k]);
        double weight = Math.max(NEW, 1.0 / ++runs[c]);
        meanRun[c] += weight * (run - meanRun[c]);
        runPerHint[c] += a.request.job.hint() > 0 ? weight * (run / a.request.job.hint() - runPerHint[c]) : 0;
        slotRun += slotRun == 0 ? run : NEW * (run - slotRun);
    }

    private double expectedRun(Request r) {
        int c = r.job.jobClass();
        return r.job.hint() > 0 ? r.job.hint() * (runs[c] > 0 ? runPerHint[c] : 1) : usualRun(c);
    }

    /** Guards against a class taken for no work until one of it has ended here: it counts as a mean job. */
    private double usualRun(int c) {
        return runs[c] > 0 ? meanRun[c] : slotRun;
    }

    // ---- Cold workers (rule 4): a budget of work over any window, split over the dispatchers

    private boolean cold(Server w) {
        return w != null && zones.startedAt(w.info) > 0 && now - zones.startedAt(w.info) < s.coldFor;
    }

    /** What a job takes there once it is warm: a kind that runs longer has less to give in the same slots. */
    private double coldWork(Server w, Request r) {
        return expectedRun(r) * Math.exp(kindPace[w.info.kind()]) * r.job.slots();
    }

    private boolean withinColdBudget(Server w, Request r) {
        double mean = Math.max(1, slotRun * Math.exp(kindPace[w.info.kind()])), job = coldWork(w, r) / mean;
        double half = coldBudget(w) / mean, sent = sends.work(w.info.id(), now - s.fallWindow, mean) / mean;
        long window = Math.max(0, now - zones.startedAt(w.info)) / Math.max(1, s.fallWindow);
        long rank = Math.floorMod(s.index + Long.hashCode(w.info.id()) - window, (long) s.dispatchers);
        double n = half / COLD_MARGIN, all = (sent * s.dispatchers + job * (1 + rank)) * sends.used(mean);
        boolean shared = job > 0 && all <= half && sent + job <= coldShare(n, rank, s.dispatchers);
        // Guards against a class that no share holds, or of unknown run: one by one of all, each 2nd window.
        return shared || rank + window % 2 == 0 && sent == 0 && job <= coldShare(n, ALONE, s.dispatchers);
    }

    /** Mean jobs from a rank in any window, or in one job ALONE: in all N + 2 root N + 2 (docs/fleet.md). */
    static double coldShare(double n, long rank, int dispatchers) {
        double all = n + 2 * Math.sqrt(n) + 2, one = Math.max(1, all / 4), even = (all - one) / dispatchers;
        double most = Math.min(SHARE_JOBS, one), least = Math.max(1.0 / SHARE_JOBS, even / SPREAD);
        double first = (all - one) / (1 + Math.log(most / least));
        if (rank == ALONE || even >= most) return rank == ALONE ? one : even;
        return first < least * (1 + rank) ? 0 : Math.min(most, first / (1 + rank));
    }

    /** What all may send to a cold worker in one window: a part of the work that would push it over. */
    private double coldBudget(Server w) {
        double age = Math.max(0, now - zones.startedAt(w.info)), rest = (1 - s.coldShare) * age / s.coldFor;
        return COLD_MARGIN * s.fallMultiple * s.fallWindow * Math.max(1, slots(w)) * (s.coldShare + rest);
    }

    // ---- The list

    private void takeList(ListUpdate update, List<Worker> list) {
        lists++;
        for (Worker info : list) {
            Server w = servers.computeIfAbsent(info.id(), id -> new Server());
            if (!info.isAlike(w.info)) groupsByClass.clear();
            w.listed = lists;
            setState(w, info, info.state());
            coldUntil = Math.max(coldUntil, zones.startedAt(info) + s.coldFor);
        }
        if (update != ListUpdate.DELTA) servers.values().stream().filter(w -> w.listed != lists)
            .forEach(w -> setState(w, w.info, WorkerState.GONE));
        boolean left = gone.removeIf(w -> now - w.changedAt > PLACE_HOLD && servers.remove(w.info.id(), w));
        if (left) groupsByClass.clear();
    }

    /** Cuts the sorted ids that a class may run on into aligned groups; who left lately keeps the place. */
    private void group() {
        // Guards against a class sent where it may not run: no attempt of it is drawn from anywhere else.
        for (int i = 0; i < s.classes.size() * zones.tiers(); i++) {
            int c = i / zones.tiers(), tier = i % zones.tiers();
            List<Server> pool = servers.values().stream().filter(w -> s.classes.get(c).mayRunOn(w.info)
                && zones.tier(c, w.info.zone()) == tier).toList();
            groupsByClass.add(IntStream.range(0, (pool.size() + GROUP - 1) / GROUP)
                .mapToObj(g -> pool.subList(g * GROUP, Math.min((g + 1) * GROUP, pool.size()))).toList());
        }
    }

    private void setState(Server w, Worker info, WorkerState state) {
        boolean leaves = w.state == WorkerState.READY && state != w.state;
        if (w.state == WorkerState.READY) ready[w.info.kind()]--;
        if (state == WorkerState.READY) ready[info.kind()]++;
        if (state != w.state) gone.remove(w);
        if (state != w.state && state == WorkerState.GONE) gone.add(w);
        w.info = info;
        w.changedAt = w.state == state ? w.changedAt : now;
        w.state = state;
        if (leaves) closeIdle(w);
    }

    /** Guards against connections kept to a worker that drains, that of a later outcome too. */
    private void closeIdle(Server w) {
        if (w == null || w.state == WorkerState.READY) return;
        act.release(w.info.id());
        w.usedAt = Long.MIN_VALUE / 4;
    }

    private void log(Server w, String line) {
        if (logged++ < LOG_LINES) act.log("worker " + Long.toHexString(w.info.id()) + ' ' + line);
    }
}

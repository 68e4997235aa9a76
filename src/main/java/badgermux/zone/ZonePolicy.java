package badgermux.zone;

import badgermux.decide.Dispatch;
import badgermux.decide.Dispatch.Job;
import badgermux.decide.Dispatch.ListUpdate;
import badgermux.decide.Dispatch.Outcome;
import badgermux.decide.Dispatch.Worker;
import badgermux.decide.Dispatch.WorkerState;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * One dispatcher's judgement of zones. Evidence is what its own attempts and probes bring, correlated over a zone; the
 * list, which is seconds late, adds to it and is never believed alone. Spill is held under a share of the receiving
 * zone's slots, split over the dispatchers outside it, in slots at work and in slot-seconds a second, with trunk
 * reservation for the classes of more worth (Miller, "A queueing reward system with several customer classes", 1969). A
 * return goes by stages of the work that the zone used to get. Single-threaded; times come in.
 */
public final class ZonePolicy implements Dispatch.Zones {
    /** What a zone's standing rests on, for operators. */
    public record View(String zone, Standing standing, String evidence, long since, int stage, int losses, int ready,
            double usual, int silent, double inFlight, double spilled, double bound, boolean open, long spills,
            long refusals) { }

    private static final double NEW = 0.02;
    private static final int PROBES = 4;
    /** A job may be so many deviations longer than the mean: 1 in 100 of a gamma shape of 2 is longer. */
    private static final double TAIL = 3.5;

    /** A send that is out, or timed out and may still be at work. */
    private record Sent(int zone, double slots, double work, boolean spill) { }

    private record Zombie(long until, Sent sent) { }

    private final ZoneSettings s;
    private final Zone[] zones;
    private final double[] kept;
    /** For each class the mean run for a slot, the mean of its square, and how many were counted. */
    private final double[][] runs;
    private final Map<Long, Node> nodes = new HashMap<>();
    private final Map<Long, List<Sent>> sent = new HashMap<>();
    private final ArrayDeque<Zombie> zombies = new ArrayDeque<>();
    private final ArrayDeque<String> news = new ArrayDeque<>();
    private long bornAt = Node.NEVER;
    private long roundAt;
    private int lists;
    private long guarded;

    public ZonePolicy(ZoneSettings settings) {
        s = settings.checked();
        zones = new Zone[s.zones.size()];
        for (int z = 0; z < zones.length; z++) {
            zones[z] = new Zone(z, s.zones.get(z));
        }
        kept = new double[s.worths.length];
        runs = new double[s.worths.length][3];
        for (int c = 0; c < kept.length; c++) {
            int better = 0;
            for (double worth : s.worths) {
                better += worth > s.worths[c] ? 1 : 0;
            }
            kept[c] = kept.length < 2 ? 0 : s.spillReserve * better / (kept.length - 1);
        }
    }

    // ---- What the module asks

    @Override public int tiers() {
        return s.tierCount();
    }

    @Override public int tier(int jobClass, int zone) {
        return zone >= zones.length ? -1 : s.tier(jobClass, zone);
    }

    /** Whether a job may look for a node of this tier now; asked before any node is looked at. */
    @Override public boolean opens(long now, Job job, boolean repeatable, int tier) {
        boolean some = false;
        boolean pressed = true;
        for (Zone zone : zones) {
            int of = tier(job.jobClass(), zone.number);
            if (of == tier) {
                some |= tier == 0 ? zone.standing != Standing.DARK || isTrialDue(now, zone, repeatable)
                    : zone.standing == Standing.WHOLE || zone.standing == Standing.DEGRADED;
            } else if (of >= 0 && of < tier) {
                pressed &= s.openAt >= 1 || zone.open;
            }
        }
        return some && pressed;
    }

    /** Whether a node may get the job; {@code load} is minus its free slots, as the module holds them to be. */
    @Override public boolean admits(long now, Job job, boolean repeatable, int attempts, Worker worker, double load,
            int tier) {
        Zone zone = zones[worker.zone()];
        Node node = nodes.get(worker.id());
        if (node == null) {
            return true;
        }
        if (!isSafe(now, zone, node, job, startedAt(worker))) {
            return false;
        }
        boolean home = worker.zone() == s.own || tier == 0;
        if (!home) {
            return spills(zone, job, node, load);
        }
        return switch (zone.standing) {
            case DARK -> attempts == 0 && node.out == 0 && isTrialDue(now, zone, repeatable);
            case RETURNING -> node.backAt >= zone.lostAt && zone.inFlight < limit(zone)
                && free(node, load) >= job.slots();
            default -> isKnown(now, node) || node.out == 0;
        };
    }

    /** What one dispatcher may have at work in a returning zone: a part of what it usually had. */
    private double limit(Zone zone) {
        double usual = zone.usualInFlight > 0 ? zone.usualInFlight : zone.slots(0, s.slotsPerNode) / s.dispatchers;
        return Math.max(1, s.stages[zone.stage] * usual * 1.3);
    }

    private boolean spills(Zone zone, Job job, Node node, double load) {
        if (zone.standing == Standing.DARK || zone.standing == Standing.RETURNING) {
            return false;
        }
        double leaves = s.spillLeaves * zone.slotsOf(node, s.slotsPerNode);
        return hasRoom(zone, job) && free(node, load) - job.slots() >= leaves;
    }

    /** Free slots; where no report ever came, what our own work leaves of the slots that a node is taken to have. */
    private double free(Node node, double load) {
        return node.slots > 0 ? -load : s.slotsPerNode - load;
    }

    /** Slots of a zone that this dispatcher may hold from outside. */
    private double bound(Zone zone) {
        int home = Math.max(1, s.dispatchers / zones.length);
        int senders = zone.number == s.own ? s.dispatchers : Math.max(1, s.dispatchers - home);
        return s.spillShare * zone.slots(silent(zone, roundAt), s.slotsPerNode) / senders;
    }

    /** Few trials: a job that may be repeated, first try, a second and a dispatcher at a time, spread by its number. */
    private boolean isTrialDue(long now, Zone zone, boolean repeatable) {
        boolean turn = Math.floorMod(now / 1_000_000, (long) s.dispatchers) == s.index || s.dispatchers == 1;
        return repeatable && turn && now - zone.since >= hold(zone) && now - zone.trialAt >= 1_000_000;
    }

    /** After our own start, or its zone's loss, nothing is known of a node but that the list has it. */
    private boolean isKnown(long now, Node node) {
        return zones[node.zone].lostAt != Node.NEVER ? node.backAt >= zones[node.zone].lostAt
            : node.backAt != Node.NEVER || now - bornAt >= s.learnsFor;
    }

    /**
     * A node that came back from the dark is taken to be cold from its first sign of life on, and one that has given none
     * since to start just now: the list tells of a start seconds late.
     */
    @Override public long startedAt(Worker worker) {
        Node node = nodes.get(worker.id());
        if (node == null || zones[node.zone].lostAt == Node.NEVER) {
            return worker.startedAt();
        }
        return Math.max(worker.startedAt(), node.backAt >= zones[node.zone].lostAt ? node.backAt : roundAt);
    }

    /**
     * Whether a job that no node may take is given up at once: where its own zone is lost or coming back. Held back it
     * would only wait behind others for the same few slots; its client is told when to come back.
     */
    @Override public boolean givesUp(long now, Job job) {
        for (Zone zone : zones) {
            if (tier(job.jobClass(), zone.number) == 0
                    && (zone.standing == Standing.WHOLE || zone.standing == Standing.DEGRADED)) {
                return false;
            }
        }
        zones[s.own].refusals++;
        return true;
    }

    private boolean hasRoom(Zone zone, Job job) {
        double reserve = job.jobClass() < kept.length ? kept[job.jobClass()] : 0;
        return zone.spilled < bound(zone) * (1 - reserve) && zone.credit > 0;
    }

    /**
     * Whether one job that is larger than most of its class could still not fell a cold node by itself: no budget by means
     * holds against a single job of many times the mean.
     */
    private boolean isSafe(long now, Zone zone, Node node, Job job, long startedAt) {
        long age = now - startedAt;
        if (startedAt == 0 || age >= s.coldFor) {
            return true;
        }
        double[] run = job.jobClass() < runs.length ? runs[job.jobClass()] : null;
        if (run == null || run[2] < 1) {
            return false;
        }
        double large = (run[0] + TAIL * Math.sqrt(Math.max(0, run[1] - run[0] * run[0]))) * job.slots();
        double warmth = s.coldShare + (1 - s.coldShare) * age / Math.max(1, s.coldFor);
        return large <= s.fallMultiple * warmth * zone.slotsOf(node, s.slotsPerNode) * s.fallWindow / 1e6;
    }

    // ---- What it is told

    @Override public void listed(long now, ListUpdate update, List<Worker> list) {
        if (bornAt == Node.NEVER) {
            bornAt = now;
            for (Zone zone : zones) {
                zone.since = now;
            }
        }
        lists++;
        for (Worker worker : list) {
            if (worker.zone() < 0 || worker.zone() >= zones.length) {
                continue;
            }
            Node node = nodes.computeIfAbsent(worker.id(), id -> {
                Node made = new Node(id, worker.zone());
                zones[worker.zone()].members.add(made);
                return made;
            });
            node.listed = lists;
            ready(node, worker.state() == WorkerState.READY);
        }
        if (update != ListUpdate.DELTA && update != ListUpdate.FAILED) {
            nodes.values().stream().filter(node -> node.listed != lists).forEach(node -> ready(node, false));
        }
        nodes.values().removeIf(node -> !node.ready && node.out == 0 && now - node.aliveAt > s.forgetsAfter
            && leaves(node));
        for (Zone zone : zones) {
            zone.usual = Math.max(zone.usual, zone.ready);
        }
    }

    private boolean leaves(Node node) {
        zones[node.zone].failing.remove(node);
        zones[node.zone].members.remove(node);
        if (node.slots > 0) {
            zones[node.zone].slotSum -= node.slots;
            zones[node.zone].slotCount--;
        }
        return true;
    }

    private void ready(Node node, boolean is) {
        if (node.ready != is) {
            zones[node.zone].ready += is ? 1 : -1;
            node.ready = is;
            if (!is) {
                zones[node.zone].failing.remove(node);
            }
        }
    }

    /**
     * A whole list that leaves out more than half of what was ready, without a word of draining, is likely wrong: what
     * answers is kept in it. Off unless set: where leaving a list means being gone, this would break that rule.
     */
    public List<Worker> guard(long now, ListUpdate update, List<Worker> list, Map<Long, Worker> before) {
        if (!s.guardsList || update != ListUpdate.FULL || before.isEmpty()) {
            return list;
        }
        List<Worker> missing = new ArrayList<>(before.values());
        java.util.Set<Long> named = new java.util.HashSet<>();
        list.forEach(worker -> named.add(worker.id()));
        missing.removeIf(worker -> worker.state() != WorkerState.READY || named.contains(worker.id()));
        long wereReady = before.values().stream().filter(w -> w.state() == WorkerState.READY).count();
        if (2L * missing.size() <= wereReady) {
            return list;
        }
        missing.removeIf(worker -> {
            Node node = nodes.get(worker.id());
            return node == null || node.bad > 0 || now - node.aliveAt > s.evidenceFor;
        });
        if (!missing.isEmpty()) {
            guarded++;
            news.add(String.format(Locale.ROOT, "the list left out more than half of %d nodes at once; %d of them answer "
                + "and are used on", wereReady, missing.size()));
        }
        List<Worker> kept = new ArrayList<>(list);
        kept.addAll(missing);
        return kept;
    }

    @Override public void sent(long now, Job job, int attempt, Worker worker, double work) {
        Node node = nodes.get(worker.id());
        Zone zone = zones[worker.zone()];
        boolean spill = tier(job.jobClass(), worker.zone()) > 0;
        Sent one = new Sent(worker.zone(), job.slots(), work, spill);
        List<Sent> all = sent.computeIfAbsent(job.id(), id -> new ArrayList<>(2));
        while (all.size() <= attempt) {
            all.add(null);
        }
        all.set(attempt, one);
        zone.inFlight += one.slots;
        if (spill) {
            zone.spilled += one.slots;
            zone.credit -= work;
            zone.spills++;
        }
        if (zone.standing == Standing.DARK) {
            zone.trialAt = now;
        }
        if (node != null) {
            node.out++;
        }
    }

    @Override public void ended(long now, Job job, int attempt, Worker worker, Outcome outcome, double ran) {
        List<Sent> all = sent.get(job.id());
        Sent one = all == null || attempt >= all.size() ? null : all.set(attempt, null);
        if (one == null) {
            return;
        }
        if (all.stream().allMatch(java.util.Objects::isNull)) {
            sent.remove(job.id());
        }
        Node node = nodes.get(worker.id());
        if (node != null) {
            node.out--;
        }
        if (outcome == Outcome.SERVED && ran > 0 && job.jobClass() < runs.length && job.slots() > 0) {
            double[] run = runs[job.jobClass()];
            double weight = Math.max(NEW, 1 / ++run[2]);
            run[0] += weight * (ran / job.slots() - run[0]);
            run[1] += weight * (ran / job.slots() * ran / job.slots() - run[1]);
        }
        if (one.spill && ran > 0) {
            zones[one.zone].credit += one.work - ran;
        }
        // What timed out may still be at work there; it counts for as long as it was expected to run.
        if (outcome == Outcome.TIMED_OUT || outcome == Outcome.CANCELLED && ran != 0) {
            zombies.add(new Zombie(now + (long) (one.work * 1e6), one));
        } else {
            free(one);
        }
        switch (outcome) {
            case SERVED, ERROR, REJECTED, UNFIT -> alive(now, worker.id());
            case CONNECT_FAILED, RESET, TIMED_OUT -> failed(now, worker.id(), outcome);
            default -> { }
        }
    }

    private void free(Sent one) {
        Zone zone = zones[one.zone];
        zone.inFlight = Math.max(0, zone.inFlight - one.slots);
        zone.spilled = one.spill ? Math.max(0, zone.spilled - one.slots) : zone.spilled;
    }

    @Override public void alive(long now, long worker) {
        Node node = nodes.get(worker);
        if (node == null) {
            return;
        }
        Zone zone = zones[node.zone];
        zone.alive(now, node, s.evidenceFor);
        if (node.backAt == Node.NEVER || node.backAt < zone.lostAt || node.isSilent(now) && zone.standing != Standing.WHOLE) {
            node.backAt = now;
        }
        node.aliveAt = now;
        zone.aliveAt = now;
        node.bad = 0;
        node.connects = 0;
        node.breaks = 0;
        node.silences = 0;
        zone.failing.remove(node);
        zone.good++;
    }

    @Override public void late(long now, long worker) {
        failed(now, worker, null);
    }

    /** {@code how} is null for a job that does not start, or a probe without an answer. */
    private void failed(long now, long worker, Outcome how) {
        Node node = nodes.get(worker);
        if (node == null || !node.ready) {
            return;
        }
        node.badAt = node.bad == 0 ? now : node.badAt;
        node.bad++;
        node.connects += how == Outcome.CONNECT_FAILED ? 1 : 0;
        node.breaks += how == Outcome.RESET ? 1 : 0;
        node.silences += how == null || how == Outcome.TIMED_OUT ? 1 : 0;
        zones[node.zone].failing.add(node);
        zones[node.zone].badInStage++;
    }

    @Override public void probed(long now, long worker, boolean answered, double slots) {
        Node node = nodes.get(worker);
        if (node == null) {
            return;
        }
        if (!answered) {
            failed(now, worker, null);
            return;
        }
        alive(now, worker);
        Zone zone = zones[node.zone];
        if (slots > node.slots) {
            zone.slotCount += node.slots == 0 ? 1 : 0;
            zone.slotSum += slots - node.slots;
            node.slots = slots;
        }
    }

    // ---- Verdicts

    @Override public List<Long> round(long now) {
        double seconds = roundAt == 0 ? 0 : (now - roundAt) / 1e6;
        roundAt = now;
        while (!zombies.isEmpty() && zombies.peek().until <= now) {
            free(zombies.poll().sent);
        }
        List<Long> probes = new ArrayList<>();
        for (Zone zone : zones) {
            double bound = bound(zone);
            zone.credit = Math.min(2 * bound, zone.credit + bound * seconds);
            zone.usual += zone.standing == Standing.WHOLE ? seconds / 60 * (zone.ready - zone.usual) : 0;
            if (zone.standing == Standing.WHOLE && seconds > 0) {
                zone.usualInFlight += (zone.usualInFlight == 0 ? 1 : NEW) * (zone.inFlight - zone.usualInFlight);
            }
            judge(now, zone);
            openOrClose(zone, now);
            if (zone.standing == Standing.DARK || zone.standing == Standing.RETURNING) {
                ask(now, zone, probes);
            } else {
                sample(now, zone, probes);
            }
        }
        return probes;
    }

    /** Asks a few nodes of a lost zone for a sign of life; which ones turns with time and with our number. */
    private void ask(long now, Zone zone, List<Long> probes) {
        int most = zone.standing == Standing.DARK ? PROBES : 2 * PROBES;
        for (Node node : zone.failing) {
            if (probes.size() >= most) {
                return;
            }
            if (now - node.askedAt >= 1_000_000 && node.ready) {
                node.askedAt = now + Math.floorMod(node.id * 31 + s.index * 7919L, 300_000L);
                probes.add(node.id);
            }
        }
        // Nodes that nobody has tried since the loss have not failed, and not answered either.
        if (zone.failing.size() < zone.ready && probes.size() < most) {
            for (Node node : zone.members) {
                if (probes.size() >= most) {
                    return;
                }
                if (node.ready && node.backAt < zone.lostAt && now - node.askedAt >= 1_000_000) {
                    node.askedAt = now + Math.floorMod(node.id * 31 + s.index * 7919L, 300_000L);
                    probes.add(node.id);
                }
            }
        }
    }

    /** A zone where we send little is sampled, so that its loss is seen before our work goes there. */
    private void sample(long now, Zone zone, List<Long> probes) {
        boolean busy = zone.failing.isEmpty() && zone.inFlight >= 2 * s.leastNodes;
        if (busy || now - zone.sampledAt < s.sampleEvery || zone.members.isEmpty()) {
            return;
        }
        zone.sampledAt = now;
        // One that failed lately is asked again first: a second failure counts, and so does an answer.
        for (Node node : zone.failing) {
            if (node.ready && now - node.askedAt >= 500_000) {
                node.askedAt = now;
                probes.add(node.id);
                return;
            }
        }
        zone.next = (zone.next + 1) % zone.members.size();
        Node node = zone.members.get(zone.next);
        if (node.ready) {
            node.askedAt = now;
            probes.add(node.id);
        }
    }

    private int silent(Zone zone, long now) {
        int silent = 0;
        for (Node node : zone.failing) {
            silent += node.isSilent(now) && now - node.badAt < 16 * s.evidenceFor ? 1 : 0;
        }
        return silent;
    }

    private void judge(long now, Zone zone) {
        int silent = silent(zone, now);
        int alive = zone.aliveLately(now, s.evidenceFor);
        int counted = Math.max(0, alive - overlap(zone, now));
        double share = silent == 0 ? 0 : silent / (double) (silent + counted);
        boolean enough = silent >= Math.min(s.leastNodes, Math.max(1, zone.ready));
        boolean gone = zone.usual >= 1 && zone.ready <= (1 - s.darkAt) * zone.usual && bornAt + s.learnsFor < now;
        boolean dark = (share >= s.darkAt && enough && othersAnswer(zone)) || gone;
        switch (zone.standing) {
            case WHOLE, DEGRADED -> {
                if (dark) {
                    turn(now, zone, Standing.DARK, silent, alive);
                } else if (zone.standing == Standing.WHOLE && share >= s.degradedAt && enough) {
                    turn(now, zone, Standing.DEGRADED, silent, alive);
                } else if (zone.standing == Standing.DEGRADED && share < s.degradedAt / 2 && now - zone.since > s.stage) {
                    turn(now, zone, Standing.WHOLE, silent, alive);
                }
            }
            case DARK -> {
                boolean answers = alive > 0 && !dark && zone.ready > 0;
                if (now - zone.since >= hold(zone) && (answers || back(zone) > 0)) {
                    turn(now, zone, Standing.RETURNING, silent, alive);
                }
            }
            default -> {
                if (dark && !gone && back(zone) == 0 || zone.ready == 0) {
                    turn(now, zone, Standing.DARK, silent, alive);
                } else if (now - zone.since >= s.stage) {
                    stage(now, zone, silent, alive);
                }
            }
        }
    }

    /** The next stage where this one went well; the one before where it did not. */
    private void stage(long now, Zone zone, int silent, int alive) {
        boolean well = zone.good > 0 && zone.badInStage <= 0.2 * (zone.good + zone.badInStage);
        zone.since = now;
        zone.good = 0;
        zone.badInStage = 0;
        if (!well) {
            zone.stage = Math.max(0, zone.stage - 1);
        } else if (zone.stage < s.stages.length - 1) {
            zone.stage++;
        } else {
            // What is there now is the new measure of what is usual: some nodes may be gone for good.
            zone.usual = zone.ready;
            turn(now, zone, Standing.WHOLE, silent, alive);
        }
    }

    /** Nodes that answered after the zone was lost. */
    private long back(Zone zone) {
        return zone.members.stream().filter(node -> node.ready && node.backAt >= zone.lostAt && node.bad == 0).count();
    }

    /** Silent nodes whose last sign of life is recent enough to be counted among the living. */
    private int overlap(Zone zone, long now) {
        int both = 0;
        for (Node node : zone.failing) {
            both += node.isSilent(now) && now - node.aliveAt < s.evidenceFor ? 1 : 0;
        }
        return both;
    }

    /** Guards against taking our own cut cable for a lost zone: another must have answered since its failures began. */
    private boolean othersAnswer(Zone zone) {
        long began = Long.MAX_VALUE / 2;
        for (Node node : zone.failing) {
            began = Math.min(began, node.badAt);
        }
        boolean others = false;
        for (Zone other : zones) {
            others |= other != zone && other.aliveAt > began + 200_000;
        }
        return others;
    }

    private long hold(Zone zone) {
        return Math.min(s.longestHold, s.hold << Math.min(20, Math.max(0, zone.losses - 1)));
    }

    private void turn(long now, Zone zone, Standing to, int silent, int alive) {
        if (to == Standing.DARK) {
            // A loss long ago counts no more; one that follows soon makes the next return wait longer.
            long quiet = zone.lostAt == Node.NEVER ? Long.MAX_VALUE / 2 : now - zone.lostAt;
            zone.losses = Math.max(0, zone.losses - (int) Math.min(30, quiet / s.forgetsAfter)) + 1;
            zone.lostAt = now;
        }
        zone.stage = 0;
        zone.good = 0;
        zone.badInStage = 0;
        zone.since = now;
        zone.standing = to;
        int connects = 0;
        int breaks = 0;
        int silences = 0;
        for (Node node : zone.failing) {
            connects += node.connects;
            breaks += node.breaks;
            silences += node.silences;
        }
        zone.evidence = String.format(Locale.ROOT, "%d nodes fail (connects %d, breaks %d, silence %d), %d answered within "
            + "%.1f s, the list has %d of usually %.0f", silent, connects, breaks, silences, alive, s.evidenceFor / 1e6,
            zone.ready, zone.usual);
        news.add("zone " + zone.name + " is " + to.name().toLowerCase(Locale.ROOT) + ": " + zone.evidence
            + (to == Standing.DARK ? String.format(Locale.ROOT, "; left alone for %.1f s", hold(zone) / 1e6) : ""));
    }

    /** The next tier opens below a share of usable nodes and closes above another. */
    private void openOrClose(Zone zone, long now) {
        double share = zone.usual < 1 ? 1 : Math.max(0, zone.ready - silent(zone, now)) / zone.usual;
        boolean lost = zone.standing == Standing.DARK || zone.standing == Standing.RETURNING;
        zone.open = lost || (zone.open ? share < s.closeAt : share <= s.openAt && share < 1);
    }

    @Override public String news() {
        return news.poll();
    }

    /** How often a list was not believed. */
    public long guarded() {
        return guarded;
    }

    /** The standing of a zone. */
    public Standing standing(int zone) {
        return zones[zone].standing;
    }

    /** What operators see. */
    public List<View> views(long now) {
        List<View> views = new ArrayList<>();
        for (Zone zone : zones) {
            views.add(new View(zone.name, zone.standing, zone.evidence, zone.since, zone.stage, zone.losses, zone.ready,
                zone.usual, silent(zone, now), zone.inFlight, zone.spilled, bound(zone), zone.open, zone.spills,
                zone.refusals));
        }
        return views;
    }
}

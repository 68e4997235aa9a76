package badgermux.zone;

import badgermux.decide.DispatchPolicy;
import badgermux.decide.DispatchPolicy.Request;
import badgermux.decide.DispatchPolicy.ListUpdate;
import badgermux.decide.DispatchPolicy.Outcome;
import badgermux.decide.DispatchPolicy.Backend;
import badgermux.decide.DispatchPolicy.BackendState;
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
public final class ZonePolicy implements DispatchPolicy.ZoneLimits {
    /** What a zone's standing rests on, for operators. */
    public record Status(String zone, ZoneHealth health, String evidence, long healthSince, int returnStage, int lossCount, int readyCount,
            double usualReadyCount, int silentCount, double slotsInFlight, double spilledSlots, double spillBound, boolean isNextTierOpen, long spillCount,
            long refusalCount) { }

    private static final double SMOOTHING_WEIGHT = 0.02;
    private static final int PROBES_PER_ROUND = 4;
    /** A job may be so many deviations longer than the mean: 1 in 100 of a gamma shape of 2 is longer. */
    private static final double LARGE_REQUEST_DEVIATIONS = 3.5;

    /** A send that is out, or timed out and may still be at work. */
    private record SentAttempt(int zone, double slots, double expectedSlotSeconds, boolean isSpill) { }

    private record AbandonedAttempt(long countedUntil, SentAttempt attempt) { }

    private final ZoneSettings s;
    private final Zone[] zones;
    private final double[] spillReserves;
    /** For each class the mean run for a slot, the mean of its square, and how many were counted. */
    private final double[][] runStatistics;
    private final Map<Long, ZoneBackend> backends = new HashMap<>();
    private final Map<Long, List<SentAttempt>> sent = new HashMap<>();
    private final ArrayDeque<AbandonedAttempt> abandonedAttempts = new ArrayDeque<>();
    private final ArrayDeque<String> news = new ArrayDeque<>();
    private long firstListAt = ZoneBackend.NEVER;
    private long lastRoundAt;
    private int listUpdateCount;
    private long correctedListCount;

    public ZonePolicy(ZoneSettings settings) {
        s = settings.validated();
        zones = new Zone[s.zoneNames.size()];
        for (int z = 0; z < zones.length; z++) {
            zones[z] = new Zone(z, s.zoneNames.get(z));
        }
        spillReserves = new double[s.classWorths.length];
        runStatistics = new double[s.classWorths.length][3];
        for (int c = 0; c < spillReserves.length; c++) {
            int better = 0;
            for (double worth : s.classWorths) {
                better += worth > s.classWorths[c] ? 1 : 0;
            }
            spillReserves[c] = spillReserves.length < 2 ? 0 : s.spillReserveShare * better / (spillReserves.length - 1);
        }
    }

    // ---- What the module asks

    @Override public int tierCount() {
        return s.tierCount();
    }

    @Override public int tierOf(int jobClass, int zone) {
        return zone >= zones.length ? -1 : s.tier(jobClass, zone);
    }

    /** Whether a job may look for a node of this tier now; asked before any node is looked at. */
    @Override public boolean isTierOpen(long now, Request job, boolean repeatable, int tier) {
        boolean some = false;
        boolean pressed = true;
        for (Zone zone : zones) {
            int of = tierOf(job.classIndex(), zone.index);
            if (of == tier) {
                some |= tier == 0 ? zone.health != ZoneHealth.DARK || isTrialDue(now, zone, repeatable)
                    : zone.health == ZoneHealth.WHOLE || zone.health == ZoneHealth.DEGRADED;
            } else if (of >= 0 && of < tier) {
                pressed &= s.nextTierOpenShare >= 1 || zone.nextTierOpen;
            }
        }
        return some && pressed;
    }

    /** Whether a node may get the job; {@code load} is minus its free slots, as the module holds them to be. */
    @Override public boolean admits(long now, Request job, boolean repeatable, int attempts, Backend worker, double load,
            int tier) {
        Zone zone = zones[worker.zone()];
        ZoneBackend node = backends.get(worker.id());
        if (node == null) {
            return true;
        }
        if (!isSafeForColdBackend(now, zone, node, job, believedStartMicros(worker))) {
            return false;
        }
        boolean home = worker.zone() == s.ownZone || tier == 0;
        if (!home) {
            return maySpill(zone, job, node, load);
        }
        return switch (zone.health) {
            case DARK -> attempts == 0 && node.attemptsInFlight == 0 && isTrialDue(now, zone, repeatable);
            case RETURNING -> node.recoveredAt >= zone.lastLostAt && zone.slotsInFlight < returningSlotLimit(zone)
                && free(node, load) >= job.slots();
            default -> isKnown(now, node) || node.attemptsInFlight == 0;
        };
    }

    /** What one dispatcher may have at work in a returning zone: a part of what it usually had. */
    private double returningSlotLimit(Zone zone) {
        double usual = zone.usualSlotsInFlight > 0 ? zone.usualSlotsInFlight : zone.usableSlots(0, s.defaultSlotsPerBackend) / s.dispatcherCount;
        return Math.max(1, s.returnStageShares[zone.returnStage] * usual * 1.3);
    }

    private boolean maySpill(Zone zone, Request job, ZoneBackend node, double load) {
        if (zone.health == ZoneHealth.DARK || zone.health == ZoneHealth.RETURNING) {
            return false;
        }
        double leaves = s.spillHeadroomShare * zone.estimatedSlots(node, s.defaultSlotsPerBackend);
        return hasSpillRoom(zone, job) && free(node, load) - job.slots() >= leaves;
    }

    /** Free slots; where no report ever came, what our own work leaves of the slots that a node is taken to have. */
    private double free(ZoneBackend node, double load) {
        return node.reportedSlots > 0 ? -load : s.defaultSlotsPerBackend - load;
    }

    /** Slots of a zone that this dispatcher may hold from outside. */
    private double spillBound(Zone zone) {
        int home = Math.max(1, s.dispatcherCount / zones.length);
        int senders = zone.index == s.ownZone ? s.dispatcherCount : Math.max(1, s.dispatcherCount - home);
        return s.maxSpillShare * zone.usableSlots(countSilent(zone, lastRoundAt), s.defaultSlotsPerBackend) / senders;
    }

    /** Few trials: a job that may be repeated, first try, a second and a dispatcher at a time, spread by its number. */
    private boolean isTrialDue(long now, Zone zone, boolean repeatable) {
        boolean turn = Math.floorMod(now / 1_000_000, (long) s.dispatcherCount) == s.dispatcherIndex || s.dispatcherCount == 1;
        return repeatable && turn && now - zone.healthSince >= holdMicros(zone) && now - zone.lastTrialAt >= 1_000_000;
    }

    /** After our own start, or its zone's loss, nothing is known of a node but that the list has it. */
    private boolean isKnown(long now, ZoneBackend node) {
        return zones[node.zone].lastLostAt != ZoneBackend.NEVER ? node.recoveredAt >= zones[node.zone].lastLostAt
            : node.recoveredAt != ZoneBackend.NEVER || now - firstListAt >= s.learningMicros;
    }

    /**
     * A node that came back from the dark is taken to be cold from its first sign of life on, and one that has given none
     * since to start just now: the list tells of a start seconds late.
     */
    @Override public long believedStartMicros(Backend worker) {
        ZoneBackend node = backends.get(worker.id());
        if (node == null || zones[node.zone].lastLostAt == ZoneBackend.NEVER) {
            return worker.startedAtMicros();
        }
        return Math.max(worker.startedAtMicros(), node.recoveredAt >= zones[node.zone].lastLostAt ? node.recoveredAt : lastRoundAt);
    }

    /**
     * Whether a job that no node may take is given up at once: where its own zone is lost or coming back. Held back it
     * would only wait behind others for the same few slots; its client is told when to come back.
     */
    @Override public boolean refusesUnplaced(long now, Request job) {
        for (Zone zone : zones) {
            if (tierOf(job.classIndex(), zone.index) == 0
                    && (zone.health == ZoneHealth.WHOLE || zone.health == ZoneHealth.DEGRADED)) {
                return false;
            }
        }
        zones[s.ownZone].refusalCount++;
        return true;
    }

    private boolean hasSpillRoom(Zone zone, Request job) {
        double reserve = job.classIndex() < spillReserves.length ? spillReserves[job.classIndex()] : 0;
        return zone.spilledSlots < spillBound(zone) * (1 - reserve) && zone.spillCredit > 0;
    }

    /**
     * Whether one job that is larger than most of its class could still not fell a cold node by itself: no budget by means
     * holds against a single job of many times the mean.
     */
    private boolean isSafeForColdBackend(long now, Zone zone, ZoneBackend node, Request job, long startedAt) {
        long age = now - startedAt;
        if (startedAt == 0 || age >= s.warmUpMicros) {
            return true;
        }
        double[] run = job.classIndex() < runStatistics.length ? runStatistics[job.classIndex()] : null;
        if (run == null || run[2] < 1) {
            return false;
        }
        double large = (run[0] + LARGE_REQUEST_DEVIATIONS * Math.sqrt(Math.max(0, run[1] - run[0] * run[0]))) * job.slots();
        double warmth = s.coldCapacityShare + (1 - s.coldCapacityShare) * age / Math.max(1, s.warmUpMicros);
        return large <= s.overloadMultiple * warmth * zone.estimatedSlots(node, s.defaultSlotsPerBackend) * s.overloadWindowMicros / 1e6;
    }

    // ---- What it is told

    @Override public void backendsListed(long now, ListUpdate update, List<Backend> list) {
        if (firstListAt == ZoneBackend.NEVER) {
            firstListAt = now;
            for (Zone zone : zones) {
                zone.healthSince = now;
            }
        }
        listUpdateCount++;
        for (Backend worker : list) {
            if (worker.zone() < 0 || worker.zone() >= zones.length) {
                continue;
            }
            ZoneBackend node = backends.computeIfAbsent(worker.id(), id -> {
                ZoneBackend made = new ZoneBackend(id, worker.zone());
                zones[worker.zone()].backends.add(made);
                return made;
            });
            node.lastListUpdate = listUpdateCount;
            setReady(node, worker.state() == BackendState.READY);
        }
        if (update != ListUpdate.DELTA && update != ListUpdate.FAILED) {
            backends.values().stream().filter(node -> node.lastListUpdate != listUpdateCount).forEach(node -> setReady(node, false));
        }
        backends.values().removeIf(node -> !node.ready && node.attemptsInFlight == 0 && now - node.lastAliveAt > s.lossMemoryMicros
            && removeFromZone(node));
        for (Zone zone : zones) {
            zone.usualReadyCount = Math.max(zone.usualReadyCount, zone.readyCount);
        }
    }

    private boolean removeFromZone(ZoneBackend node) {
        zones[node.zone].failingBackends.remove(node);
        zones[node.zone].backends.remove(node);
        if (node.reportedSlots > 0) {
            zones[node.zone].reportedSlotSum -= node.reportedSlots;
            zones[node.zone].reportingBackendCount--;
        }
        return true;
    }

    private void setReady(ZoneBackend node, boolean is) {
        if (node.ready != is) {
            zones[node.zone].readyCount += is ? 1 : -1;
            node.ready = is;
            if (!is) {
                zones[node.zone].failingBackends.remove(node);
            }
        }
    }

    /**
     * A whole list that leaves out more than half of what was ready, without a word of draining, is likely wrong: what
     * answers is kept in it. Off unless set: where leaving a list means being gone, this would break that rule.
     */
    public List<Backend> keepUnlistedBackends(long now, ListUpdate update, List<Backend> list, Map<Long, Backend> before) {
        if (!s.keepsUnlistedBackends || update != ListUpdate.FULL || before.isEmpty()) {
            return list;
        }
        List<Backend> missing = new ArrayList<>(before.values());
        java.util.Set<Long> named = new java.util.HashSet<>();
        list.forEach(worker -> named.add(worker.id()));
        missing.removeIf(worker -> worker.state() != BackendState.READY || named.contains(worker.id()));
        long wereReady = before.values().stream().filter(w -> w.state() == BackendState.READY).count();
        if (2L * missing.size() <= wereReady) {
            return list;
        }
        missing.removeIf(worker -> {
            ZoneBackend node = backends.get(worker.id());
            return node == null || node.consecutiveFailures > 0 || now - node.lastAliveAt > s.evidenceWindowMicros;
        });
        if (!missing.isEmpty()) {
            correctedListCount++;
            news.add(String.format(Locale.ROOT, "the list left out more than half of %d nodes at once; %d of them answer "
                + "and are used on", wereReady, missing.size()));
        }
        List<Backend> kept = new ArrayList<>(list);
        kept.addAll(missing);
        return kept;
    }

    @Override public void attemptSent(long now, Request job, int attempt, Backend worker, double work) {
        ZoneBackend node = backends.get(worker.id());
        Zone zone = zones[worker.zone()];
        boolean spill = tierOf(job.classIndex(), worker.zone()) > 0;
        SentAttempt one = new SentAttempt(worker.zone(), job.slots(), work, spill);
        List<SentAttempt> all = sent.computeIfAbsent(job.id(), id -> new ArrayList<>(2));
        while (all.size() <= attempt) {
            all.add(null);
        }
        all.set(attempt, one);
        zone.slotsInFlight += one.slots;
        if (spill) {
            zone.spilledSlots += one.slots;
            zone.spillCredit -= work;
            zone.spillCount++;
        }
        if (zone.health == ZoneHealth.DARK) {
            zone.lastTrialAt = now;
        }
        if (node != null) {
            node.attemptsInFlight++;
        }
    }

    @Override public void attemptEnded(long now, Request job, int attempt, Backend worker, Outcome outcome, double ran) {
        List<SentAttempt> all = sent.get(job.id());
        SentAttempt one = all == null || attempt >= all.size() ? null : all.set(attempt, null);
        if (one == null) {
            return;
        }
        if (all.stream().allMatch(java.util.Objects::isNull)) {
            sent.remove(job.id());
        }
        ZoneBackend node = backends.get(worker.id());
        if (node != null) {
            node.attemptsInFlight--;
        }
        if (outcome == Outcome.SERVED && ran > 0 && job.classIndex() < runStatistics.length && job.slots() > 0) {
            double[] run = runStatistics[job.classIndex()];
            double weight = Math.max(SMOOTHING_WEIGHT, 1 / ++run[2]);
            run[0] += weight * (ran / job.slots() - run[0]);
            run[1] += weight * (ran / job.slots() * ran / job.slots() - run[1]);
        }
        if (one.isSpill && ran > 0) {
            zones[one.zone].spillCredit += one.expectedSlotSeconds - ran;
        }
        // What timed out may still be at work there; it counts for as long as it was expected to run.
        if (outcome == Outcome.TIMED_OUT || outcome == Outcome.CANCELLED && ran != 0) {
            abandonedAttempts.add(new AbandonedAttempt(now + (long) (one.expectedSlotSeconds * 1e6), one));
        } else {
            free(one);
        }
        switch (outcome) {
            case SERVED, ERROR, REJECTED, UNFIT -> backendResponded(now, worker.id());
            case CONNECT_FAILED, RESET, TIMED_OUT -> recordFailure(now, worker.id(), outcome);
            default -> { }
        }
    }

    private void free(SentAttempt one) {
        Zone zone = zones[one.zone];
        zone.slotsInFlight = Math.max(0, zone.slotsInFlight - one.slots);
        zone.spilledSlots = one.isSpill ? Math.max(0, zone.spilledSlots - one.slots) : zone.spilledSlots;
    }

    @Override public void backendResponded(long now, long worker) {
        ZoneBackend node = backends.get(worker);
        if (node == null) {
            return;
        }
        Zone zone = zones[node.zone];
        zone.recordAlive(now, node, s.evidenceWindowMicros);
        if (node.recoveredAt == ZoneBackend.NEVER || node.recoveredAt < zone.lastLostAt || node.isSilent(now) && zone.health != ZoneHealth.WHOLE) {
            node.recoveredAt = now;
        }
        node.lastAliveAt = now;
        zone.lastAliveAt = now;
        node.consecutiveFailures = 0;
        node.connectFailures = 0;
        node.resets = 0;
        node.timeouts = 0;
        zone.failingBackends.remove(node);
        zone.successesInStage++;
    }

    @Override public void startOverdue(long now, long worker) {
        recordFailure(now, worker, null);
    }

    /** {@code how} is null for a job that does not start, or a probe without an answer. */
    private void recordFailure(long now, long worker, Outcome how) {
        ZoneBackend node = backends.get(worker);
        if (node == null || !node.ready) {
            return;
        }
        node.firstFailureAt = node.consecutiveFailures == 0 ? now : node.firstFailureAt;
        node.consecutiveFailures++;
        node.connectFailures += how == Outcome.CONNECT_FAILED ? 1 : 0;
        node.resets += how == Outcome.RESET ? 1 : 0;
        node.timeouts += how == null || how == Outcome.TIMED_OUT ? 1 : 0;
        zones[node.zone].failingBackends.add(node);
        zones[node.zone].failuresInStage++;
    }

    @Override public void probeEnded(long now, long worker, boolean answered, double slots) {
        ZoneBackend node = backends.get(worker);
        if (node == null) {
            return;
        }
        if (!answered) {
            recordFailure(now, worker, null);
            return;
        }
        backendResponded(now, worker);
        Zone zone = zones[node.zone];
        if (slots > node.reportedSlots) {
            zone.reportingBackendCount += node.reportedSlots == 0 ? 1 : 0;
            zone.reportedSlotSum += slots - node.reportedSlots;
            node.reportedSlots = slots;
        }
    }

    // ---- Verdicts

    @Override public List<Long> runPeriodicCheck(long now) {
        double seconds = lastRoundAt == 0 ? 0 : (now - lastRoundAt) / 1e6;
        lastRoundAt = now;
        while (!abandonedAttempts.isEmpty() && abandonedAttempts.peek().countedUntil <= now) {
            free(abandonedAttempts.poll().attempt);
        }
        List<Long> probes = new ArrayList<>();
        for (Zone zone : zones) {
            double bound = spillBound(zone);
            zone.spillCredit = Math.min(2 * bound, zone.spillCredit + bound * seconds);
            zone.usualReadyCount += zone.health == ZoneHealth.WHOLE ? seconds / 60 * (zone.readyCount - zone.usualReadyCount) : 0;
            if (zone.health == ZoneHealth.WHOLE && seconds > 0) {
                zone.usualSlotsInFlight += (zone.usualSlotsInFlight == 0 ? 1 : SMOOTHING_WEIGHT) * (zone.slotsInFlight - zone.usualSlotsInFlight);
            }
            updateHealth(now, zone);
            updateNextTier(zone, now);
            if (zone.health == ZoneHealth.DARK || zone.health == ZoneHealth.RETURNING) {
                probeLostZone(now, zone, probes);
            } else {
                sampleZone(now, zone, probes);
            }
        }
        return probes;
    }

    /** Asks a few nodes of a lost zone for a sign of life; which ones turns with time and with our number. */
    private void probeLostZone(long now, Zone zone, List<Long> probes) {
        int most = zone.health == ZoneHealth.DARK ? PROBES_PER_ROUND : 2 * PROBES_PER_ROUND;
        for (ZoneBackend node : zone.failingBackends) {
            if (probes.size() >= most) {
                return;
            }
            if (now - node.lastProbedAt >= 1_000_000 && node.ready) {
                node.lastProbedAt = now + Math.floorMod(node.id * 31 + s.dispatcherIndex * 7919L, 300_000L);
                probes.add(node.id);
            }
        }
        // Nodes that nobody has tried since the loss have not failed, and not answered either.
        if (zone.failingBackends.size() < zone.readyCount && probes.size() < most) {
            for (ZoneBackend node : zone.backends) {
                if (probes.size() >= most) {
                    return;
                }
                if (node.ready && node.recoveredAt < zone.lastLostAt && now - node.lastProbedAt >= 1_000_000) {
                    node.lastProbedAt = now + Math.floorMod(node.id * 31 + s.dispatcherIndex * 7919L, 300_000L);
                    probes.add(node.id);
                }
            }
        }
    }

    /** A zone where we send little is sampled, so that its loss is seen before our work goes there. */
    private void sampleZone(long now, Zone zone, List<Long> probes) {
        boolean busy = zone.failingBackends.isEmpty() && zone.slotsInFlight >= 2 * s.minSilentBackends;
        if (busy || now - zone.lastSampledAt < s.sampleIntervalMicros || zone.backends.isEmpty()) {
            return;
        }
        zone.lastSampledAt = now;
        // One that failed lately is asked again first: a second failure counts, and so does an answer.
        for (ZoneBackend node : zone.failingBackends) {
            if (node.ready && now - node.lastProbedAt >= 500_000) {
                node.lastProbedAt = now;
                probes.add(node.id);
                return;
            }
        }
        zone.lastSampleIndex = (zone.lastSampleIndex + 1) % zone.backends.size();
        ZoneBackend node = zone.backends.get(zone.lastSampleIndex);
        if (node.ready) {
            node.lastProbedAt = now;
            probes.add(node.id);
        }
    }

    private int countSilent(Zone zone, long now) {
        int silent = 0;
        for (ZoneBackend node : zone.failingBackends) {
            silent += node.isSilent(now) && now - node.firstFailureAt < 16 * s.evidenceWindowMicros ? 1 : 0;
        }
        return silent;
    }

    private void updateHealth(long now, Zone zone) {
        int silent = countSilent(zone, now);
        int alive = zone.countAlive(now, s.evidenceWindowMicros);
        int counted = Math.max(0, alive - countSilentButRecentlyAlive(zone, now));
        double share = silent == 0 ? 0 : silent / (double) (silent + counted);
        boolean enough = silent >= Math.min(s.minSilentBackends, Math.max(1, zone.readyCount));
        boolean gone = zone.usualReadyCount >= 1 && zone.readyCount <= (1 - s.darkShare) * zone.usualReadyCount && firstListAt + s.learningMicros < now;
        boolean dark = (share >= s.darkShare && enough && isAnotherZoneAlive(zone)) || gone;
        switch (zone.health) {
            case WHOLE, DEGRADED -> {
                if (dark) {
                    changeHealth(now, zone, ZoneHealth.DARK, silent, alive);
                } else if (zone.health == ZoneHealth.WHOLE && share >= s.degradedShare && enough) {
                    changeHealth(now, zone, ZoneHealth.DEGRADED, silent, alive);
                } else if (zone.health == ZoneHealth.DEGRADED && share < s.degradedShare / 2 && now - zone.healthSince > s.minStageMicros) {
                    changeHealth(now, zone, ZoneHealth.WHOLE, silent, alive);
                }
            }
            case DARK -> {
                boolean answers = alive > 0 && !dark && zone.readyCount > 0;
                if (now - zone.healthSince >= holdMicros(zone) && (answers || countRecovered(zone) > 0)) {
                    changeHealth(now, zone, ZoneHealth.RETURNING, silent, alive);
                }
            }
            default -> {
                if (dark && !gone && countRecovered(zone) == 0 || zone.readyCount == 0) {
                    changeHealth(now, zone, ZoneHealth.DARK, silent, alive);
                } else if (now - zone.healthSince >= s.minStageMicros) {
                    advanceReturn(now, zone, silent, alive);
                }
            }
        }
    }

    /** The next stage where this one went well; the one before where it did not. */
    private void advanceReturn(long now, Zone zone, int silent, int alive) {
        boolean well = zone.successesInStage > 0 && zone.failuresInStage <= 0.2 * (zone.successesInStage + zone.failuresInStage);
        zone.healthSince = now;
        zone.successesInStage = 0;
        zone.failuresInStage = 0;
        if (!well) {
            zone.returnStage = Math.max(0, zone.returnStage - 1);
        } else if (zone.returnStage < s.returnStageShares.length - 1) {
            zone.returnStage++;
        } else {
            // What is there now is the new measure of what is usual: some nodes may be gone for good.
            zone.usualReadyCount = zone.readyCount;
            changeHealth(now, zone, ZoneHealth.WHOLE, silent, alive);
        }
    }

    /** Nodes that answered after the zone was lost. */
    private long countRecovered(Zone zone) {
        return zone.backends.stream().filter(node -> node.ready && node.recoveredAt >= zone.lastLostAt && node.consecutiveFailures == 0).count();
    }

    /** Silent nodes whose last sign of life is recent enough to be counted among the living. */
    private int countSilentButRecentlyAlive(Zone zone, long now) {
        int both = 0;
        for (ZoneBackend node : zone.failingBackends) {
            both += node.isSilent(now) && now - node.lastAliveAt < s.evidenceWindowMicros ? 1 : 0;
        }
        return both;
    }

    /** Guards against taking our own cut cable for a lost zone: another must have answered since its failures began. */
    private boolean isAnotherZoneAlive(Zone zone) {
        long began = Long.MAX_VALUE / 2;
        for (ZoneBackend node : zone.failingBackends) {
            began = Math.min(began, node.firstFailureAt);
        }
        boolean others = false;
        for (Zone other : zones) {
            others |= other != zone && other.lastAliveAt > began + 200_000;
        }
        return others;
    }

    private long holdMicros(Zone zone) {
        return Math.min(s.maxHoldMicros, s.initialHoldMicros << Math.min(20, Math.max(0, zone.lossCount - 1)));
    }

    private void changeHealth(long now, Zone zone, ZoneHealth to, int silent, int alive) {
        if (to == ZoneHealth.DARK) {
            // A loss long ago counts no more; one that follows soon makes the next return wait longer.
            long quiet = zone.lastLostAt == ZoneBackend.NEVER ? Long.MAX_VALUE / 2 : now - zone.lastLostAt;
            zone.lossCount = Math.max(0, zone.lossCount - (int) Math.min(30, quiet / s.lossMemoryMicros)) + 1;
            zone.lastLostAt = now;
        }
        zone.returnStage = 0;
        zone.successesInStage = 0;
        zone.failuresInStage = 0;
        zone.healthSince = now;
        zone.health = to;
        int connects = 0;
        int breaks = 0;
        int silences = 0;
        for (ZoneBackend node : zone.failingBackends) {
            connects += node.connectFailures;
            breaks += node.resets;
            silences += node.timeouts;
        }
        zone.evidence = String.format(Locale.ROOT, "%d nodes fail (connects %d, breaks %d, silence %d), %d answered within "
            + "%.1f s, the list has %d of usually %.0f", silent, connects, breaks, silences, alive, s.evidenceWindowMicros / 1e6,
            zone.readyCount, zone.usualReadyCount);
        news.add("zone " + zone.name + " is " + to.name().toLowerCase(Locale.ROOT) + ": " + zone.evidence
            + (to == ZoneHealth.DARK ? String.format(Locale.ROOT, "; left alone for %.1f s", holdMicros(zone) / 1e6) : ""));
    }

    /** The next tier opens below a share of usable nodes and closes above another. */
    private void updateNextTier(Zone zone, long now) {
        double share = zone.usualReadyCount < 1 ? 1 : Math.max(0, zone.readyCount - countSilent(zone, now)) / zone.usualReadyCount;
        boolean lost = zone.health == ZoneHealth.DARK || zone.health == ZoneHealth.RETURNING;
        zone.nextTierOpen = lost || (zone.nextTierOpen ? share < s.nextTierCloseShare : share <= s.nextTierOpenShare && share < 1);
    }

    @Override public String pollLogLine() {
        return news.poll();
    }

    /** How often a list was not believed. */
    public long correctedListCount() {
        return correctedListCount;
    }

    /** The standing of a zone. */
    public ZoneHealth health(int zone) {
        return zones[zone].health;
    }

    /** What operators see. */
    public List<Status> statuses(long now) {
        List<Status> views = new ArrayList<>();
        for (Zone zone : zones) {
            views.add(new Status(zone.name, zone.health, zone.evidence, zone.healthSince, zone.returnStage, zone.lossCount, zone.readyCount,
                zone.usualReadyCount, countSilent(zone, now), zone.slotsInFlight, zone.spilledSlots, spillBound(zone), zone.nextTierOpen, zone.spillCount,
                zone.refusalCount));
        }
        return views;
    }
}

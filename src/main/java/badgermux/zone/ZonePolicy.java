package badgermux.zone;

import badgermux.decide.DispatchPolicy;
import badgermux.decide.DispatchPolicy.Backend;
import badgermux.decide.DispatchPolicy.BackendState;
import badgermux.decide.DispatchPolicy.ListUpdate;
import badgermux.decide.DispatchPolicy.Outcome;
import badgermux.decide.DispatchPolicy.Request;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Tracks the health of zones for one dispatcher and limits the requests it sends to them.
 *
 * <p>The evidence is the outcomes of the dispatcher's own attempts and probes, combined over all backends of a zone.
 * The backend list is seconds late and only supplements it.
 *
 * <p>Spill is limited to a share of the receiving zone's slots, divided among the dispatchers outside it. The limit applies
 * to the slots in use and, as a rate, to slot-seconds per second. Trunk reservation keeps part of it for the classes of
 * higher worth (Miller, "A queueing reward system with several customer classes", 1969). A zone that returns gets its usual
 * load back in stages.
 *
 * <p>Not thread-safe. Every time is passed in, in microseconds on the caller's clock.
 */
public final class ZonePolicy implements DispatchPolicy.ZoneLimits {
    /**
     * The state of a zone as operators see it.
     *
     * @param zone            the zone's name
     * @param evidence        the evidence for the last change of health
     * @param healthSince     the time of the last change of health or of the return stage
     * @param lossCount       the number of losses that are not forgotten
     * @param readyCount      the number of backends that the list shows as ready
     * @param usualReadyCount a slowly decaying peak of {@code readyCount}
     * @param silentCount     the number of backends that do not respond
     * @param slotsInFlight   the slots that this dispatcher's requests hold in the zone
     * @param spilledSlots    the part of {@code slotsInFlight} held by spilled requests
     * @param spillBound      the limit of {@code spilledSlots}
     * @param isNextTierOpen  whether requests may also use the next tier
     * @param spillCount      the number of attempts spilled to the zone so far
     * @param refusalCount    the number of requests refused so far because the own zone is dark or returning
     */
    public record Status(String zone, ZoneHealth health, String evidence, long healthSince, int returnStage, int lossCount,
            int readyCount, double usualReadyCount, int silentCount, double slotsInFlight, double spilledSlots,
            double spillBound, boolean isNextTierOpen, long spillCount, long refusalCount) { }

    /** The smallest weight of a new value in a moving average. */
    private static final double SMOOTHING_WEIGHT = 0.02;
    /** The most probes in one round; twice as many for a zone that returns. */
    private static final int PROBES_PER_ROUND = 4;
    /** The interval between two trial requests to a dark zone, and the length of a dispatcher's turn to send them. */
    private static final int TRIAL_INTERVAL_MICROS = 1_000_000;
    /** The interval between two probes of a backend in a lost zone. */
    private static final int LOST_PROBE_INTERVAL_MICROS = 1_000_000;
    /** The interval between two probes of a failing backend in a sampled zone. */
    private static final int FAILING_PROBE_INTERVAL_MICROS = 500_000;
    /** Delays the next probe of a backend in a lost zone by up to this span, which differs by backend and dispatcher. */
    private static final long PROBE_SPREAD_MICROS = 300_000L;
    /**
     * A request is taken to run at most this many standard deviations above the mean: 1 % of a gamma distribution of
     * shape 2 exceeds it.
     */
    private static final double LARGE_REQUEST_DEVIATIONS = 3.5;
    /** The limit of a returning zone exceeds its share of the usual load by this factor. */
    private static final double RETURN_LIMIT_FACTOR = 1.3;
    /** A stage of a return has succeeded if at most this share of its outcomes are failures. */
    private static final double MAX_STAGE_FAILURE_SHARE = 0.2;
    /** A silent backend counts as evidence for this multiple of the evidence window after its first failure. */
    private static final int SILENCE_WINDOWS = 16;
    /** Another zone proves that the own network works if it responded more than this span after the failures began. */
    private static final int OTHER_ZONE_DELAY_MICROS = 200_000;

    /** An attempt whose slots count as in use: it is in flight, or was given up and may still run on its backend. */
    private record SentAttempt(int zone, double slots, double expectedSlotSeconds, boolean isSpill) { }

    /** An attempt given up by this dispatcher, whose slots count as in use until a time. */
    private record AbandonedAttempt(long countedUntil, SentAttempt attempt) { }

    private final ZoneSettings settings;
    private final Zone[] zones;
    /** By request class, the share of the spill bound that the class may not use. */
    private final double[] spillReserves;
    /** By request class, the mean run time in seconds at [0], the mean of its square at [1], and the number of runs at [2]. */
    private final double[][] runStatistics;
    private final Map<Long, ZoneBackend> backends = new HashMap<>();
    /** By request id, the attempts by attempt number; null for one that ended. */
    private final Map<Long, List<SentAttempt>> attemptsByRequest = new HashMap<>();
    private final ArrayDeque<AbandonedAttempt> abandonedAttempts = new ArrayDeque<>();
    private final ArrayDeque<String> pendingLogLines = new ArrayDeque<>();
    /** The time of the first list update. */
    private long firstListAt = ZoneBackend.NEVER;
    /** The time of the last periodic check; 0 before the first. */
    private long lastRoundAt;
    private int listUpdateCount;
    /** The number of full lists to which {@link #keepUnlistedBackends} added backends. */
    private long correctedListCount;

    /**
     * Creates a policy under which all zones are whole.
     *
     * @throws IllegalArgumentException if a setting is out of range
     */
    public ZonePolicy(ZoneSettings zoneSettings) {
        settings = zoneSettings.validated();
        zones = new Zone[settings.zoneNames.size()];
        for (int z = 0; z < zones.length; z++) {
            zones[z] = new Zone(z, settings.zoneNames.get(z));
        }
        spillReserves = new double[settings.classWorths.length];
        runStatistics = new double[settings.classWorths.length][3];
        for (int c = 0; c < spillReserves.length; c++) {
            int higherWorthCount = 0;
            for (double worth : settings.classWorths) {
                higherWorthCount += worth > settings.classWorths[c] ? 1 : 0;
            }
            spillReserves[c] = spillReserves.length < 2 ? 0
                : settings.spillReserveShare * higherWorthCount / (spillReserves.length - 1);
        }
    }

    // ---- Limits

    @Override public int tierCount() {
        return settings.tierCount();
    }

    @Override public int tierOf(int requestClass, int zone) {
        return zone >= zones.length ? -1 : settings.tier(requestClass, zone);
    }

    /**
     * Whether a request may use a backend of a tier now. A tier is open if one of its zones takes requests and all zones of
     * the tiers before it have opened the next one.
     */
    @Override public boolean isTierOpen(long now, Request request, boolean repeatable, int tier) {
        boolean hasUsableZone = false;
        boolean earlierTiersAreOpen = true;
        for (Zone zone : zones) {
            int zoneTier = tierOf(request.classIndex(), zone.index);
            if (zoneTier == tier) {
                hasUsableZone |= tier == 0 ? zone.health != ZoneHealth.DARK || isTrialDue(now, zone, repeatable)
                    : zone.health == ZoneHealth.WHOLE || zone.health == ZoneHealth.DEGRADED;
            } else if (zoneTier >= 0 && zoneTier < tier) {
                earlierTiersAreOpen &= settings.nextTierOpenShare >= 1 || zone.nextTierOpen;
            }
        }
        return hasUsableZone && earlierTiersAreOpen;
    }

    /**
     * Whether a backend may get a request.
     *
     * @param attempts the number of attempts that the request has had
     * @param load     minus the backend's free slots, as the dispatch policy estimates them
     */
    @Override public boolean admits(long now, Request request, boolean repeatable, int attempts, Backend backend, double load,
            int tier) {
        Zone zone = zones[backend.zone()];
        ZoneBackend zoneBackend = backends.get(backend.id());
        if (zoneBackend == null) {
            return true;
        }
        if (!isSafeForColdBackend(now, zone, zoneBackend, request, believedStartMicros(backend))) {
            return false;
        }
        boolean isFirstChoice = backend.zone() == settings.ownZone || tier == 0;
        if (!isFirstChoice) {
            return maySpill(zone, request, zoneBackend, load);
        }
        return switch (zone.health) {
            case DARK -> attempts == 0 && zoneBackend.attemptsInFlight == 0 && isTrialDue(now, zone, repeatable);
            case RETURNING -> zoneBackend.recoveredAt >= zone.lastLostAt && zone.slotsInFlight < returningSlotLimit(zone)
                && freeSlots(zoneBackend, load) >= request.slots();
            default -> isKnown(now, zoneBackend) || zoneBackend.attemptsInFlight == 0;
        };
    }

    /**
     * Returns the slots that this dispatcher may use in a returning zone: the stage's share of the slots that it usually uses,
     * times {@link #RETURN_LIMIT_FACTOR}, and 1 at least.
     */
    private double returningSlotLimit(Zone zone) {
        double usual = zone.usualSlotsInFlight > 0 ? zone.usualSlotsInFlight
            : zone.usableSlots(0, settings.defaultSlotsPerBackend) / settings.dispatcherCount;
        return Math.max(1, settings.returnStageShares[zone.returnStage] * usual * RETURN_LIMIT_FACTOR);
    }

    /** Whether a request may spill to a backend: both the zone's spill bound and the backend must have room for it. */
    private boolean maySpill(Zone zone, Request request, ZoneBackend zoneBackend, double load) {
        if (zone.health == ZoneHealth.DARK || zone.health == ZoneHealth.RETURNING) {
            return false;
        }
        double headroom = settings.spillHeadroomShare * zone.estimatedSlots(zoneBackend, settings.defaultSlotsPerBackend);
        return hasSpillRoom(zone, request) && freeSlots(zoneBackend, load) - request.slots() >= headroom;
    }

    /** Returns a backend's free slots; if it never reported any, the default less what this dispatcher's requests use. */
    private double freeSlots(ZoneBackend zoneBackend, double load) {
        return zoneBackend.reportedSlots > 0 ? -load : settings.defaultSlotsPerBackend - load;
    }

    /**
     * Returns the slots of a zone that this dispatcher's spilled requests may hold. Dispatchers are taken to be spread evenly
     * over the zones.
     */
    private double spillBound(Zone zone) {
        int dispatchersPerZone = Math.max(1, settings.dispatcherCount / zones.length);
        int senders = zone.index == settings.ownZone ? settings.dispatcherCount
            : Math.max(1, settings.dispatcherCount - dispatchersPerZone);
        return settings.maxSpillShare * zone.usableSlots(countSilent(zone, lastRoundAt), settings.defaultSlotsPerBackend)
            / senders;
    }

    /**
     * Whether a dark zone may get a trial request now. After the hold, dispatchers take turns of one second by their index,
     * and each sends one trial in its turn; only repeatable requests serve as trials.
     */
    private boolean isTrialDue(long now, Zone zone, boolean repeatable) {
        boolean isOwnTurn = Math.floorMod(now / TRIAL_INTERVAL_MICROS, (long) settings.dispatcherCount)
            == settings.dispatcherIndex || settings.dispatcherCount == 1;
        return repeatable && isOwnTurn && now - zone.healthSince >= holdMicros(zone)
            && now - zone.lastTrialAt >= TRIAL_INTERVAL_MICROS;
    }

    /**
     * Whether a backend has responded since its zone was last lost or, without a loss, since this dispatcher started; until it
     * has, only the list says that it exists. Without a loss, all backends count as known after the learning time.
     */
    private boolean isKnown(long now, ZoneBackend zoneBackend) {
        return zones[zoneBackend.zone].lastLostAt != ZoneBackend.NEVER
            ? zoneBackend.recoveredAt >= zones[zoneBackend.zone].lastLostAt
            : zoneBackend.recoveredAt != ZoneBackend.NEVER || now - firstListAt >= settings.learningMicros;
    }

    /**
     * Returns when a backend started, for the limits on cold backends. After a loss of its zone a backend counts as started
     * at its first response, or just now if it has not responded: the list shows a restart seconds late.
     */
    @Override public long believedStartMicros(Backend backend) {
        ZoneBackend zoneBackend = backends.get(backend.id());
        if (zoneBackend == null || zones[zoneBackend.zone].lastLostAt == ZoneBackend.NEVER) {
            return backend.startedAtMicros();
        }
        return Math.max(backend.startedAtMicros(),
            zoneBackend.recoveredAt >= zones[zoneBackend.zone].lastLostAt ? zoneBackend.recoveredAt : lastRoundAt);
    }

    /**
     * Whether a request that no backend may take is refused at once: if all zones of its first tier are dark or returning.
     * If held, it would only queue behind others for the same few slots; the refusal tells its client when to retry.
     */
    @Override public boolean refusesUnplaced(long now, Request request) {
        for (Zone zone : zones) {
            if (tierOf(request.classIndex(), zone.index) == 0
                    && (zone.health == ZoneHealth.WHOLE || zone.health == ZoneHealth.DEGRADED)) {
                return false;
            }
        }
        zones[settings.ownZone].refusalCount++;
        return true;
    }

    /** Whether the spill bound, less the reserve for classes of higher worth, and the spill credit allow another request. */
    private boolean hasSpillRoom(Zone zone, Request request) {
        double reserve = request.classIndex() < spillReserves.length ? spillReserves[request.classIndex()] : 0;
        return zone.spilledSlots < spillBound(zone) * (1 - reserve) && zone.spillCredit > 0;
    }

    /**
     * Whether a single request cannot overload a cold backend even if it runs far longer than the mean of its class. A budget
     * based on means does not protect a backend from one request of many times the mean.
     */
    private boolean isSafeForColdBackend(long now, Zone zone, ZoneBackend zoneBackend, Request request, long startedAt) {
        long age = now - startedAt;
        if (startedAt == 0 || age >= settings.warmUpMicros) {
            return true;
        }
        double[] statistics = request.classIndex() < runStatistics.length ? runStatistics[request.classIndex()] : null;
        if (statistics == null || statistics[2] < 1) {
            return false;
        }
        double largeSlotSeconds = (statistics[0] + LARGE_REQUEST_DEVIATIONS
            * Math.sqrt(Math.max(0, statistics[1] - statistics[0] * statistics[0]))) * request.slots();
        double capacityShare = settings.coldCapacityShare
            + (1 - settings.coldCapacityShare) * age / Math.max(1, settings.warmUpMicros);
        return largeSlotSeconds <= settings.overloadMultiple * capacityShare
            * zone.estimatedSlots(zoneBackend, settings.defaultSlotsPerBackend) * settings.overloadWindowMicros / 1e6;
    }

    // ---- Events

    @Override public void backendsListed(long now, ListUpdate update, List<Backend> list) {
        if (firstListAt == ZoneBackend.NEVER) {
            firstListAt = now;
            for (Zone zone : zones) {
                zone.healthSince = now;
            }
        }
        listUpdateCount++;
        for (Backend backend : list) {
            if (backend.zone() < 0 || backend.zone() >= zones.length) {
                continue;
            }
            ZoneBackend zoneBackend = backends.computeIfAbsent(backend.id(), id -> {
                ZoneBackend added = new ZoneBackend(id, backend.zone());
                zones[backend.zone()].backends.add(added);
                return added;
            });
            zoneBackend.lastListUpdate = listUpdateCount;
            setReady(zoneBackend, backend.state() == BackendState.READY);
        }
        if (update != ListUpdate.DELTA && update != ListUpdate.FAILED) {
            backends.values().stream().filter(zoneBackend -> zoneBackend.lastListUpdate != listUpdateCount)
                .forEach(zoneBackend -> setReady(zoneBackend, false));
        }
        backends.values().removeIf(zoneBackend -> !zoneBackend.ready && zoneBackend.attemptsInFlight == 0
            && now - zoneBackend.lastAliveAt > settings.lossMemoryMicros && removeFromZone(zoneBackend));
        for (Zone zone : zones) {
            zone.usualReadyCount = Math.max(zone.usualReadyCount, zone.readyCount);
        }
    }

    /** Removes a backend from its zone's sets and sums; always true, for use in a condition. */
    private boolean removeFromZone(ZoneBackend zoneBackend) {
        zones[zoneBackend.zone].failingBackends.remove(zoneBackend);
        zones[zoneBackend.zone].backends.remove(zoneBackend);
        if (zoneBackend.reportedSlots > 0) {
            zones[zoneBackend.zone].reportedSlotSum -= zoneBackend.reportedSlots;
            zones[zoneBackend.zone].reportingBackendCount--;
        }
        return true;
    }

    private void setReady(ZoneBackend zoneBackend, boolean ready) {
        if (zoneBackend.ready != ready) {
            zones[zoneBackend.zone].readyCount += ready ? 1 : -1;
            zoneBackend.ready = ready;
            if (!ready) {
                zones[zoneBackend.zone].failingBackends.remove(zoneBackend);
            }
        }
    }

    /**
     * Returns a list update, with backends added back that it omits but that still respond. A full list that omits more than
     * half of the ready backends without showing them as draining first is likely wrong. Disabled by default, because in
     * an installation where an unlisted backend is gone for certain the result would be wrong.
     *
     * @param before the backends before the update, by id
     */
    public List<Backend> keepUnlistedBackends(long now, ListUpdate update, List<Backend> list, Map<Long, Backend> before) {
        if (!settings.keepsUnlistedBackends || update != ListUpdate.FULL || before.isEmpty()) {
            return list;
        }
        List<Backend> missing = new ArrayList<>(before.values());
        Set<Long> listedIds = new HashSet<>();
        list.forEach(backend -> listedIds.add(backend.id()));
        missing.removeIf(backend -> backend.state() != BackendState.READY || listedIds.contains(backend.id()));
        long readyBefore = before.values().stream().filter(backend -> backend.state() == BackendState.READY).count();
        if (2L * missing.size() <= readyBefore) {
            return list;
        }
        missing.removeIf(backend -> {
            ZoneBackend zoneBackend = backends.get(backend.id());
            return zoneBackend == null || zoneBackend.consecutiveFailures > 0
                || now - zoneBackend.lastAliveAt > settings.evidenceWindowMicros;
        });
        if (!missing.isEmpty()) {
            correctedListCount++;
            pendingLogLines.add(String.format(Locale.ROOT, "Backend list omits more than half of %d ready backends; "
                + "keeping %d that still respond", readyBefore, missing.size()));
        }
        List<Backend> kept = new ArrayList<>(list);
        kept.addAll(missing);
        return kept;
    }

    @Override public void attemptSent(long now, Request request, int attemptNumber, Backend backend,
            double expectedSlotSeconds) {
        ZoneBackend zoneBackend = backends.get(backend.id());
        Zone zone = zones[backend.zone()];
        boolean isSpill = tierOf(request.classIndex(), backend.zone()) > 0;
        SentAttempt sentAttempt = new SentAttempt(backend.zone(), request.slots(), expectedSlotSeconds, isSpill);
        List<SentAttempt> attempts = attemptsByRequest.computeIfAbsent(request.id(), id -> new ArrayList<>(2));
        while (attempts.size() <= attemptNumber) {
            attempts.add(null);
        }
        attempts.set(attemptNumber, sentAttempt);
        zone.slotsInFlight += sentAttempt.slots;
        if (isSpill) {
            zone.spilledSlots += sentAttempt.slots;
            zone.spillCredit -= expectedSlotSeconds;
            zone.spillCount++;
        }
        if (zone.health == ZoneHealth.DARK) {
            zone.lastTrialAt = now;
        }
        if (zoneBackend != null) {
            zoneBackend.attemptsInFlight++;
        }
    }

    @Override public void attemptEnded(long now, Request request, int attemptNumber, Backend backend, Outcome outcome,
            double slotSeconds) {
        List<SentAttempt> attempts = attemptsByRequest.get(request.id());
        SentAttempt sentAttempt = attempts == null || attemptNumber >= attempts.size() ? null
            : attempts.set(attemptNumber, null);
        if (sentAttempt == null) {
            return;
        }
        if (attempts.stream().allMatch(Objects::isNull)) {
            attemptsByRequest.remove(request.id());
        }
        ZoneBackend zoneBackend = backends.get(backend.id());
        if (zoneBackend != null) {
            zoneBackend.attemptsInFlight--;
        }
        if (outcome == Outcome.SERVED && slotSeconds > 0 && request.classIndex() < runStatistics.length
                && request.slots() > 0) {
            double[] statistics = runStatistics[request.classIndex()];
            double weight = Math.max(SMOOTHING_WEIGHT, 1 / ++statistics[2]);
            statistics[0] += weight * (slotSeconds / request.slots() - statistics[0]);
            statistics[1] += weight * (slotSeconds / request.slots() * slotSeconds / request.slots() - statistics[1]);
        }
        if (sentAttempt.isSpill && slotSeconds > 0) {
            zones[sentAttempt.zone].spillCredit += sentAttempt.expectedSlotSeconds - slotSeconds;
        }
        // An attempt that was given up may still run on its backend: its slots count for as long as it was expected to run.
        if (outcome == Outcome.TIMED_OUT || outcome == Outcome.CANCELLED && slotSeconds != 0) {
            abandonedAttempts.add(
                new AbandonedAttempt(now + (long) (sentAttempt.expectedSlotSeconds * 1e6), sentAttempt));
        } else {
            releaseSlots(sentAttempt);
        }
        switch (outcome) {
            case SERVED, ERROR, REJECTED, UNFIT -> backendResponded(now, backend.id());
            case CONNECT_FAILED, RESET, TIMED_OUT -> recordFailure(now, backend.id(), outcome);
            default -> { }
        }
    }

    private void releaseSlots(SentAttempt attempt) {
        Zone zone = zones[attempt.zone];
        zone.slotsInFlight = Math.max(0, zone.slotsInFlight - attempt.slots);
        zone.spilledSlots = attempt.isSpill ? Math.max(0, zone.spilledSlots - attempt.slots) : zone.spilledSlots;
    }

    @Override public void backendResponded(long now, long backendId) {
        ZoneBackend zoneBackend = backends.get(backendId);
        if (zoneBackend == null) {
            return;
        }
        Zone zone = zones[zoneBackend.zone];
        zone.recordAlive(now, zoneBackend, settings.evidenceWindowMicros);
        if (zoneBackend.recoveredAt == ZoneBackend.NEVER || zoneBackend.recoveredAt < zone.lastLostAt
                || zoneBackend.isSilent(now) && zone.health != ZoneHealth.WHOLE) {
            zoneBackend.recoveredAt = now;
        }
        zoneBackend.lastAliveAt = now;
        zone.lastAliveAt = now;
        zoneBackend.consecutiveFailures = 0;
        zoneBackend.connectFailures = 0;
        zoneBackend.resets = 0;
        zoneBackend.timeouts = 0;
        zone.failingBackends.remove(zoneBackend);
        zone.successesInStage++;
    }

    @Override public void startOverdue(long now, long backendId) {
        recordFailure(now, backendId, null);
    }

    /** Records a failure; {@code outcome} is null for a request that did not start and for a probe without an answer. */
    private void recordFailure(long now, long backendId, Outcome outcome) {
        ZoneBackend zoneBackend = backends.get(backendId);
        if (zoneBackend == null || !zoneBackend.ready) {
            return;
        }
        zoneBackend.firstFailureAt = zoneBackend.consecutiveFailures == 0 ? now : zoneBackend.firstFailureAt;
        zoneBackend.consecutiveFailures++;
        zoneBackend.connectFailures += outcome == Outcome.CONNECT_FAILED ? 1 : 0;
        zoneBackend.resets += outcome == Outcome.RESET ? 1 : 0;
        zoneBackend.timeouts += outcome == null || outcome == Outcome.TIMED_OUT ? 1 : 0;
        zones[zoneBackend.zone].failingBackends.add(zoneBackend);
        zones[zoneBackend.zone].failuresInStage++;
    }

    @Override public void probeEnded(long now, long backendId, boolean answered, double slots) {
        ZoneBackend zoneBackend = backends.get(backendId);
        if (zoneBackend == null) {
            return;
        }
        if (!answered) {
            recordFailure(now, backendId, null);
            return;
        }
        backendResponded(now, backendId);
        Zone zone = zones[zoneBackend.zone];
        if (slots > zoneBackend.reportedSlots) {
            zone.reportingBackendCount += zoneBackend.reportedSlots == 0 ? 1 : 0;
            zone.reportedSlotSum += slots - zoneBackend.reportedSlots;
            zoneBackend.reportedSlots = slots;
        }
    }

    // ---- Health

    @Override public List<Long> runPeriodicCheck(long now) {
        double seconds = lastRoundAt == 0 ? 0 : (now - lastRoundAt) / 1e6;
        lastRoundAt = now;
        while (!abandonedAttempts.isEmpty() && abandonedAttempts.peek().countedUntil <= now) {
            releaseSlots(abandonedAttempts.poll().attempt);
        }
        List<Long> probes = new ArrayList<>();
        for (Zone zone : zones) {
            double bound = spillBound(zone);
            zone.spillCredit = Math.min(2 * bound, zone.spillCredit + bound * seconds);
            zone.usualReadyCount += zone.health == ZoneHealth.WHOLE
                ? seconds / 60 * (zone.readyCount - zone.usualReadyCount) : 0;
            if (zone.health == ZoneHealth.WHOLE && seconds > 0) {
                zone.usualSlotsInFlight += (zone.usualSlotsInFlight == 0 ? 1 : SMOOTHING_WEIGHT)
                    * (zone.slotsInFlight - zone.usualSlotsInFlight);
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

    /** Probes a few backends of a dark or returning zone; the order varies with time and with the dispatcher's index. */
    private void probeLostZone(long now, Zone zone, List<Long> probes) {
        int limit = zone.health == ZoneHealth.DARK ? PROBES_PER_ROUND : 2 * PROBES_PER_ROUND;
        for (ZoneBackend zoneBackend : zone.failingBackends) {
            if (probes.size() >= limit) {
                return;
            }
            if (now - zoneBackend.lastProbedAt >= LOST_PROBE_INTERVAL_MICROS && zoneBackend.ready) {
                zoneBackend.lastProbedAt = now
                    + Math.floorMod(zoneBackend.id * 31 + settings.dispatcherIndex * 7919L, PROBE_SPREAD_MICROS);
                probes.add(zoneBackend.id);
            }
        }
        // A backend that was not tried since the loss has neither failed nor responded.
        if (zone.failingBackends.size() < zone.readyCount && probes.size() < limit) {
            for (ZoneBackend zoneBackend : zone.backends) {
                if (probes.size() >= limit) {
                    return;
                }
                if (zoneBackend.ready && zoneBackend.recoveredAt < zone.lastLostAt
                        && now - zoneBackend.lastProbedAt >= LOST_PROBE_INTERVAL_MICROS) {
                    zoneBackend.lastProbedAt = now
                        + Math.floorMod(zoneBackend.id * 31 + settings.dispatcherIndex * 7919L, PROBE_SPREAD_MICROS);
                    probes.add(zoneBackend.id);
                }
            }
        }
    }

    /** Probes one backend of a zone that gets too few requests to show its health, so that a loss shows before any are sent. */
    private void sampleZone(long now, Zone zone, List<Long> probes) {
        boolean isBusy = zone.failingBackends.isEmpty() && zone.slotsInFlight >= 2 * settings.minSilentBackends;
        if (isBusy || now - zone.lastSampledAt < settings.sampleIntervalMicros || zone.backends.isEmpty()) {
            return;
        }
        zone.lastSampledAt = now;
        // A backend that failed is probed first: a second failure makes it silent, and a response clears the first one.
        for (ZoneBackend zoneBackend : zone.failingBackends) {
            if (zoneBackend.ready && now - zoneBackend.lastProbedAt >= FAILING_PROBE_INTERVAL_MICROS) {
                zoneBackend.lastProbedAt = now;
                probes.add(zoneBackend.id);
                return;
            }
        }
        zone.lastSampleIndex = (zone.lastSampleIndex + 1) % zone.backends.size();
        ZoneBackend zoneBackend = zone.backends.get(zone.lastSampleIndex);
        if (zoneBackend.ready) {
            zoneBackend.lastProbedAt = now;
            probes.add(zoneBackend.id);
        }
    }

    /** Returns the number of silent backends whose failures began recently enough to be evidence. */
    private int countSilent(Zone zone, long now) {
        int silent = 0;
        for (ZoneBackend zoneBackend : zone.failingBackends) {
            silent += zoneBackend.isSilent(now)
                && now - zoneBackend.firstFailureAt < SILENCE_WINDOWS * settings.evidenceWindowMicros ? 1 : 0;
        }
        return silent;
    }

    /**
     * Changes a zone's health by the share of silent backends among those tried within the evidence window, or by the share
     * of the usual backends that the list no longer shows as ready.
     */
    private void updateHealth(long now, Zone zone) {
        int silent = countSilent(zone, now);
        int alive = zone.countAlive(now, settings.evidenceWindowMicros);
        int responding = Math.max(0, alive - countSilentButRecentlyAlive(zone, now));
        double silentShare = silent == 0 ? 0 : silent / (double) (silent + responding);
        boolean isEnoughEvidence = silent >= Math.min(settings.minSilentBackends, Math.max(1, zone.readyCount));
        boolean isUnlisted = zone.usualReadyCount >= 1 && zone.readyCount <= (1 - settings.darkShare) * zone.usualReadyCount
            && firstListAt + settings.learningMicros < now;
        boolean isLost = (silentShare >= settings.darkShare && isEnoughEvidence && isAnotherZoneAlive(zone)) || isUnlisted;
        switch (zone.health) {
            case WHOLE, DEGRADED -> {
                if (isLost) {
                    changeHealth(now, zone, ZoneHealth.DARK, silent, alive);
                } else if (zone.health == ZoneHealth.WHOLE && silentShare >= settings.degradedShare && isEnoughEvidence) {
                    changeHealth(now, zone, ZoneHealth.DEGRADED, silent, alive);
                } else if (zone.health == ZoneHealth.DEGRADED && silentShare < settings.degradedShare / 2
                        && now - zone.healthSince > settings.minStageMicros) {
                    changeHealth(now, zone, ZoneHealth.WHOLE, silent, alive);
                }
            }
            case DARK -> {
                boolean isResponding = alive > 0 && !isLost && zone.readyCount > 0;
                if (now - zone.healthSince >= holdMicros(zone) && (isResponding || countRecovered(zone) > 0)) {
                    changeHealth(now, zone, ZoneHealth.RETURNING, silent, alive);
                }
            }
            default -> {    // RETURNING
                if (isLost && !isUnlisted && countRecovered(zone) == 0 || zone.readyCount == 0) {
                    changeHealth(now, zone, ZoneHealth.DARK, silent, alive);
                } else if (now - zone.healthSince >= settings.minStageMicros) {
                    advanceReturn(now, zone, silent, alive);
                }
            }
        }
    }

    /** Moves a returning zone to the next stage if the current one succeeded, otherwise back to the previous one. */
    private void advanceReturn(long now, Zone zone, int silent, int alive) {
        boolean hasSucceeded = zone.successesInStage > 0 && zone.failuresInStage
            <= MAX_STAGE_FAILURE_SHARE * (zone.successesInStage + zone.failuresInStage);
        zone.healthSince = now;
        zone.successesInStage = 0;
        zone.failuresInStage = 0;
        if (!hasSucceeded) {
            zone.returnStage = Math.max(0, zone.returnStage - 1);
        } else if (zone.returnStage < settings.returnStageShares.length - 1) {
            zone.returnStage++;
        } else {
            // Some backends may be gone for good: the present count becomes the usual one.
            zone.usualReadyCount = zone.readyCount;
            changeHealth(now, zone, ZoneHealth.WHOLE, silent, alive);
        }
    }

    /** Returns the number of ready backends that responded after the zone was lost and have not failed since. */
    private long countRecovered(Zone zone) {
        return zone.backends.stream().filter(zoneBackend -> zoneBackend.ready && zoneBackend.recoveredAt >= zone.lastLostAt
            && zoneBackend.consecutiveFailures == 0).count();
    }

    /** Returns the number of silent backends that {@link Zone#countAlive} counts because they responded within the window. */
    private int countSilentButRecentlyAlive(Zone zone, long now) {
        int count = 0;
        for (ZoneBackend zoneBackend : zone.failingBackends) {
            count += zoneBackend.isSilent(now) && now - zoneBackend.lastAliveAt < settings.evidenceWindowMicros ? 1 : 0;
        }
        return count;
    }

    /**
     * Whether another zone has responded since the failures of this one began. Otherwise the cause may be the dispatcher's
     * own network connection, and the zone is not taken as lost.
     */
    private boolean isAnotherZoneAlive(Zone zone) {
        long firstFailureAt = Long.MAX_VALUE / 2;
        for (ZoneBackend zoneBackend : zone.failingBackends) {
            firstFailureAt = Math.min(firstFailureAt, zoneBackend.firstFailureAt);
        }
        boolean isAnotherAlive = false;
        for (Zone other : zones) {
            isAnotherAlive |= other != zone && other.lastAliveAt > firstFailureAt + OTHER_ZONE_DELAY_MICROS;
        }
        return isAnotherAlive;
    }

    /** Returns how long a dark zone gets no requests: the initial hold, doubled with each further loss not forgotten. */
    private long holdMicros(Zone zone) {
        return Math.min(settings.maxHoldMicros, settings.initialHoldMicros << Math.min(20, Math.max(0, zone.lossCount - 1)));
    }

    /** Changes a zone's health, and records and logs the evidence for it. */
    private void changeHealth(long now, Zone zone, ZoneHealth health, int silent, int alive) {
        if (health == ZoneHealth.DARK) {
            // Losses in quick succession lengthen the hold; old ones are forgotten.
            long sinceLastLoss = zone.lastLostAt == ZoneBackend.NEVER ? Long.MAX_VALUE / 2 : now - zone.lastLostAt;
            zone.lossCount = Math.max(0, zone.lossCount - (int) Math.min(30, sinceLastLoss / settings.lossMemoryMicros)) + 1;
            zone.lastLostAt = now;
        }
        zone.returnStage = 0;
        zone.successesInStage = 0;
        zone.failuresInStage = 0;
        zone.healthSince = now;
        zone.health = health;
        int connectFailures = 0;
        int resets = 0;
        int timeouts = 0;
        for (ZoneBackend zoneBackend : zone.failingBackends) {
            connectFailures += zoneBackend.connectFailures;
            resets += zoneBackend.resets;
            timeouts += zoneBackend.timeouts;
        }
        zone.evidence = String.format(Locale.ROOT, "%d nodes fail (connects %d, breaks %d, silence %d), %d answered within "
            + "%.1f s, the list has %d of usually %.0f", silent, connectFailures, resets, timeouts, alive,
            settings.evidenceWindowMicros / 1e6, zone.readyCount, zone.usualReadyCount);
        pendingLogLines.add("zone " + zone.name + " is " + health.name().toLowerCase(Locale.ROOT) + ": " + zone.evidence
            + (health == ZoneHealth.DARK
                ? String.format(Locale.ROOT, "; no requests are sent there for %.1f s", holdMicros(zone) / 1e6) : ""));
    }

    /** Opens the next tier at or below one share of usable backends or after a loss, and closes it at another share or above. */
    private void updateNextTier(Zone zone, long now) {
        double usableShare = zone.usualReadyCount < 1 ? 1
            : Math.max(0, zone.readyCount - countSilent(zone, now)) / zone.usualReadyCount;
        boolean isLost = zone.health == ZoneHealth.DARK || zone.health == ZoneHealth.RETURNING;
        zone.nextTierOpen = isLost || (zone.nextTierOpen ? usableShare < settings.nextTierCloseShare
            : usableShare <= settings.nextTierOpenShare && usableShare < 1);
    }

    @Override public String pollLogLine() {
        return pendingLogLines.poll();
    }

    /** Returns how many full lists were corrected by {@link #keepUnlistedBackends}. */
    public long correctedListCount() {
        return correctedListCount;
    }

    /** Returns the health of the zone with an index. */
    public ZoneHealth health(int zone) {
        return zones[zone].health;
    }

    /** Returns the state of all zones, by zone index. */
    public List<Status> statuses(long now) {
        List<Status> statuses = new ArrayList<>();
        for (Zone zone : zones) {
            statuses.add(new Status(zone.name, zone.health, zone.evidence, zone.healthSince, zone.returnStage,
                zone.lossCount, zone.readyCount, zone.usualReadyCount, countSilent(zone, now), zone.slotsInFlight,
                zone.spilledSlots, spillBound(zone), zone.nextTierOpen, zone.spillCount, zone.refusalCount));
        }
        return statuses;
    }
}

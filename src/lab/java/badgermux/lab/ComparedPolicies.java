package badgermux.lab;

import badgermux.decide.DispatchPolicy;
import badgermux.zone.ZonePolicy;
import badgermux.zone.ZoneSettings;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import org.apache.commons.rng.UniformRandomProvider;

/** The policies that are compared, each the real module with other limits. */
final class ComparedPolicies {
    private ComparedPolicies() { }

    /** By name: zones, and what they are measured against. */
    static Map<String, BiFunction<DispatchPolicy.Settings, UniformRandomProvider, DispatchPolicy.ZoneLimits>> all(int zones) {
        Map<String, BiFunction<DispatchPolicy.Settings, UniformRandomProvider, DispatchPolicy.ZoneLimits>> all = new LinkedHashMap<>();
        all.put("zones", (s, random) -> new ZonePolicy(settings(s, zones)));
        all.put("off", (s, random) -> null);
        all.put("list failover", (s, random) -> new ListFailover(s.ownZone, zones));
        all.put("envoy-like", (s, random) -> new EnvoyLike(s.ownZone, zones, random));
        return all;
    }

    static ZoneSettings settings(DispatchPolicy.Settings s, int zones) {
        ZoneSettings z = new ZoneSettings();
        for (int i = 0; i < zones; i++) {
            z.zoneNames.add("z" + i);
        }
        z.ownZone = s.ownZone;
        z.dispatcherCount = s.dispatcherCount;
        z.dispatcherIndex = s.dispatcherIndex;
        z.classWorths = s.classes.stream().mapToDouble(DispatchPolicy.RequestClass::worth).toArray();
        z.warmUpMicros = s.warmUpMicros;
        z.maxSpillShare = Double.parseDouble(System.getProperty("spillShare", String.valueOf(z.maxSpillShare)));
        z.spillHeadroomShare = Double.parseDouble(System.getProperty("spillLeaves", String.valueOf(z.spillHeadroomShare)));
        z.spillReserveShare = Double.parseDouble(System.getProperty("spillReserve", String.valueOf(z.spillReserveShare)));
        return z;
    }

    /** No limits at all; what others build on. */
    private abstract static class NoLimits implements DispatchPolicy.ZoneLimits {
        final int ownZone;
        final int zoneCount;
        final Map<Long, Integer> zoneByReadyBackend = new HashMap<>();
        final int[] readyByZone;

        NoLimits(int own, int zones) {
            this.ownZone = own;
            this.zoneCount = zones;
            readyByZone = new int[zones];
        }

        @Override public void backendsListed(long now, DispatchPolicy.ListUpdate update, List<DispatchPolicy.Backend> workers) {
            for (DispatchPolicy.Backend worker : workers) {
                boolean is = worker.state() == DispatchPolicy.BackendState.READY;
                boolean was = zoneByReadyBackend.containsKey(worker.id());
                if (is && !was) {
                    zoneByReadyBackend.put(worker.id(), worker.zone());
                    readyByZone[worker.zone()]++;
                } else if (!is && was) {
                    zoneByReadyBackend.remove(worker.id());
                    readyByZone[worker.zone()]--;
                }
            }
        }

        @Override public long believedStartMicros(DispatchPolicy.Backend worker) {
            return worker.startedAtMicros();
        }

        @Override public boolean refusesUnplaced(long now, DispatchPolicy.Request job) {
            return false;
        }

        @Override public void attemptSent(long now, DispatchPolicy.Request job, int attempt, DispatchPolicy.Backend worker, double work) { }

        @Override public void attemptEnded(long now, DispatchPolicy.Request job, int attempt, DispatchPolicy.Backend worker,
                DispatchPolicy.Outcome outcome, double ran) { }

        @Override public void backendResponded(long now, long worker) { }

        @Override public void startOverdue(long now, long worker) { }

        @Override public void probeEnded(long now, long worker, boolean answered, double slots) { }

        @Override public List<Long> runPeriodicCheck(long now) {
            return List.of();
        }

        @Override public String pollLogLine() {
            return null;
        }
    }

    /** The own zone while the list has a ready node there, then the others. */
    private static final class ListFailover extends NoLimits {
        ListFailover(int own, int zones) {
            super(own, zones);
        }

        @Override public int tierCount() {
            return 2;
        }

        @Override public int tierOf(int jobClass, int zone) {
            return zone == ownZone ? 0 : 1;
        }

        @Override public boolean isTierOpen(long now, DispatchPolicy.Request job, boolean repeatable, int tier) {
            return (tier == 0) == (readyByZone[ownZone] > 0);
        }

        @Override public boolean admits(long now, DispatchPolicy.Request job, boolean repeatable, int attempts,
                DispatchPolicy.Backend worker, double load, int tier) {
            return true;
        }
    }

    /**
     * As Envoy's documentation describes locality-weighted balancing: a zone of health h gets min(1, 1.4 h) of its own
     * traffic and the rest goes to the others; hosts with five failures in a row are ejected for 30 s times the number of
     * their ejections, at most 10% of them (at least one) at a time; under 50% of health in all, panic: all hosts are
     * used.
     */
    private static final class EnvoyLike extends NoLimits {
        private final Map<Long, int[]> failures = new HashMap<>();
        private final Map<Long, Long> ejectedUntil = new HashMap<>();
        private final UniformRandomProvider random;
        private final Map<Long, Boolean> staysHomeById = new HashMap<>();
        private final int[] maxReadyByZone;

        EnvoyLike(int own, int zones, UniformRandomProvider random) {
            super(own, zones);
            this.random = random;
            maxReadyByZone = new int[zones];
        }

        private double health(int zone) {
            maxReadyByZone[zone] = Math.max(maxReadyByZone[zone], readyByZone[zone]);
            long out = ejectedUntil.keySet().stream().filter(id -> zoneByReadyBackend.getOrDefault(id, -1) == zone).count();
            return maxReadyByZone[zone] == 0 ? 0 : (readyByZone[zone] - out) / (double) maxReadyByZone[zone];
        }

        @Override public int tierCount() {
            return 2;
        }

        @Override public int tierOf(int jobClass, int zone) {
            return zone == ownZone ? 0 : 1;
        }

        @Override public boolean isTierOpen(long now, DispatchPolicy.Request job, boolean repeatable, int tier) {
            boolean stays = staysHomeById.computeIfAbsent(job.id(), id -> random.nextDouble() < 1.4 * health(ownZone));
            return stays == (tier == 0);
        }

        @Override public boolean admits(long now, DispatchPolicy.Request job, boolean repeatable, int attempts,
                DispatchPolicy.Backend worker, double load, int tier) {
            double healthy = 0;
            for (int z = 0; z < zoneCount; z++) {
                healthy += health(z) / zoneCount;
            }
            return healthy < 0.5 || !ejectedUntil.containsKey(worker.id());
        }

        @Override public void attemptEnded(long now, DispatchPolicy.Request job, int attempt, DispatchPolicy.Backend worker,
                DispatchPolicy.Outcome outcome, double ran) {
            if (outcome == DispatchPolicy.Outcome.CANCELLED || outcome == DispatchPolicy.Outcome.MOOT) {
                return;
            }
            int[] state = failures.computeIfAbsent(worker.id(), id -> new int[2]);
            state[0] = outcome == DispatchPolicy.Outcome.SERVED || outcome == DispatchPolicy.Outcome.REJECTED ? 0 : state[0] + 1;
            if (state[0] >= 5 && !ejectedUntil.containsKey(worker.id())
                    && ejectedUntil.size() < Math.max(1, zoneByReadyBackend.size() / 10)) {
                state[1]++;
                state[0] = 0;
                ejectedUntil.put(worker.id(), now + 30_000_000L * state[1]);
            }
        }

        @Override public List<Long> runPeriodicCheck(long now) {
            ejectedUntil.values().removeIf(until -> until <= now);
            if (staysHomeById.size() > 100_000) {
                staysHomeById.clear();
            }
            return List.of();
        }
    }

}

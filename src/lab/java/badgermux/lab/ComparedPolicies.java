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

/** The policies that are compared: the real dispatch policy, each time with other zone limits. */
final class ComparedPolicies {
    private ComparedPolicies() { }

    /** Returns the factories of zone limits by name: the real ones, none, and two simpler methods for comparison. */
    static Map<String, BiFunction<DispatchPolicy.Settings, UniformRandomProvider, DispatchPolicy.ZoneLimits>> all(int zones) {
        Map<String, BiFunction<DispatchPolicy.Settings, UniformRandomProvider, DispatchPolicy.ZoneLimits>> all =
            new LinkedHashMap<>();
        all.put("zones", (s, random) -> new ZonePolicy(settings(s, zones)));
        all.put("off", (s, random) -> null);
        all.put("list failover", (s, random) -> new ListFailover(s.ownZone, zones));
        all.put("envoy-like", (s, random) -> new EnvoyLike(s.ownZone, zones, random));
        return all;
    }

    /** Returns zone settings that fit the settings of a dispatcher; system properties override some of them. */
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

    /** Limits nothing, and counts the ready backends of each zone. */
    private abstract static class NoLimits implements DispatchPolicy.ZoneLimits {
        final int ownZone;
        final int zoneCount;
        final Map<Long, Integer> zoneByReadyBackend = new HashMap<>();
        final int[] readyByZone;

        NoLimits(int ownZone, int zoneCount) {
            this.ownZone = ownZone;
            this.zoneCount = zoneCount;
            readyByZone = new int[zoneCount];
        }

        @Override public void backendsListed(long now, DispatchPolicy.ListUpdate update, List<DispatchPolicy.Backend> backends) {
            for (DispatchPolicy.Backend backend : backends) {
                boolean isReady = backend.state() == DispatchPolicy.BackendState.READY;
                boolean wasReady = zoneByReadyBackend.containsKey(backend.id());
                if (isReady && !wasReady) {
                    zoneByReadyBackend.put(backend.id(), backend.zone());
                    readyByZone[backend.zone()]++;
                } else if (!isReady && wasReady) {
                    zoneByReadyBackend.remove(backend.id());
                    readyByZone[backend.zone()]--;
                }
            }
        }

        @Override public long believedStartMicros(DispatchPolicy.Backend backend) {
            return backend.startedAtMicros();
        }

        @Override public boolean refusesUnplaced(long now, DispatchPolicy.Request request) {
            return false;
        }

        @Override public void attemptSent(long now, DispatchPolicy.Request request, int attempt, DispatchPolicy.Backend backend,
                double work) { }

        @Override public void attemptEnded(long now, DispatchPolicy.Request request, int attempt, DispatchPolicy.Backend backend,
                DispatchPolicy.Outcome outcome, double ran) { }

        @Override public void backendResponded(long now, long backend) { }

        @Override public void startOverdue(long now, long backend) { }

        @Override public void probeEnded(long now, long backend, boolean answered, double slots) { }

        @Override public List<Long> runPeriodicCheck(long now) {
            return List.of();
        }

        @Override public String pollLogLine() {
            return null;
        }
    }

    /** Uses the own zone while the backend list has a ready backend there, and the other zones otherwise. */
    private static final class ListFailover extends NoLimits {
        ListFailover(int ownZone, int zoneCount) {
            super(ownZone, zoneCount);
        }

        @Override public int tierCount() {
            return 2;
        }

        @Override public int tierOf(int classIndex, int zone) {
            return zone == ownZone ? 0 : 1;
        }

        @Override public boolean isTierOpen(long now, DispatchPolicy.Request request, boolean repeatable, int tier) {
            return (tier == 0) == (readyByZone[ownZone] > 0);
        }

        @Override public boolean admits(long now, DispatchPolicy.Request request, boolean repeatable, int attempts,
                DispatchPolicy.Backend backend, double load, int tier) {
            return true;
        }
    }

    /**
     * Locality-weighted balancing and outlier ejection as Envoy's documentation describes them. A zone of health h keeps
     * min(1, 1.4 h) of its own traffic, and the rest goes to the other zones. A host with five failures in a row is ejected
     * for 30 s times the number of its ejections; at most 10% of the hosts (at least one) are ejected at a time. Below 50%
     * of overall health (panic mode) all hosts are used.
     */
    private static final class EnvoyLike extends NoLimits {
        /** For each backend its failures in a row [0] and its number of ejections [1]. */
        private final Map<Long, int[]> failures = new HashMap<>();
        private final Map<Long, Long> ejectedUntil = new HashMap<>();
        private final UniformRandomProvider random;
        /** Whether a request is sent to the own zone, by request id; drawn once for each request. */
        private final Map<Long, Boolean> staysHomeById = new HashMap<>();
        private final int[] maxReadyByZone;

        EnvoyLike(int ownZone, int zoneCount, UniformRandomProvider random) {
            super(ownZone, zoneCount);
            this.random = random;
            maxReadyByZone = new int[zoneCount];
        }

        /** Returns the share of a zone's usual backends that are ready and not ejected. */
        private double health(int zone) {
            maxReadyByZone[zone] = Math.max(maxReadyByZone[zone], readyByZone[zone]);
            long ejected = ejectedUntil.keySet().stream().filter(id -> zoneByReadyBackend.getOrDefault(id, -1) == zone).count();
            return maxReadyByZone[zone] == 0 ? 0 : (readyByZone[zone] - ejected) / (double) maxReadyByZone[zone];
        }

        @Override public int tierCount() {
            return 2;
        }

        @Override public int tierOf(int classIndex, int zone) {
            return zone == ownZone ? 0 : 1;
        }

        @Override public boolean isTierOpen(long now, DispatchPolicy.Request request, boolean repeatable, int tier) {
            boolean staysHome = staysHomeById.computeIfAbsent(request.id(), id -> random.nextDouble() < 1.4 * health(ownZone));
            return staysHome == (tier == 0);
        }

        @Override public boolean admits(long now, DispatchPolicy.Request request, boolean repeatable, int attempts,
                DispatchPolicy.Backend backend, double load, int tier) {
            double healthy = 0;
            for (int z = 0; z < zoneCount; z++) {
                healthy += health(z) / zoneCount;
            }
            return healthy < 0.5 || !ejectedUntil.containsKey(backend.id());
        }

        @Override public void attemptEnded(long now, DispatchPolicy.Request request, int attempt, DispatchPolicy.Backend backend,
                DispatchPolicy.Outcome outcome, double ran) {
            if (outcome == DispatchPolicy.Outcome.CANCELLED || outcome == DispatchPolicy.Outcome.MOOT) {
                return;
            }
            int[] state = failures.computeIfAbsent(backend.id(), id -> new int[2]);
            state[0] = outcome == DispatchPolicy.Outcome.SERVED || outcome == DispatchPolicy.Outcome.REJECTED ? 0 : state[0] + 1;
            if (state[0] >= 5 && !ejectedUntil.containsKey(backend.id())
                    && ejectedUntil.size() < Math.max(1, zoneByReadyBackend.size() / 10)) {
                state[1]++;
                state[0] = 0;
                ejectedUntil.put(backend.id(), now + 30_000_000L * state[1]);
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

package badgermux.cordon;

import badgermux.decide.DispatchPolicy;
import badgermux.decide.DispatchPolicy.BackendState;
import java.util.HashMap;
import java.util.Map;

/**
 * The cordoned backends and the recent absences of others, by discovery's ids. A cordoned backend is shown as draining,
 * whatever the list says. Operators restart a backend while it is cordoned: after its return it counts as started at the
 * listed time if that is later than the cordon, and at its return until the list shows such a time. Times are microseconds
 * on the caller's clock.
 */
public final class Cordons {
    /** The times at which a backend was cordoned and at which it returned. */
    public record Absence(long cordonedAt, long returnedAt) { }

    private final Map<String, Long> cordoned = new HashMap<>();
    private final Map<String, Absence> absences = new HashMap<>();
    private final long warmUpMicros;
    /** Backends that started after this time are shown as draining. */
    private long drainStartedAfter = Long.MAX_VALUE;

    /** Creates an empty set. Absences that ended more than {@code warmUpMicros} ago no longer matter. */
    public Cordons(long warmUpMicros) {
        this.warmUpMicros = warmUpMicros;
    }

    /** Cordons a backend. Repeated calls change nothing, and a single {@link #uncordon} ends the cordon. */
    public void cordon(String id, long at) {
        cordoned.putIfAbsent(id, at);
    }

    /** Ends the cordon of a backend; does nothing if it is not cordoned. */
    public void uncordon(String id, long at) {
        Long cordonedAt = cordoned.remove(id);
        if (cordonedAt != null) {
            absences.values().removeIf(absence -> absence.returnedAt < at - warmUpMicros);
            absences.put(id, new Absence(cordonedAt, at));
        }
    }

    /** Adds an absence that ended before this process started. */
    public void recordAbsence(String id, Absence absence) {
        absences.put(id, absence);
    }

    public boolean isCordoned(String id) {
        return cordoned.containsKey(id);
    }

    /** Returns when a backend was cordoned; 0 if it is not. */
    public long cordonedSince(String id) {
        return cordoned.getOrDefault(id, 0L);
    }

    /** Returns the cordoned backends and the time at which each was cordoned. */
    public Map<String, Long> cordoned() {
        return Map.copyOf(cordoned);
    }

    /** Returns the absences of backends that have returned and may still be cold. */
    public Map<String, Absence> absences() {
        return Map.copyOf(absences);
    }

    /** Replaces the contents by those of the previous process. */
    public void replaceAll(Map<String, Long> newCordoned, Map<String, Absence> newAbsences) {
        cordoned.clear();
        absences.clear();
        cordoned.putAll(newCordoned);
        absences.putAll(newAbsences);
    }

    /**
     * Shows all backends that are cold at a time as draining, because another process uses their warm-up budget from then on.
     * {@link Long#MAX_VALUE} ends this.
     */
    public void drainCold(long now) {
        drainStartedAfter = now == Long.MAX_VALUE ? now : now - warmUpMicros;
    }

    /** Returns a listed backend with its cordon or its last absence applied, as the dispatch policy is to see it. */
    public DispatchPolicy.Backend applyTo(String id, DispatchPolicy.Backend listed) {
        Absence absence = absences.get(id);
        long startedAtMicros = absence == null || listed.startedAtMicros() > absence.cordonedAt ? listed.startedAtMicros()
            : absence.returnedAt;
        boolean shownAsDraining = (cordoned.containsKey(id) || startedAtMicros > drainStartedAfter)
            && listed.state() == BackendState.READY;
        if (!shownAsDraining && startedAtMicros == listed.startedAtMicros()) {
            return listed;
        }
        return new DispatchPolicy.Backend(listed.id(), listed.zone(), listed.kind(), listed.cell(),
            shownAsDraining ? BackendState.DRAINING : listed.state(), startedAtMicros);
    }
}

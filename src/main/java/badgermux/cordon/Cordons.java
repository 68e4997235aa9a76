package badgermux.cordon;

import badgermux.decide.DispatchPolicy;
import badgermux.decide.DispatchPolicy.BackendState;
import java.util.HashMap;
import java.util.Map;

/**
 * The runners that are cordoned, by discovery's ids, and when those came back that did. One that is out is seen as
 * draining, whatever the list says of it. Operators restart a runner while it is out: one that has come back counts as
 * started when the list says so, if that is since it was taken out, and as started at its return until then. Times are
 * microseconds on one clock, which the caller gives.
 */
public final class Cordons {
    /** When a runner was taken out, and when it came back. */
    public record Absence(long cordonedAt, long returnedAt) { }

    private final Map<String, Long> cordoned = new HashMap<>();
    private final Map<String, Absence> absences = new HashMap<>();
    private final long warmUpMicros;
    /** Runners that started after this are seen as draining. */
    private long drainStartedAfter = Long.MAX_VALUE;

    /** An empty set; a runner that came back longer ago than {@code coldFor} is as any other. */
    public Cordons(long coldFor) {
        this.warmUpMicros = coldFor;
    }

    /** Takes a runner out; one that is out already stays so, and one call puts it back. */
    public void cordon(String id, long at) {
        cordoned.putIfAbsent(id, at);
    }

    /** Puts a runner back at a time; nothing happens to one that is not out. */
    public void uncordon(String id, long at) {
        Long from = cordoned.remove(id);
        if (from != null) {
            absences.values().removeIf(absence -> absence.returnedAt < at - warmUpMicros);
            absences.put(id, new Absence(from, at));
        }
    }

    /** A runner that came back before we knew of it. */
    public void recordAbsence(String id, Absence absence) {
        absences.put(id, absence);
    }

    /** Whether a runner is out. */
    public boolean isCordoned(String id) {
        return cordoned.containsKey(id);
    }

    /** When a runner was taken out; 0 for one that is not. */
    public long cordonedSince(String id) {
        return cordoned.getOrDefault(id, 0L);
    }

    /** All that are out, and since when. */
    public Map<String, Long> cordoned() {
        return Map.copyOf(cordoned);
    }

    /** When runners were away, of those back that may still be cold. */
    public Map<String, Absence> absences() {
        return Map.copyOf(absences);
    }

    /** Forgets all, and goes by what the process before this one held. */
    public void replaceAll(Map<String, Long> nowOut, Map<String, Absence> cameBack) {
        cordoned.clear();
        absences.clear();
        cordoned.putAll(nowOut);
        absences.putAll(cameBack);
    }

    /**
     * Has all runners that are cold at a time seen as draining: another process spends their budget from here on.
     * {@link Long#MAX_VALUE} ends it.
     */
    public void drainCold(long now) {
        drainStartedAfter = now == Long.MAX_VALUE ? now : now - warmUpMicros;
    }

    /** A runner of the list as the module is to see it. */
    public DispatchPolicy.Backend applyTo(String id, DispatchPolicy.Backend listed) {
        Absence absence = absences.get(id);
        long started = absence == null || listed.startedAtMicros() > absence.cordonedAt ? listed.startedAtMicros() : absence.returnedAt;
        boolean banned = (cordoned.containsKey(id) || started > drainStartedAfter) && listed.state() == BackendState.READY;
        if (!banned && started == listed.startedAtMicros()) {
            return listed;
        }
        return new DispatchPolicy.Backend(listed.id(), listed.zone(), listed.kind(), listed.cell(),
            banned ? BackendState.DRAINING : listed.state(), started);
    }
}

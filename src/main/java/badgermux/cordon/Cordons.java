package badgermux.cordon;

import badgermux.decide.Dispatch;
import badgermux.decide.Dispatch.WorkerState;
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
    public record Absence(long from, long to) { }

    private final Map<String, Long> out = new HashMap<>();
    private final Map<String, Absence> back = new HashMap<>();
    private final long coldFor;
    /** Runners that started after this are seen as draining. */
    private long restSince = Long.MAX_VALUE;

    /** An empty set; a runner that came back longer ago than {@code coldFor} is as any other. */
    public Cordons(long coldFor) {
        this.coldFor = coldFor;
    }

    /** Takes a runner out; one that is out already stays so, and one call puts it back. */
    public void takeOut(String id, long at) {
        out.putIfAbsent(id, at);
    }

    /** Puts a runner back at a time; nothing happens to one that is not out. */
    public void putBack(String id, long at) {
        Long from = out.remove(id);
        if (from != null) {
            back.values().removeIf(absence -> absence.to < at - coldFor);
            back.put(id, new Absence(from, at));
        }
    }

    /** A runner that came back before we knew of it. */
    public void cameBack(String id, Absence absence) {
        back.put(id, absence);
    }

    /** Whether a runner is out. */
    public boolean isOut(String id) {
        return out.containsKey(id);
    }

    /** When a runner was taken out; 0 for one that is not. */
    public long outSince(String id) {
        return out.getOrDefault(id, 0L);
    }

    /** All that are out, and since when. */
    public Map<String, Long> out() {
        return Map.copyOf(out);
    }

    /** When runners were away, of those back that may still be cold. */
    public Map<String, Absence> back() {
        return Map.copyOf(back);
    }

    /** Forgets all, and goes by what the process before this one held. */
    public void become(Map<String, Long> nowOut, Map<String, Absence> cameBack) {
        out.clear();
        back.clear();
        out.putAll(nowOut);
        back.putAll(cameBack);
    }

    /**
     * Has all runners that are cold at a time seen as draining: another process spends their budget from here on.
     * {@link Long#MAX_VALUE} ends it.
     */
    public void restCold(long now) {
        restSince = now == Long.MAX_VALUE ? now : now - coldFor;
    }

    /** A runner of the list as the module is to see it. */
    public Dispatch.Worker seen(String id, Dispatch.Worker listed) {
        Absence absence = back.get(id);
        long started = absence == null || listed.startedAt() > absence.from ? listed.startedAt() : absence.to;
        boolean banned = (out.containsKey(id) || started > restSince) && listed.state() == WorkerState.READY;
        if (!banned && started == listed.startedAt()) {
            return listed;
        }
        return new Dispatch.Worker(listed.id(), listed.zone(), listed.kind(), listed.cell(),
            banned ? WorkerState.DRAINING : listed.state(), started);
    }
}

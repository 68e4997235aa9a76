package badgermux.hand;

import badgermux.decide.Dispatch;
import badgermux.decide.Dispatch.WorkerState;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The runners that are out by hand, by the director's ids, and when those came back that did. One that is out is seen as
 * draining, whatever the list says of it; one that has come back as started at that moment, since operators restart a
 * runner while it is out. Times are microseconds on one clock, which the caller gives.
 */
public final class Hands {
    private final Set<String> out = new HashSet<>();
    private final Map<String, Long> back = new HashMap<>();
    private final long coldFor;
    /** Runners that started after this are seen as draining. */
    private long restSince = Long.MAX_VALUE;

    /** An empty set; a runner that came back longer ago than {@code coldFor} is as any other. */
    public Hands(long coldFor) {
        this.coldFor = coldFor;
    }

    /** Takes a runner out; one that is out already stays so, and one call puts it back. */
    public void takeOut(String id) {
        out.add(id);
    }

    /** Puts a runner back at a time; nothing happens to one that is not out. */
    public void putBack(String id, long at) {
        if (out.remove(id)) {
            back.values().removeIf(then -> then < at - coldFor);
            back.put(id, at);
        }
    }

    /** A runner that came back before we knew of it; the latest time counts. */
    public void cameBack(String id, long at) {
        back.merge(id, at, Math::max);
    }

    /** Whether a runner is out. */
    public boolean isOut(String id) {
        return out.contains(id);
    }

    /** All that are out. */
    public Set<String> out() {
        return Set.copyOf(out);
    }

    /** When runners came back, of those that may still be cold. */
    public Map<String, Long> back() {
        return Map.copyOf(back);
    }

    /** Forgets all, and goes by what the process before this one held. */
    public void become(Set<String> nowOut, Map<String, Long> cameBack) {
        out.clear();
        back.clear();
        out.addAll(nowOut);
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
        long started = Math.max(listed.startedAt(), back.getOrDefault(id, 0L));
        boolean banned = (out.contains(id) || started > restSince) && listed.state() == WorkerState.READY;
        if (!banned && started == listed.startedAt()) {
            return listed;
        }
        return new Dispatch.Worker(listed.id(), listed.zone(), listed.kind(), listed.cell(),
            banned ? WorkerState.DRAINING : listed.state(), started);
    }
}

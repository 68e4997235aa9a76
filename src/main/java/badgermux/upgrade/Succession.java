package badgermux.upgrade;

/**
 * What a new process knows of the one before it, and whether that one may be ended. Pure: times in microseconds and news
 * come in. Without a process before it, it is ready by itself.
 */
public final class Succession {
    /** So long the jobs of the process before are waited for, from when this one serves. */
    public static final long PATIENCE = 3_500_000;

    private boolean linked;
    private long servingSince = Long.MAX_VALUE;
    /** Jobs open at the process before, as told since this one serves; -1 before that. */
    private int before = -1;

    /** There is a process before this one. */
    public void linked() {
        linked = true;
    }

    /** This process serves from now on. */
    public void serving(long now) {
        servingSince = Math.min(servingSince, now);
    }

    /** Whether this process has begun to serve. */
    public boolean isServing() {
        return servingSince != Long.MAX_VALUE;
    }

    /** The process before has handed over and tells how many of its jobs are open. */
    public void open(int jobs) {
        before = isServing() ? jobs : -1;
    }

    /** The process before has ended, or is given up. */
    public void lost() {
        linked = false;
    }

    /** Whether there is a process before this one. */
    public boolean isLinked() {
        return linked;
    }

    /** Why the process before may not be ended yet; null where it may. */
    public String notYet(long now) {
        if (!linked || isServing() && (before == 0 || now - servingSince >= PATIENCE)) {
            return null;
        }
        return isServing() ? "serving, but the process before this one still has " + (before < 0 ? "" : before + " ")
            + "jobs to answer" : "the process before this one has not handed over yet";
    }
}

package badgermux.upgrade;

/**
 * What a new process knows of the one before it, and whether that one may be ended. Pure: times in microseconds and news
 * come in. Without a process before it, it is ready by itself.
 */
public final class HandoverReadiness {
    /** The yes is due 6 s after a process's start: so long at most the jobs of the process before are waited for. */
    public static final long YES_BY = 4_800_000;

    private boolean linked;
    private boolean serving;
    private boolean handedOver;
    private long yesBy;
    /** Jobs open at the process before, as told since it has handed over; -1 before that. */
    private int before = -1;

    /** There is a process before this one, which was started at a time. */
    public void linked(long startedAt) {
        linked = true;
        yesBy = startedAt + YES_BY;
    }

    /** This process serves from now on. */
    public void serving() {
        serving = true;
    }

    /** Whether this process has begun to serve. */
    public boolean isServing() {
        return serving;
    }

    /** The process before has heard that this one serves: it takes no new jobs from here on. */
    public void handedOver() {
        handedOver = true;
    }

    /** The process before tells how many of its jobs are open. */
    public void open(int jobs) {
        // Guards against a figure that was on its way when this process began to serve: jobs may have come since.
        before = handedOver ? jobs : -1;
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
        if (!linked || serving && (before == 0 || now >= yesBy)) {
            return null;
        }
        return serving ? "serving, but the process before this one still has " + (before < 0 ? "" : before + " ")
            + "jobs to answer" : "the process before this one has not handed over yet";
    }
}

package badgermux.upgrade;

/**
 * What a new process knows of the one before it, and whether that one may be ended. Pure: times in microseconds and news
 * come in. Without a process before it, it is ready by itself.
 */
public final class HandoverReadiness {
    /** The yes is due 6 s after a process's start: so long at most the jobs of the process before are waited for. */
    public static final long MAX_WAIT_MICROS = 4_800_000;

    private boolean previousConnected;
    private boolean servingStarted;
    private boolean previousHandedOver;
    private long waitUntilMicros;
    /** Jobs open at the process before, as told since it has handed over; -1 before that. */
    private int previousOpenRequests = -1;

    /** There is a process before this one, which was started at a time. */
    public void previousConnected(long startedAt) {
        previousConnected = true;
        waitUntilMicros = startedAt + MAX_WAIT_MICROS;
    }

    /** This process serves from now on. */
    public void servingStarted() {
        servingStarted = true;
    }

    /** Whether this process has begun to serve. */
    public boolean isServing() {
        return servingStarted;
    }

    /** The process before has heard that this one serves: it takes no new jobs from here on. */
    public void previousHandedOver() {
        previousHandedOver = true;
    }

    /** The process before tells how many of its jobs are open. */
    public void previousReportsOpen(int jobs) {
        // Guards against a figure that was on its way when this process began to serve: jobs may have come since.
        previousOpenRequests = previousHandedOver ? jobs : -1;
    }

    /** The process before has ended, or is given up. */
    public void previousDisconnected() {
        previousConnected = false;
    }

    /** Whether there is a process before this one. */
    public boolean hasPrevious() {
        return previousConnected;
    }

    /** Why the process before may not be ended yet; null where it may. */
    public String blockedReason(long now) {
        if (!previousConnected || servingStarted && (previousOpenRequests == 0 || now >= waitUntilMicros)) {
            return null;
        }
        return servingStarted ? "serving, but the process before this one still has " + (previousOpenRequests < 0 ? "" : previousOpenRequests + " ")
            + "jobs to answer" : "the process before this one has not handed over yet";
    }
}

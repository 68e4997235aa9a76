package badgermux.upgrade;

/**
 * Tracks a handover in the new process and decides when the previous process may be stopped. Without a previous process the
 * new one is ready at once. Pure: it does no I/O, and the caller passes in events and times in microseconds.
 */
public final class HandoverReadiness {
    /**
     * How long after its start this process waits, at most, until the previous one has answered its open requests. This
     * process has to be ready within 6 s after its start.
     */
    public static final long MAX_WAIT_MICROS = 4_800_000;

    private boolean previousConnected;
    private boolean servingStarted;
    private boolean previousHandedOver;
    private long waitUntilMicros;
    /** Open requests of the previous process, as reported since it handed over; -1 before that. */
    private int previousOpenRequests = -1;

    /** Records that a previous process is connected; {@code startedAtMicros} is when this process was started. */
    public void previousConnected(long startedAtMicros) {
        previousConnected = true;
        waitUntilMicros = startedAtMicros + MAX_WAIT_MICROS;
    }

    /** Records that this process serves from now on. */
    public void servingStarted() {
        servingStarted = true;
    }

    /** Whether this process has started to serve. */
    public boolean isServing() {
        return servingStarted;
    }

    /** Records that the previous process knows that this one serves: the previous one accepts no requests from here on. */
    public void previousHandedOver() {
        previousHandedOver = true;
    }

    /** Records how many open requests the previous process reports. */
    public void previousReportsOpen(int requests) {
        // A number sent before the handover is ignored: the previous process may have accepted requests since.
        previousOpenRequests = previousHandedOver ? requests : -1;
    }

    /** Records that the previous process has ended or that its link was closed. */
    public void previousDisconnected() {
        previousConnected = false;
    }

    /** Whether a previous process is connected. */
    public boolean hasPrevious() {
        return previousConnected;
    }

    /** Returns why the previous process must not be stopped yet; null where it may be. */
    public String blockedReason(long nowMicros) {
        if (!previousConnected || servingStarted && (previousOpenRequests == 0 || nowMicros >= waitUntilMicros)) {
            return null;
        }
        return servingStarted ? "serving, but the process before this one still has "
            + (previousOpenRequests < 0 ? "" : previousOpenRequests + " ") + "jobs to answer"
            : "the process before this one has not handed over yet";
    }
}

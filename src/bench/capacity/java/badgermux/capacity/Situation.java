package badgermux.capacity;

/** A situation for which demands are computed. */
public enum Situation {
    /** The average load of a day, with the target's number of running tasks. */
    AVERAGE_DAY("target"),
    /** The peak rate of task starts. */
    PEAK_STARTS("peak"),
    /** One machine fails under the average load. */
    MACHINE_FAILURE("one machine"),
    /** A rack fails under the average load. */
    RACK_FAILURE("rack"),
    /** A zone fails under the average load. */
    ZONE_FAILURE("zone"),
    /**
     * A region is cut off for ten minutes, as seen by a dispatcher outside that region: discovery removes the region's
     * backends from the list.
     */
    REGION_CUT_OFF("region cut off"),
    /** All dispatchers restart at once under the average load. */
    FULL_RESTART("all restarted");

    private final String label;

    Situation(String label) {
        this.label = label;
    }

    /** The name of the situation on the page. */
    public String label() {
        return label;
    }
}

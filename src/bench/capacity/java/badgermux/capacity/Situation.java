package badgermux.capacity;

/** What happens while a demand is worked out. */
public enum Situation {
    /** The mean of a day; tasks running as in the target. */
    AVERAGE_DAY("target"),
    /** The peak of task starts. */
    PEAK_STARTS("peak"),
    /** One machine fails, beside the mean of a day. */
    MACHINE_FAILURE("one machine"),
    /** A rack fails, beside the mean of a day. */
    RACK_FAILURE("rack"),
    /** A zone fails, beside the mean of a day. */
    ZONE_FAILURE("zone"),
    /** A region is cut off for ten minutes: seen from a dispatcher outside, to which discovery tells its workers gone. */
    REGION_CUT_OFF("region cut off"),
    /** All dispatchers are restarted at once, beside the mean of a day. */
    FULL_RESTART("all restarted");

    private final String label;

    Situation(String label) {
        this.label = label;
    }

    /** Its name on the page. */
    public String label() {
        return label;
    }
}

package badgermux.capacity;

/** What happens while a demand is worked out. */
public enum Situation {
    /** The mean of a day; tasks running as in the target. */
    TARGET("target"),
    /** The peak of task starts. */
    PEAK("peak"),
    /** One machine fails, beside the mean of a day. */
    MACHINE("one machine"),
    /** A rack fails, beside the mean of a day. */
    RACK("rack"),
    /** A zone fails, beside the mean of a day. */
    ZONE("zone"),
    /** A region is cut off for ten minutes: seen from a dispatcher outside, to which discovery tells its workers gone. */
    REGION("region cut off"),
    /** All dispatchers are restarted at once, beside the mean of a day. */
    RESTART("all restarted");

    private final String label;

    Situation(String label) {
        this.label = label;
    }

    /** Its name on the page. */
    public String label() {
        return label;
    }
}

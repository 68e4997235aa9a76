package badgermux.contract;

import java.util.List;

/**
 * What a judgement says of a message.
 *
 * @param status      0 where it conforms; else the HTTP status of its refusal
 * @param faults      why not, at most {@link #MAX_FAULTS}
 * @param allow       for 405 the methods that the path has, for 415 the media types that it takes; else empty
 * @param description the description that says so; empty where no description has the path
 */
public record Verdict(int status, List<Fault> faults, String allow, String description) {
    /** More faults than these are not told. */
    public static final int MAX_FAULTS = 8;
    /** The message may pass. */
    public static final Verdict CONFORMS = new Verdict(0, List.of(), "", "");

    public Verdict {
        faults = faults.size() <= MAX_FAULTS ? List.copyOf(faults) : List.copyOf(faults.subList(0, MAX_FAULTS));
    }

    static Verdict refused(int status, String description, Fault... faults) {
        return new Verdict(status, List.of(faults), "", description);
    }

    public boolean conforms() {
        return status == 0;
    }
}

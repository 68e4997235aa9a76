package badgermux.contract;

import java.util.List;

/**
 * What a judgement says of a message.
 *
 * @param status      0 where it conforms; else the HTTP status of its refusal
 * @param faults      why not, at most {@link #MAX_FAULTS}
 * @param allowed       for 405 the methods that the path has, for 415 the media types that it takes; else empty
 * @param description the description that says so; empty where no description has the path
 */
public record ValidationResult(int status, List<Fault> faults, String allowed, String description) {
    /** More faults than these are not told. */
    public static final int MAX_FAULTS = 8;
    /** The message may pass. */
    public static final ValidationResult CONFORMS = new ValidationResult(0, List.of(), "", "");

    public ValidationResult {
        faults = faults.size() <= MAX_FAULTS ? List.copyOf(faults) : List.copyOf(faults.subList(0, MAX_FAULTS));
    }

    static ValidationResult refused(int status, String description, Fault... faults) {
        return new ValidationResult(status, List.of(faults), "", description);
    }

    public boolean conforms() {
        return status == 0;
    }
}

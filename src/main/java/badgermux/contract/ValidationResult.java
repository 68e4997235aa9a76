package badgermux.contract;

import java.util.List;

/**
 * The result of validating a message.
 *
 * @param status      0 if the message conforms, else the HTTP status of the refusal
 * @param faults      the reasons of the refusal; only the first {@link #MAX_FAULTS} are kept
 * @param allowed     for 405 the methods of the path, for 415 the supported media types; empty otherwise
 * @param description the name of the description that was applied; empty if none has the path
 */
public record ValidationResult(int status, List<Fault> faults, String allowed, String description) {
    public static final int MAX_FAULTS = 8;
    /** The result for a message that conforms. */
    public static final ValidationResult CONFORMS = new ValidationResult(0, List.of(), "", "");

    public ValidationResult {
        faults = faults.size() <= MAX_FAULTS ? List.copyOf(faults) : List.copyOf(faults.subList(0, MAX_FAULTS));
    }

    static ValidationResult refused(int status, String description, Fault... faults) {
        return new ValidationResult(status, List.of(faults), "", description);
    }

    /** Whether the message conforms. */
    public boolean conforms() {
        return status == 0;
    }
}

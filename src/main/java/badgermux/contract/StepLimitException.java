package badgermux.contract;

/** Thrown if a validation exceeds its step limit, and it is not known whether the message conforms. */
public final class StepLimitException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    StepLimitException() {
        super("the judgement takes more steps than it may", null, false, false);
    }
}

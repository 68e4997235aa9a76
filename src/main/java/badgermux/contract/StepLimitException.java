package badgermux.contract;

/** A judgement took more steps than it may: nothing is known of the message. */
public final class StepLimitException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    StepLimitException() {
        super("the judgement takes more steps than it may", null, false, false);
    }
}

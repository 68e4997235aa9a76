package badgermux.sim;

/** Input that does not follow the wire's page; the message says where. */
final class MalformedInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedInputException(String message) {
        super(message);
    }
}

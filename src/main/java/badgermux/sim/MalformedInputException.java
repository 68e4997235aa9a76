package badgermux.sim;

/** Thrown when the input violates the simulator protocol; the message says where. */
final class MalformedInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedInputException(String message) {
        super(message);
    }
}

package badgermux.http;

/** Thrown for a message that violates the protocol or a limit. A client gets {@link #status} and the text as its response. */
public final class InvalidMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    private final int status;

    /** Creates an exception without a stack trace. */
    public InvalidMessageException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }

    /** Returns the status of the response to a client. */
    public int status() {
        return status;
    }
}

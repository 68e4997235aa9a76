package badgermux.http;

/** A message that breaks the protocol or a bound; {@link #status} is what a client is answered. */
public final class InvalidMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    private final int status;

    public InvalidMessageException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }

    public int status() {
        return status;
    }
}

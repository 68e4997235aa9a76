package badgermux.operator;

/** A snapshot that can't be used; the message says why in one line. */
public final class SnapshotException extends Exception {
    private static final long serialVersionUID = 1L;

    public SnapshotException(String message) {
        super(message);
    }
}

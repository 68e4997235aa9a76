package badgermux.operator;

/** Thrown for a snapshot that can't be used; the message gives the reason in one line. */
public final class SnapshotException extends Exception {
    private static final long serialVersionUID = 1L;

    public SnapshotException(String message) {
        super(message);
    }
}

package badgermux.operator;

/**
 * Thrown for a change that was not written because the stored snapshot is not the one that the change builds on, or can't be
 * compared with it; the message gives the reason in one line. Neither the file nor the settings in force have changed.
 */
public final class SnapshotConflictException extends Exception {
    private static final long serialVersionUID = 1L;

    public SnapshotConflictException(String message) {
        super(message);
    }
}

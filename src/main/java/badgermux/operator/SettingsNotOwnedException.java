package badgermux.operator;

/** Thrown for a change of settings at a process that does not own them; nothing has changed. The message gives the reason. */
public final class SettingsNotOwnedException extends Exception {
    private static final long serialVersionUID = 1L;

    public SettingsNotOwnedException(String message) {
        super(message);
    }
}

package badgermux.contract;

/** Thrown if text can't be parsed or exceeds a limit. */
final class SyntaxException extends Exception {
    private static final long serialVersionUID = 1L;

    private final int line;

    SyntaxException(int line, String reason) {
        super(reason, null, false, false);
        this.line = line;
    }

    /** Returns the line of the error, counted from 1; 0 if it is not known. */
    int line() {
        return line;
    }
}

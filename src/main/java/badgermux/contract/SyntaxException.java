package badgermux.contract;

/** Text that is no JSON or YAML, or passes a bound; {@link #line} counts from 1, 0 where it is not known. */
final class SyntaxException extends Exception {
    private static final long serialVersionUID = 1L;

    private final int line;

    SyntaxException(int line, String reason) {
        super(reason, null, false, false);
        this.line = line;
    }

    int line() {
        return line;
    }
}

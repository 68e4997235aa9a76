package badgermux.contract;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown if a description can't be used, with at least one problem. */
public final class DescriptionException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * One reason why a description can't be used.
     *
     * @param document the name of the document
     * @param line     the line in the document, counted from 1; 0 if it is not known
     * @param pointer  the JSON pointer of the value at fault; empty for the whole document
     * @param reason   the problem in one sentence without a full stop
     */
    public record Problem(String document, int line, String pointer, String reason) {
        /** Returns {@code document:line: reason}, the common format of compiler messages. */
        @Override public String toString() {
            return document + ':' + line + ": " + reason + (pointer.isEmpty() ? "" : " (at " + pointer + ')');
        }
    }

    private final transient List<Problem> problems;

    public DescriptionException(List<Problem> problems) {
        super(problems.stream().map(Problem::toString).collect(Collectors.joining("\n")), null, false, false);
        this.problems = List.copyOf(problems);
    }

    public DescriptionException(Problem problem) {
        this(List.of(problem));
    }

    public List<Problem> problems() {
        return problems;
    }
}

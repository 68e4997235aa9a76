package badgermux.contract;

import java.util.List;
import java.util.stream.Collectors;

/** A description that can't be used; {@link #problems} holds one entry or more, each with its place. */
public final class DescriptionException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * One reason.
     *
     * @param document the document's name
     * @param line     the line in it, counted from 1; 0 where no line can be named
     * @param pointer  the JSON pointer of the part at fault; empty for the whole
     * @param reason   what is wrong, in one sentence without its full stop
     */
    public record Problem(String document, int line, String pointer, String reason) {
        /** {@code document:line: reason}, the form that compilers use. */
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

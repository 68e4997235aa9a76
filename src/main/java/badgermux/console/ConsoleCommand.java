package badgermux.console;

import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * A call as its line says it.
 *
 * @param verb what is asked
 * @param argument   the runner it is asked of; null where none is
 */
public record ConsoleCommand(Verb verb, String argument) {
    /** What may be asked. */
    public enum Verb {
        HEALTH(false), DUMP(false), OFFLINE(true), ONLINE(true),
        /** From the next process of this dispatcher; in place of an id there is the secret that this one wrote down. */
        TAKEOVER(true);

        private final boolean takesArgument;

        Verb(boolean ofRunner) {
            this.takesArgument = ofRunner;
        }
    }

    /** A line that is no call; the message is the reason, in one line of plain text. */
    public static final class MalformedCommandException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedCommandException(String reason) {
            super(reason);
        }
    }

    /** The longest line in bytes, its end not counted. */
    public static final int MAX_LINE_BYTES = 256;
    /** The longest id of a runner. */
    public static final int MAX_ID_CHARS = 128;

    /**
     * Reads a line without its end. Words may come in small letters too; blanks around and between them don't count.
     *
     * @throws MalformedCommandException where it is too long or not plain ASCII, begins with no known word, or has an argument too many or
     *     too few
     */
    public static ConsoleCommand parse(byte[] line) throws MalformedCommandException {
        if (line.length > MAX_LINE_BYTES) {
            throw new MalformedCommandException("the line is longer than " + MAX_LINE_BYTES + " bytes");
        }
        for (byte b : line) {
            if (b < ' ' && b != '\t' || b == 127) {
                throw new MalformedCommandException("the line holds bytes that are no plain text");
            }
        }
        String[] parts = new String(line, StandardCharsets.US_ASCII).strip().split("[ \t]+");
        Verb word = verb(parts[0]);
        if (parts.length > (word.takesArgument ? 2 : 1)) {
            throw new MalformedCommandException(word + " has an argument too many");
        }
        if (parts.length < (word.takesArgument ? 2 : 1)) {
            throw new MalformedCommandException(word + " needs " + (word == Verb.TAKEOVER ? "a secret" : "the id of a runner"));
        }
        String id = word.takesArgument ? parts[1] : null;
        if (id != null && id.length() > MAX_ID_CHARS) {
            throw new MalformedCommandException("no runner has an id of more than " + MAX_ID_CHARS + " characters");
        }
        return new ConsoleCommand(word, id);
    }

    private static Verb verb(String text) throws MalformedCommandException {
        for (Verb word : Verb.values()) {
            if (word.name().equals(text.toUpperCase(Locale.ROOT))) {
                return word;
            }
        }
        throw new MalformedCommandException("the calls are HEALTH, DUMP, OFFLINE ID and ONLINE ID");
    }
}

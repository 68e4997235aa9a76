package badgermux.console;

import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * A command of the console's line protocol.
 *
 * @param verb     the verb
 * @param argument the id of a backend, or the secret of TAKEOVER; null where the verb takes none
 */
public record ConsoleCommand(Verb verb, String argument) {
    /** The first word of a line. */
    public enum Verb {
        HEALTH(false), DUMP(false), OFFLINE(true), ONLINE(true),
        /** Sent by the next process of this dispatcher, with the secret from the file that this process wrote. */
        TAKEOVER(true);

        private final boolean takesArgument;

        Verb(boolean takesArgument) {
            this.takesArgument = takesArgument;
        }
    }

    /** Thrown for a line that is not a command; the message, one line of ASCII text, is sent as the reply. */
    public static final class MalformedCommandException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedCommandException(String reason) {
            super(reason);
        }
    }

    /** The length limit of a line, without its line end. */
    public static final int MAX_LINE_BYTES = 256;
    /** The length limit of a backend's id. */
    public static final int MAX_ID_CHARS = 128;

    /**
     * Parses a line without its line end. Verbs are case-insensitive; blanks may surround and separate the words.
     *
     * @throws MalformedCommandException if the line is too long or not printable ASCII, the verb is unknown, or the number of
     *     arguments is wrong
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
        Verb verb = parseVerb(parts[0]);
        if (parts.length > (verb.takesArgument ? 2 : 1)) {
            throw new MalformedCommandException(verb + " has an argument too many");
        }
        if (parts.length < (verb.takesArgument ? 2 : 1)) {
            throw new MalformedCommandException(verb + " needs " + (verb == Verb.TAKEOVER ? "a secret" : "the id of a runner"));
        }
        String argument = verb.takesArgument ? parts[1] : null;
        if (argument != null && argument.length() > MAX_ID_CHARS) {
            throw new MalformedCommandException("no runner has an id of more than " + MAX_ID_CHARS + " characters");
        }
        return new ConsoleCommand(verb, argument);
    }

    private static Verb parseVerb(String text) throws MalformedCommandException {
        for (Verb verb : Verb.values()) {
            if (verb.name().equals(text.toUpperCase(Locale.ROOT))) {
                return verb;
            }
        }
        throw new MalformedCommandException("the calls are HEALTH, DUMP, OFFLINE ID and ONLINE ID");
    }
}

package badgermux.console;

import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * A call as its line says it.
 *
 * @param word what is asked
 * @param id   the runner it is asked of; null where none is
 */
public record ConsoleCommand(Word word, String id) {
    /** What may be asked. */
    public enum Word {
        HEALTH(false), DUMP(false), OFFLINE(true), ONLINE(true),
        /** From the next process of this dispatcher; in place of an id there is the secret that this one wrote down. */
        TAKEOVER(true);

        private final boolean ofRunner;

        Word(boolean ofRunner) {
            this.ofRunner = ofRunner;
        }
    }

    /** A line that is no call; the message is the reason, in one line of plain text. */
    public static final class MalformedCommand extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedCommand(String reason) {
            super(reason);
        }
    }

    /** The longest line in bytes, its end not counted. */
    public static final int MAX_LINE = 256;
    /** The longest id of a runner. */
    public static final int MAX_ID = 128;

    /**
     * Reads a line without its end. Words may come in small letters too; blanks around and between them don't count.
     *
     * @throws MalformedCommand where it is too long or not plain ASCII, begins with no known word, or has an argument too many or
     *     too few
     */
    public static ConsoleCommand parse(byte[] line) throws MalformedCommand {
        if (line.length > MAX_LINE) {
            throw new MalformedCommand("the line is longer than " + MAX_LINE + " bytes");
        }
        for (byte b : line) {
            if (b < ' ' && b != '\t' || b == 127) {
                throw new MalformedCommand("the line holds bytes that are no plain text");
            }
        }
        String[] parts = new String(line, StandardCharsets.US_ASCII).strip().split("[ \t]+");
        Word word = word(parts[0]);
        if (parts.length > (word.ofRunner ? 2 : 1)) {
            throw new MalformedCommand(word + " has an argument too many");
        }
        if (parts.length < (word.ofRunner ? 2 : 1)) {
            throw new MalformedCommand(word + " needs " + (word == Word.TAKEOVER ? "a secret" : "the id of a runner"));
        }
        String id = word.ofRunner ? parts[1] : null;
        if (id != null && id.length() > MAX_ID) {
            throw new MalformedCommand("no runner has an id of more than " + MAX_ID + " characters");
        }
        return new ConsoleCommand(word, id);
    }

    private static Word word(String text) throws MalformedCommand {
        for (Word word : Word.values()) {
            if (word.name().equals(text.toUpperCase(Locale.ROOT))) {
                return word;
            }
        }
        throw new MalformedCommand("the calls are HEALTH, DUMP, OFFLINE ID and ONLINE ID");
    }
}

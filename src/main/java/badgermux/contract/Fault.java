package badgermux.contract;

/**
 * One thing that a message does not keep to. The words are made from the description, never from the message, but for
 * names of at most {@link #MAX_NAME_LENGTH} characters in the pointer.
 *
 * @param in      where: {@code body}, {@code path}, {@code query}, {@code header} or {@code cookie}
 * @param pointer the JSON pointer (RFC 6901) of the value in there
 * @param keyword the rule's keyword, of JSON Schema where it has one
 * @param message what was expected, in one sentence
 */
public record Fault(String in, String pointer, String keyword, String message) {
    /** So many characters of a client's own may come back to it. */
    public static final int MAX_NAME_LENGTH = 64;
    private static final int MAX_MESSAGE_LENGTH = 200;

    public Fault {
        pointer = truncate(pointer, 3 * MAX_NAME_LENGTH);
        message = truncate(message, MAX_MESSAGE_LENGTH);
    }

    static Fault inBody(String pointer, String keyword, String message) {
        return new Fault("body", pointer, keyword, message);
    }

    /** A client's name, cut where it is too long to be sent back. */
    static String truncateName(String name) {
        return truncate(name, MAX_NAME_LENGTH);
    }

    private static String truncate(String text, int most) {
        if (text.length() <= most) {
            return text;
        }
        int end = Character.isHighSurrogate(text.charAt(most - 2)) ? most - 2 : most - 1;
        return text.substring(0, end) + '\u2026';
    }
}

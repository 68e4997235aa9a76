package badgermux.contract;

/**
 * One violation of a contract by a message. Its texts are made from the description, not from the message, except for names
 * of at most {@link #MAX_NAME_LENGTH} characters in the pointer.
 *
 * @param in      the part of the message: {@code body}, {@code path}, {@code query}, {@code header} or {@code cookie}
 * @param pointer the JSON pointer (RFC 6901) of the value in this part
 * @param keyword the violated keyword of JSON Schema, or a name for another rule
 * @param message what was expected, in one sentence
 */
public record Fault(String in, String pointer, String keyword, String message) {
    /** The longest name from a message, in characters, that may be sent back to the client. */
    public static final int MAX_NAME_LENGTH = 64;
    private static final int MAX_MESSAGE_LENGTH = 200;

    public Fault {
        pointer = truncate(pointer, 3 * MAX_NAME_LENGTH);
        message = truncate(message, MAX_MESSAGE_LENGTH);
    }

    static Fault inBody(String pointer, String keyword, String message) {
        return new Fault("body", pointer, keyword, message);
    }

    /** Truncates a name from a message to the length that may be sent back. */
    static String truncateName(String name) {
        return truncate(name, MAX_NAME_LENGTH);
    }

    /** Truncates text to at most {@code maxLength} characters, of which the last is an ellipsis; keeps surrogate pairs whole. */
    private static String truncate(String text, int maxLength) {
        if (text.length() <= maxLength) {
            return text;
        }
        int end = Character.isHighSurrogate(text.charAt(maxLength - 2)) ? maxLength - 2 : maxLength - 1;
        return text.substring(0, end) + '\u2026';
    }
}

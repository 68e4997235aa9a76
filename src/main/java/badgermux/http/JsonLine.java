package badgermux.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One line of a backend's response: a JSON object. Values are kept as the bytes received; a string is decoded only when it is
 * read.
 */
public final class JsonLine {
    private final byte[] bytes;
    /** Raw values by name. */
    private final Map<String, byte[]> values = new LinkedHashMap<>();
    private int position;

    private JsonLine(byte[] bytes) {
        this.bytes = bytes;
    }

    /**
     * Parses a line.
     *
     * @throws InvalidMessageException if it is not a JSON object
     */
    public static JsonLine parse(byte[] bytes) throws InvalidMessageException {
        JsonLine line = new JsonLine(bytes);
        line.parseObject();
        return line;
    }

    /** Returns a value as received, a string with its quotes; null if it is absent. */
    public byte[] raw(String name) {
        return values.get(name);
    }

    /** Returns the decoded bytes of a string, or any other value as received; null if it is absent. */
    public byte[] decoded(String name) throws InvalidMessageException {
        byte[] value = values.get(name);
        return value == null || value[0] != '"' ? value : decodeString(value);
    }

    /** Returns the text of a string or of any other value; null if it is absent. */
    public String text(String name) throws InvalidMessageException {
        byte[] value = decoded(name);
        return value == null ? null : new String(value, StandardCharsets.UTF_8);
    }

    private void parseObject() throws InvalidMessageException {
        expect('{');
        for (boolean hasNext = peekNonBlank() != '}'; hasNext; hasNext = peekNonBlank() == ',') {
            if (!values.isEmpty()) {
                expect(',');
            }
            int nameStart = requireNext('"');
            skipString();
            String name = new String(decodeString(Arrays.copyOfRange(bytes, nameStart, position)), StandardCharsets.UTF_8);
            expect(':');
            peekNonBlank();
            int valueStart = position;
            skipValue();
            values.put(name, Arrays.copyOfRange(bytes, valueStart, position));
        }
        expect('}');
        if (peekNonBlank() != -1) {
            throw malformed();
        }
    }

    /** Skips white space before a required character; returns the position of that character. */
    private int requireNext(char c) throws InvalidMessageException {
        if (peekNonBlank() != c) {
            throw malformed();
        }
        return position;
    }

    /** Skips white space and a required character. */
    private void expect(char c) throws InvalidMessageException {
        requireNext(c);
        position++;
    }

    /** Skips white space; returns the byte after it, which is not skipped, or -1 at the end. */
    private int peekNonBlank() {
        while (position < bytes.length && (bytes[position] == ' ' || bytes[position] == '\t'
                || bytes[position] == '\r' || bytes[position] == '\n')) {
            position++;
        }
        return position < bytes.length ? bytes[position] : -1;
    }

    private void skipString() throws InvalidMessageException {
        for (position++; position < bytes.length && bytes[position] != '"'; position++) {
            position += bytes[position] == '\\' ? 1 : 0;
        }
        if (position >= bytes.length) {
            throw malformed();
        }
        position++;
    }

    /** Skips a value. Finds the end of an object or an array by counting brackets outside of strings. */
    private void skipValue() throws InvalidMessageException {
        int depth = 0;
        int start = position;
        while (position < bytes.length) {
            byte b = bytes[position];
            if (b == '"') {
                skipString();
            } else if (b == '{' || b == '[') {
                depth++;
                position++;
            } else if (depth > 0 && (b == '}' || b == ']')) {
                depth--;
                position++;
            } else if (depth == 0 && (b == ',' || b == '}' || b <= ' ')) {
                break;
            } else {
                position++;
                continue;
            }
            if (depth == 0) {
                break;
            }
        }
        if (depth > 0 || position == start) {
            throw malformed();
        }
    }

    /** Decodes a string with its quotes to UTF-8. */
    private static byte[] decodeString(byte[] quoted) throws InvalidMessageException {
        ByteArrayOutputStream out = new ByteArrayOutputStream(quoted.length);
        for (int i = 1; i < quoted.length - 1; i++) {
            if (quoted[i] != '\\') {
                out.write(quoted[i]);
                continue;
            }
            char c = (char) quoted[++i];
            int simpleEscape = "\"\\/bfnrt".indexOf(c);
            if (simpleEscape >= 0) {
                out.write("\"\\/\b\f\n\r\t".charAt(simpleEscape));
            } else {
                int unit = parseUnicodeEscape(quoted, i);
                i += 4;
                boolean isPair = Character.isHighSurrogate((char) unit) && i + 6 < quoted.length - 1
                    && quoted[i + 1] == '\\' && quoted[i + 2] == 'u';
                String text = String.valueOf((char) unit);
                if (isPair) {
                    text += (char) parseUnicodeEscape(quoted, i + 2);
                    i += 6;
                }
                out.writeBytes(text.getBytes(StandardCharsets.UTF_8));
            }
        }
        return out.toByteArray();
    }

    /** Parses the UTF-16 code unit of a Unicode escape, whose u is at an index. */
    private static int parseUnicodeEscape(byte[] quoted, int index) throws InvalidMessageException {
        if (quoted[index] != 'u' || index + 4 >= quoted.length) {
            throw malformed();
        }
        try {
            return Integer.parseInt(new String(quoted, index + 1, 4, StandardCharsets.ISO_8859_1), 16);
        } catch (NumberFormatException e) {
            throw malformed();
        }
    }

    private static InvalidMessageException malformed() {
        return new InvalidMessageException(502, "malformed JSON line");
    }
}

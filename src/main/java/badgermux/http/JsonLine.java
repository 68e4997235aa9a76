package badgermux.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One line of a backend's answer: a JSON object whose values are kept as the bytes that came. Only a string that is
 * asked for is decoded.
 */
public final class JsonLine {
    private final byte[] bytes;
    private final Map<String, byte[]> values = new LinkedHashMap<>();
    private int position;

    private JsonLine(byte[] bytes) {
        this.bytes = bytes;
    }

    public static JsonLine parse(byte[] bytes) throws InvalidMessageException {
        JsonLine line = new JsonLine(bytes);
        line.parseObject();
        return line;
    }

    /** A value as it stands, quotes and all; null where it is absent. */
    public byte[] raw(String name) {
        return values.get(name);
    }

    /** A string's content, or any other value as it stands; null where it is absent. */
    public byte[] decoded(String name) throws InvalidMessageException {
        byte[] value = values.get(name);
        return value == null || value[0] != '"' ? value : decodeString(value);
    }

    public String text(String name) throws InvalidMessageException {
        byte[] content = decoded(name);
        return content == null ? null : new String(content, StandardCharsets.UTF_8);
    }

    private void parseObject() throws InvalidMessageException {
        expect('{');
        for (boolean more = peekNonBlank() != '}'; more; more = peekNonBlank() == ',') {
            if (!values.isEmpty()) {
                expect(',');
            }
            int from = requireNext('"');
            skipString();
            String name = new String(decodeString(Arrays.copyOfRange(bytes, from, position)), StandardCharsets.UTF_8);
            expect(':');
            peekNonBlank();
            int start = position;
            skipValue();
            values.put(name, Arrays.copyOfRange(bytes, start, position));
        }
        expect('}');
        if (peekNonBlank() != -1) {
            throw malformed();
        }
    }

    private int requireNext(char c) throws InvalidMessageException {
        if (peekNonBlank() != c) {
            throw malformed();
        }
        return position;
    }

    private void expect(char c) throws InvalidMessageException {
        requireNext(c);
        position++;
    }

    /** The next byte that is no white space, which it stays on; -1 at the end. */
    private int peekNonBlank() {
        while (position < bytes.length && (bytes[position] == ' ' || bytes[position] == '\t' || bytes[position] == '\r' || bytes[position] == '\n')) {
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

    /** Passes over a value; nested ones by their brackets, strings in them heeded. */
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

    private static byte[] decodeString(byte[] quoted) throws InvalidMessageException {
        ByteArrayOutputStream out = new ByteArrayOutputStream(quoted.length);
        for (int i = 1; i < quoted.length - 1; i++) {
            if (quoted[i] != '\\') {
                out.write(quoted[i]);
                continue;
            }
            char c = (char) quoted[++i];
            int plain = "\"\\/bfnrt".indexOf(c);
            if (plain >= 0) {
                out.write("\"\\/\b\f\n\r\t".charAt(plain));
            } else {
                int unit = parseUnicodeEscape(quoted, i);
                i += 4;
                boolean pair = Character.isHighSurrogate((char) unit) && i + 6 < quoted.length - 1
                    && quoted[i + 1] == '\\' && quoted[i + 2] == 'u';
                String text = String.valueOf((char) unit);
                if (pair) {
                    text += (char) parseUnicodeEscape(quoted, i + 2);
                    i += 6;
                }
                out.writeBytes(text.getBytes(StandardCharsets.UTF_8));
            }
        }
        return out.toByteArray();
    }

    private static int parseUnicodeEscape(byte[] quoted, int u) throws InvalidMessageException {
        if (quoted[u] != 'u' || u + 4 >= quoted.length) {
            throw malformed();
        }
        try {
            return Integer.parseInt(new String(quoted, u + 1, 4, StandardCharsets.ISO_8859_1), 16);
        } catch (NumberFormatException e) {
            throw malformed();
        }
    }

    private static InvalidMessageException malformed() {
        return new InvalidMessageException(502, "malformed JSON line");
    }
}

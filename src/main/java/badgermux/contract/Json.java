package badgermux.contract;

import java.math.BigDecimal;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import tools.jackson.core.JacksonException;
import tools.jackson.core.JsonParser;
import tools.jackson.core.JsonToken;
import tools.jackson.core.ObjectReadContext;
import tools.jackson.core.StreamReadConstraints;
import tools.jackson.core.exc.StreamConstraintsException;
import tools.jackson.core.json.JsonFactory;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.node.ArrayNode;
import tools.jackson.databind.node.JsonNodeFactory;
import tools.jackson.databind.node.ObjectNode;

/**
 * Reads JSON (RFC 8259) strictly, so that no other reader can take the same bytes for something else: UTF-8 without a
 * byte order mark, no name twice in an object, no half of a surrogate pair, nothing behind the value, and all of it
 * bounded. Jackson's streaming parser does the lexing.
 */
final class Json {
    /** How deep arrays and objects may nest in a message. */
    static final int MAX_DEPTH = 64;
    /** The digits of a number, and the size of its exponent: a figure beyond them costs more than it says. */
    static final int MAX_NUMBER = 128, MAX_EXPONENT = 512;

    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;
    private static final JsonFactory MESSAGES = factory(MAX_DEPTH, 64 << 10);
    private static final JsonFactory DOCUMENTS = factory(Document.MAX_DEPTH, 4 << 20);

    private Json() { }

    private static JsonFactory factory(int depth, int longest) {
        return JsonFactory.builder().streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(depth)
            .maxNumberLength(MAX_NUMBER).maxStringLength(longest).maxNameLength(longest).build())
            .build();
    }

    /** A message's value. */
    static JsonNode message(byte[] bytes) throws Unreadable {
        return read(MESSAGES, bytes);
    }

    /** A description's tree, whose bounds are wider. */
    static JsonNode document(byte[] bytes) throws Unreadable {
        return read(DOCUMENTS, bytes);
    }

    private static JsonNode read(JsonFactory factory, byte[] bytes) throws Unreadable {
        utf8(bytes);
        try (JsonParser parser = factory.createParser(ObjectReadContext.empty(), bytes)) {
            if (parser.nextToken() == null) {
                throw new Unreadable(1, "there is no JSON value");
            }
            JsonNode value = value(parser);
            if (parser.nextToken() != null) {
                throw new Unreadable(line(parser), "something stands behind the JSON value");
            }
            return value;
        } catch (StreamConstraintsException e) {
            throw new Unreadable(line(e), "a bound is passed: nesting, or the length of a number or string");
        } catch (JacksonException e) {
            throw new Unreadable(line(e), "malformed JSON");
        }
    }

    /** The line on which the value at a pointer begins; the nearest one above it where the text has none there. */
    static int lineOf(byte[] bytes, List<String> pointer) {
        int line = 1;
        try (JsonParser parser = DOCUMENTS.createParser(ObjectReadContext.empty(), bytes)) {
            parser.nextToken();
            for (String step : pointer) {
                line = line(parser);
                boolean object = parser.currentToken() == JsonToken.START_OBJECT;
                if (!object && parser.currentToken() != JsonToken.START_ARRAY) {
                    return line;
                }
                int index = 0;
                JsonToken token = parser.nextToken();
                while (token != null && !token.isStructEnd()
                        && !(object ? parser.currentName() : String.valueOf(index)).equals(step)) {
                    if (object) {
                        parser.nextToken();
                    }
                    parser.skipChildren();
                    token = parser.nextToken();
                    index++;
                }
                if (token == null || token.isStructEnd()) {
                    return line;
                }
                line = line(parser);
                if (object) {
                    parser.nextToken();
                }
            }
            return line;
        } catch (JacksonException e) {
            return line;
        }
    }

    private static int line(JsonParser parser) {
        return parser.currentTokenLocation().getLineNr();
    }

    private static int line(JacksonException e) {
        return e.getLocation() == null ? 0 : Math.max(0, e.getLocation().getLineNr());
    }

    /** Guards against other encodings, which the parser would guess, and against overlong or broken sequences. */
    private static void utf8(byte[] bytes) throws Unreadable {
        if (bytes.length > 2 && (bytes[0] & 0xff) == 0xef && (bytes[1] & 0xff) == 0xbb && (bytes[2] & 0xff) == 0xbf) {
            throw new Unreadable(1, "a byte order mark stands before the JSON value");
        }
        boolean ascii = true;
        for (byte b : bytes) {
            ascii &= b > 0;
        }
        if (!ascii) {
            text(bytes);
            if (bytes[0] == 0 || bytes.length > 1 && bytes[1] == 0) {
                throw new Unreadable(1, "the text is not UTF-8");
            }
        }
    }

    /** Strictly decoded UTF-8. */
    static String text(byte[] bytes) throws Unreadable {
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
        } catch (CharacterCodingException e) {
            throw new Unreadable(0, "the text is not UTF-8");
        }
    }

    private static JsonNode value(JsonParser parser) throws Unreadable {
        switch (parser.currentToken()) {
            case START_OBJECT -> {
                ObjectNode object = NODES.objectNode();
                while (parser.nextToken() != JsonToken.END_OBJECT) {
                    String name = whole(parser, parser.currentName());
                    parser.nextToken();
                    // The parser's own check of this costs a third of the reading.
                    if (object.has(name)) {
                        throw new Unreadable(line(parser), "a name stands twice in one object");
                    }
                    object.set(name, value(parser));
                }
                return object;
            }
            case START_ARRAY -> {
                ArrayNode array = NODES.arrayNode();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    array.add(value(parser));
                }
                return array;
            }
            case VALUE_STRING -> {
                return NODES.stringNode(whole(parser, parser.getString()));
            }
            case VALUE_NUMBER_INT -> {
                return switch (parser.getNumberType()) {
                    case INT -> NODES.numberNode(parser.getIntValue());
                    case LONG -> NODES.numberNode(parser.getLongValue());
                    default -> NODES.numberNode(parser.getBigIntegerValue());
                };
            }
            case VALUE_NUMBER_FLOAT -> {
                return number(parser.getString(), line(parser));
            }
            case VALUE_TRUE -> {
                return NODES.booleanNode(true);
            }
            case VALUE_FALSE -> {
                return NODES.booleanNode(false);
            }
            case VALUE_NULL -> {
                return NODES.nullNode();
            }
            default -> throw new Unreadable(line(parser), "malformed JSON");
        }
    }

    /** A number with a fraction or an exponent, exactly as it is written; -1 as the line where it is not known. */
    static JsonNode number(String text, int line) throws Unreadable {
        BigDecimal number;
        try {
            number = text.length() > MAX_NUMBER ? null : new BigDecimal(text);
        } catch (NumberFormatException e) {
            number = null;
        }
        // Guards against 1e999999999, whose digits would be written out by the first comparison.
        if (number == null || Math.abs((long) number.precision() - number.scale()) > MAX_EXPONENT
                || Math.abs((long) number.scale()) > MAX_EXPONENT) {
            throw new Unreadable(line, "a number is out of bounds");
        }
        return NODES.numberNode(number);
    }

    private static String whole(JsonParser parser, String text) throws Unreadable {
        for (int i = 0; i < text.length(); i++) {
            if (Character.isSurrogate(text.charAt(i))) {
                if (!Character.isHighSurrogate(text.charAt(i)) || i + 1 == text.length()
                        || !Character.isLowSurrogate(text.charAt(i + 1))) {
                    throw new Unreadable(line(parser), "half of a surrogate pair");
                }
                i++;
            }
        }
        return text;
    }

    /** The steps of a JSON pointer (RFC 6901); null where it is none. */
    static List<String> steps(String pointer) {
        List<String> steps = new ArrayList<>();
        if (pointer.isEmpty()) {
            return steps;
        }
        if (pointer.charAt(0) != '/') {
            return null;
        }
        for (String step : pointer.substring(1).split("/", -1)) {
            steps.add(step.replace("~1", "/").replace("~0", "~"));
        }
        return steps;
    }

    /** One step as it stands in a pointer. */
    static String step(String name) {
        return name.replace("~", "~0").replace("/", "~1");
    }

    /** The value at a pointer's steps; null where there is none. */
    static JsonNode at(JsonNode root, List<String> steps) {
        JsonNode at = root;
        for (String step : steps) {
            if (at instanceof ObjectNode object) {
                at = object.get(step);
            } else if (at instanceof ArrayNode array && step.matches("0|[1-9][0-9]{0,8}")) {
                at = array.get(Integer.parseInt(step));
            } else {
                at = null;
            }
            if (at == null) {
                return null;
            }
        }
        return at;
    }
}

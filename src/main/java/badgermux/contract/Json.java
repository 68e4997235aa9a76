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
    static final int MAX_NUMBER_LENGTH = 128, MAX_EXPONENT = 512;

    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;
    private static final JsonFactory MESSAGE_FACTORY = newFactory(MAX_DEPTH, 64 << 10);
    private static final JsonFactory DOCUMENT_FACTORY = newFactory(Document.MAX_DEPTH, 4 << 20);

    private Json() { }

    private static JsonFactory newFactory(int depth, int longest) {
        return JsonFactory.builder().streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(depth)
            .maxNumberLength(MAX_NUMBER_LENGTH).maxStringLength(longest).maxNameLength(longest).build())
            .build();
    }

    /** A message's value. */
    static JsonNode parseMessage(byte[] bytes) throws SyntaxException {
        return parse(MESSAGE_FACTORY, bytes);
    }

    /** A description's tree, whose bounds are wider. */
    static JsonNode parseDocument(byte[] bytes) throws SyntaxException {
        return parse(DOCUMENT_FACTORY, bytes);
    }

    private static JsonNode parse(JsonFactory factory, byte[] bytes) throws SyntaxException {
        checkEncoding(bytes);
        try (JsonParser parser = factory.createParser(ObjectReadContext.empty(), bytes)) {
            if (parser.nextToken() == null) {
                throw new SyntaxException(1, "there is no JSON value");
            }
            JsonNode value = readValue(parser);
            if (parser.nextToken() != null) {
                throw new SyntaxException(lineNumber(parser), "something stands behind the JSON value");
            }
            return value;
        } catch (StreamConstraintsException e) {
            throw new SyntaxException(lineNumber(e), "a bound is passed: nesting, or the length of a number or string");
        } catch (JacksonException e) {
            throw new SyntaxException(lineNumber(e), "malformed JSON");
        }
    }

    /** The line on which the value at a pointer begins; the nearest one above it where the text has none there. */
    static int lineOf(byte[] bytes, List<String> pointer) {
        int line = 1;
        try (JsonParser parser = DOCUMENT_FACTORY.createParser(ObjectReadContext.empty(), bytes)) {
            parser.nextToken();
            for (String step : pointer) {
                line = lineNumber(parser);
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
                line = lineNumber(parser);
                if (object) {
                    parser.nextToken();
                }
            }
            return line;
        } catch (JacksonException e) {
            return line;
        }
    }

    private static int lineNumber(JsonParser parser) {
        return parser.currentTokenLocation().getLineNr();
    }

    private static int lineNumber(JacksonException e) {
        return e.getLocation() == null ? 0 : Math.max(0, e.getLocation().getLineNr());
    }

    /** Guards against other encodings, which the parser would guess, and against overlong or broken sequences. */
    private static void checkEncoding(byte[] bytes) throws SyntaxException {
        if (bytes.length > 2 && (bytes[0] & 0xff) == 0xef && (bytes[1] & 0xff) == 0xbb && (bytes[2] & 0xff) == 0xbf) {
            throw new SyntaxException(1, "a byte order mark stands before the JSON value");
        }
        boolean ascii = true;
        for (byte b : bytes) {
            ascii &= b > 0;
        }
        if (!ascii) {
            decodeUtf8(bytes);
            if (bytes[0] == 0 || bytes.length > 1 && bytes[1] == 0) {
                throw new SyntaxException(1, "the text is not UTF-8");
            }
        }
    }

    /** Strictly decoded UTF-8. */
    static String decodeUtf8(byte[] bytes) throws SyntaxException {
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
        } catch (CharacterCodingException e) {
            throw new SyntaxException(0, "the text is not UTF-8");
        }
    }

    private static JsonNode readValue(JsonParser parser) throws SyntaxException {
        switch (parser.currentToken()) {
            case START_OBJECT -> {
                ObjectNode object = NODES.objectNode();
                while (parser.nextToken() != JsonToken.END_OBJECT) {
                    String name = checkSurrogates(parser, parser.currentName());
                    parser.nextToken();
                    // The parser's own check of this costs a third of the reading.
                    if (object.has(name)) {
                        throw new SyntaxException(lineNumber(parser), "a name stands twice in one object");
                    }
                    object.set(name, readValue(parser));
                }
                return object;
            }
            case START_ARRAY -> {
                ArrayNode array = NODES.arrayNode();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    array.add(readValue(parser));
                }
                return array;
            }
            case VALUE_STRING -> {
                return NODES.stringNode(checkSurrogates(parser, parser.getString()));
            }
            case VALUE_NUMBER_INT -> {
                return switch (parser.getNumberType()) {
                    case INT -> NODES.numberNode(parser.getIntValue());
                    case LONG -> NODES.numberNode(parser.getLongValue());
                    default -> NODES.numberNode(parser.getBigIntegerValue());
                };
            }
            case VALUE_NUMBER_FLOAT -> {
                return parseNumber(parser.getString(), lineNumber(parser));
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
            default -> throw new SyntaxException(lineNumber(parser), "malformed JSON");
        }
    }

    /** A number with a fraction or an exponent, exactly as it is written; -1 as the line where it is not known. */
    static JsonNode parseNumber(String text, int line) throws SyntaxException {
        BigDecimal number;
        try {
            number = text.length() > MAX_NUMBER_LENGTH ? null : new BigDecimal(text);
        } catch (NumberFormatException e) {
            number = null;
        }
        // Guards against 1e999999999, whose digits would be written out by the first comparison.
        if (number == null || Math.abs((long) number.precision() - number.scale()) > MAX_EXPONENT
                || Math.abs((long) number.scale()) > MAX_EXPONENT) {
            throw new SyntaxException(line, "a number is out of bounds");
        }
        return NODES.numberNode(number);
    }

    private static String checkSurrogates(JsonParser parser, String text) throws SyntaxException {
        for (int i = 0; i < text.length(); i++) {
            if (Character.isSurrogate(text.charAt(i))) {
                if (!Character.isHighSurrogate(text.charAt(i)) || i + 1 == text.length()
                        || !Character.isLowSurrogate(text.charAt(i + 1))) {
                    throw new SyntaxException(lineNumber(parser), "half of a surrogate pair");
                }
                i++;
            }
        }
        return text;
    }

    /** The steps of a JSON pointer (RFC 6901); null where it is none. */
    static List<String> pointerTokens(String pointer) {
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
    static String escapeToken(String name) {
        return name.replace("~", "~0").replace("/", "~1");
    }

    /** The value at a pointer's steps; null where there is none. */
    static JsonNode valueAt(JsonNode root, List<String> steps) {
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

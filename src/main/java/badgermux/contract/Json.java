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
 * Parses JSON (RFC 8259) strictly, so that a backend's parser can't interpret the same bytes differently: UTF-8 without a
 * byte order mark, no duplicate names in an object, no unpaired surrogates, no trailing content, and bounds on nesting,
 * numbers and strings. Jackson's streaming parser does the lexing. Also resolves JSON pointers (RFC 6901).
 */
final class Json {
    /** How deep arrays and objects may nest in a message. */
    static final int MAX_DEPTH = 64;
    /** The longest number, in characters. Larger numbers cost more to process than they are worth. */
    static final int MAX_NUMBER_LENGTH = 128;
    /** The largest absolute value of a number's decimal exponent and scale. */
    static final int MAX_EXPONENT = 512;

    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;
    /** For messages: strings and names of up to 64 Ki characters. */
    private static final JsonFactory MESSAGE_FACTORY = newFactory(MAX_DEPTH, 64 << 10);
    /** For descriptions: strings and names of up to 4 Mi characters, and deeper nesting. */
    private static final JsonFactory DOCUMENT_FACTORY = newFactory(Document.MAX_DEPTH, 4 << 20);

    private Json() { }

    private static JsonFactory newFactory(int maxDepth, int maxStringLength) {
        return JsonFactory.builder().streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(maxDepth)
            .maxNumberLength(MAX_NUMBER_LENGTH).maxStringLength(maxStringLength).maxNameLength(maxStringLength).build())
            .build();
    }

    /** Parses a message. */
    static JsonNode parseMessage(byte[] bytes) throws SyntaxException {
        return parse(MESSAGE_FACTORY, bytes);
    }

    /** Parses a document of a description, within wider bounds. */
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

    /**
     * Returns the line on which the value at a pointer begins, counted from 1. If there is no such value, returns the line of
     * the nearest enclosing one.
     */
    static int lineOf(byte[] bytes, List<String> tokens) {
        int line = 1;
        try (JsonParser parser = DOCUMENT_FACTORY.createParser(ObjectReadContext.empty(), bytes)) {
            parser.nextToken();
            for (String token : tokens) {
                line = lineNumber(parser);
                boolean isObject = parser.currentToken() == JsonToken.START_OBJECT;
                if (!isObject && parser.currentToken() != JsonToken.START_ARRAY) {
                    return line;
                }
                int index = 0;
                JsonToken jsonToken = parser.nextToken();
                while (jsonToken != null && !jsonToken.isStructEnd()
                        && !(isObject ? parser.currentName() : String.valueOf(index)).equals(token)) {
                    if (isObject) {
                        parser.nextToken();
                    }
                    parser.skipChildren();
                    jsonToken = parser.nextToken();
                    index++;
                }
                if (jsonToken == null || jsonToken.isStructEnd()) {
                    return line;
                }
                line = lineNumber(parser);
                if (isObject) {
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

    /** Refuses anything but valid UTF-8. Jackson would detect other encodings and accept some malformed sequences. */
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

    /** Decodes UTF-8 and refuses malformed sequences. */
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
                    // Jackson's own detection of duplicates takes a third of the parsing time.
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

    /** Parses a number without loss of precision; {@code line} is reported with an error, 0 if it is not known. */
    static JsonNode parseNumber(String text, int line) throws SyntaxException {
        BigDecimal number;
        try {
            number = text.length() > MAX_NUMBER_LENGTH ? null : new BigDecimal(text);
        } catch (NumberFormatException e) {
            number = null;
        }
        // Comparing a number such as 1e999999999 would expand all its digits.
        if (number == null || Math.abs((long) number.precision() - number.scale()) > MAX_EXPONENT
                || Math.abs((long) number.scale()) > MAX_EXPONENT) {
            throw new SyntaxException(line, "a number is out of bounds");
        }
        return NODES.numberNode(number);
    }

    /** Returns the text if it has no unpaired surrogates. */
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

    /** Returns the unescaped reference tokens of a JSON pointer (RFC 6901); null if the text is not a pointer. */
    static List<String> pointerTokens(String pointer) {
        List<String> tokens = new ArrayList<>();
        if (pointer.isEmpty()) {
            return tokens;
        }
        if (pointer.charAt(0) != '/') {
            return null;
        }
        for (String token : pointer.substring(1).split("/", -1)) {
            tokens.add(token.replace("~1", "/").replace("~0", "~"));
        }
        return tokens;
    }

    /** Escapes a reference token of a JSON pointer. */
    static String escapeToken(String token) {
        return token.replace("~", "~0").replace("/", "~1");
    }

    /** Returns the value that a pointer's tokens refer to; null if there is none. */
    static JsonNode valueAt(JsonNode root, List<String> tokens) {
        JsonNode node = root;
        for (String token : tokens) {
            if (node instanceof ObjectNode object) {
                node = object.get(token);
            } else if (node instanceof ArrayNode array && token.matches("0|[1-9][0-9]{0,8}")) {
                node = array.get(Integer.parseInt(token));
            } else {
                node = null;
            }
            if (node == null) {
                return null;
            }
        }
        return node;
    }
}

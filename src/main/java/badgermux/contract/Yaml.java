package badgermux.contract;

import java.io.ByteArrayInputStream;
import java.io.InputStreamReader;
import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.snakeyaml.engine.v2.api.LoadSettings;
import org.snakeyaml.engine.v2.api.lowlevel.Compose;
import org.snakeyaml.engine.v2.exceptions.Mark;
import org.snakeyaml.engine.v2.exceptions.MarkedYamlEngineException;
import org.snakeyaml.engine.v2.exceptions.YamlEngineException;
import org.snakeyaml.engine.v2.nodes.MappingNode;
import org.snakeyaml.engine.v2.nodes.Node;
import org.snakeyaml.engine.v2.nodes.NodeTuple;
import org.snakeyaml.engine.v2.nodes.ScalarNode;
import org.snakeyaml.engine.v2.nodes.SequenceNode;
import org.snakeyaml.engine.v2.nodes.Tag;
import org.snakeyaml.engine.v2.schema.CoreSchema;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.node.ArrayNode;
import tools.jackson.databind.node.JsonNodeFactory;
import tools.jackson.databind.node.ObjectNode;

/** Reads the subset of YAML 1.2 that is equivalent to JSON: one document in the core schema, with scalar keys. */
final class Yaml {
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    /** The number of values read so far. */
    private int valueCount;

    private Yaml() { }

    /** Parses a document; an empty one is null in JSON. */
    static JsonNode parseDocument(byte[] bytes) throws SyntaxException {
        Json.decodeUtf8(bytes);
        Node root = compose(bytes);
        return root == null ? NODES.nullNode() : new Yaml().readValue(root, 0);
    }

    private static Node compose(byte[] bytes) throws SyntaxException {
        LoadSettings settings = LoadSettings.builder().setCodePointLimit(Document.MAX_BYTES).setSchema(new CoreSchema())
            .setMaxAliasesForCollections(1000).setAllowNonScalarKeys(false).build();
        try {
            return new Compose(settings).composeReader(
                new InputStreamReader(new ByteArrayInputStream(bytes), StandardCharsets.UTF_8)).orElse(null);
        } catch (MarkedYamlEngineException e) {
            throw new SyntaxException(lineNumber(e.getProblemMark()), "malformed YAML: " + e.getProblem());
        } catch (YamlEngineException e) {
            throw new SyntaxException(0, "malformed YAML");
        } catch (StackOverflowError e) {
            throw new SyntaxException(0, "nested too deep");
        }
    }

    /** Returns the line of a mark, counted from 1; 0 if it is not known. */
    private static int lineNumber(Optional<Mark> mark) {
        return mark.map(position -> position.getLine() + 1).orElse(0);
    }

    private JsonNode readValue(Node node, int depth) throws SyntaxException {
        int line = lineNumber(node.getStartMark());
        // Values are counted at each use of an alias, so aliases of aliases can't grow without bound.
        if (++valueCount > Document.MAX_VALUES || depth > Document.MAX_DEPTH) {
            throw new SyntaxException(line, "nested too deep, or too many values");
        }
        if (node instanceof MappingNode mapping) {
            ObjectNode object = NODES.objectNode();
            Set<String> names = new HashSet<>();
            for (NodeTuple tuple : mapping.getValue()) {
                int keyLine = lineNumber(tuple.getKeyNode().getStartMark());
                if (!(tuple.getKeyNode() instanceof ScalarNode key)) {
                    throw new SyntaxException(keyLine, "a name is no scalar");
                }
                if (!names.add(key.getValue())) {
                    throw new SyntaxException(keyLine, "a name stands twice in one object: " + key.getValue());
                }
                object.set(key.getValue(), readValue(tuple.getValueNode(), depth + 1));
            }
            return object;
        }
        if (node instanceof SequenceNode sequence) {
            ArrayNode array = NODES.arrayNode();
            for (Node item : sequence.getValue()) {
                array.add(readValue(item, depth + 1));
            }
            return array;
        }
        return readScalar((ScalarNode) node, line);
    }

    private static JsonNode readScalar(ScalarNode node, int line) throws SyntaxException {
        String text = node.getValue();
        Tag tag = node.getTag();
        if (tag.equals(Tag.NULL)) {
            return NODES.nullNode();
        } else if (tag.equals(Tag.BOOL)) {
            return NODES.booleanNode(text.equalsIgnoreCase("true"));
        } else if (tag.equals(Tag.INT)) {
            return readInteger(text, line);
        } else if (tag.equals(Tag.FLOAT)) {
            return Json.parseNumber(text, line);
        } else if (tag.equals(Tag.STR)) {
            return NODES.stringNode(text);
        }
        throw new SyntaxException(line, "a tag that JSON does not know: " + tag.getValue());
    }

    private static JsonNode readInteger(String text, int line) throws SyntaxException {
        int radix = text.startsWith("0x") ? 16 : text.startsWith("0o") ? 8 : 10;
        if (text.length() > Json.MAX_NUMBER_LENGTH) {
            throw new SyntaxException(line, "a number is out of bounds");
        }
        BigInteger value = new BigInteger(radix == 10 ? text : text.substring(2), radix);
        return value.bitLength() < 32 ? NODES.numberNode(value.intValue())
            : value.bitLength() < 64 ? NODES.numberNode(value.longValue()) : NODES.numberNode(value);
    }

    /**
     * Returns the line on which the value at a pointer, or its key, begins, counted from 1. If there is no such value, returns
     * the line of the nearest enclosing one.
     */
    static int lineOf(byte[] bytes, List<String> tokens) {
        int line = 1;
        try {
            Node node = compose(bytes);
            for (String token : tokens) {
                Node child = null;
                if (node instanceof MappingNode mapping) {
                    for (NodeTuple tuple : mapping.getValue()) {
                        if (tuple.getKeyNode() instanceof ScalarNode key && key.getValue().equals(token)) {
                            child = tuple.getValueNode();
                            line = lineNumber(key.getStartMark());
                        }
                    }
                } else if (node instanceof SequenceNode sequence && token.matches("[0-9]{1,8}")
                        && Integer.parseInt(token) < sequence.getValue().size()) {
                    child = sequence.getValue().get(Integer.parseInt(token));
                    line = lineNumber(child.getStartMark());
                }
                if (child == null) {
                    return line;
                }
                node = child;
            }
            return line;
        } catch (SyntaxException e) {
            return line;
        }
    }
}

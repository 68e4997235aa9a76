package badgermux.contract;

import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.node.JsonNodeFactory;

/**
 * The JSON types that a schema expects, used to coerce untyped text such as a parameter to a JSON value. Follows references
 * and merges the branches of allOf, anyOf and oneOf.
 */
final class ExpectedType {
    /** The types of JSON Schema. */
    enum JsonType { NULL, BOOLEAN, INTEGER, NUMBER, STRING, ARRAY, OBJECT }

    /** How deep properties and items are read. Text holds at most an object of arrays of plain values. */
    private static final int MAX_NESTING = 2;
    /** How deep allOf, anyOf and oneOf may nest in each other; deeper branches are ignored. */
    private static final int MAX_BRANCH_DEPTH = 8;

    private final Set<JsonType> types = EnumSet.noneOf(JsonType.class);
    private final Map<String, ExpectedType> properties = new HashMap<>();
    /** The type of array items; null if not described. */
    private ExpectedType items;
    /** The type of all other properties; null if not described. */
    private ExpectedType additionalProperties;

    /** No expectation: text stays a string. */
    static final ExpectedType ANY = new ExpectedType();

    private ExpectedType() { }

    /** Returns the type that the schema at a pointer expects. */
    static ExpectedType of(DocumentBundle bundle, String pointer) {
        ExpectedType expectedType = new ExpectedType();
        expectedType.addSchema(bundle, pointer, 0, 0);
        return expectedType;
    }

    /** Adds the expectations of one schema to this type. Types are taken from enum or const if {@code type} is absent. */
    private void addSchema(DocumentBundle bundle, String pointer, int nestingDepth, int branchDepth) {
        String schemaPointer = bundle.resolve(pointer);
        JsonNode schema = bundle.valueAt(schemaPointer);
        if (schema == null || !schema.isObject() || nestingDepth > MAX_NESTING || branchDepth > MAX_BRANCH_DEPTH) {
            return;
        }
        JsonNode type = schema.get("type");
        if (type != null) {
            for (JsonNode name : type.isArray() ? type : List.of(type)) {
                addType(name);
            }
        }
        if (schema.has("nullable") && schema.get("nullable").asBoolean(false)) {
            types.add(JsonType.NULL);
        }
        if (type == null) {
            for (JsonNode value : schema.has("enum") ? schema.get("enum")
                    : schema.has("const") ? List.of(schema.get("const")) : List.<JsonNode>of()) {
                types.add(value.isBoolean() ? JsonType.BOOLEAN : value.isIntegralNumber() ? JsonType.INTEGER
                    : value.isNumber() ? JsonType.NUMBER : value.isString() ? JsonType.STRING
                    : value.isNull() ? JsonType.NULL : value.isArray() ? JsonType.ARRAY : JsonType.OBJECT);
            }
        }
        if (schema.has("properties")) {
            if (type == null) {
                types.add(JsonType.OBJECT);
            }
            for (String name : schema.get("properties").propertyNames()) {
                properties.computeIfAbsent(name, key -> new ExpectedType())
                    .addSchema(bundle, schemaPointer + "/properties/" + Json.escapeToken(name), nestingDepth + 1, branchDepth);
            }
        }
        if (schema.has("additionalProperties") && schema.get("additionalProperties").isObject()) {
            additionalProperties = additionalProperties == null ? new ExpectedType() : additionalProperties;
            additionalProperties.addSchema(bundle, schemaPointer + "/additionalProperties", nestingDepth + 1, branchDepth);
        }
        if (schema.has("items")) {
            if (type == null) {
                types.add(JsonType.ARRAY);
            }
            items = items == null ? new ExpectedType() : items;
            items.addSchema(bundle, schemaPointer + "/items", nestingDepth + 1, branchDepth);
        }
        for (String branch : List.of("allOf", "anyOf", "oneOf")) {
            for (int i = 0; schema.has(branch) && i < schema.get(branch).size(); i++) {
                addSchema(bundle, schemaPointer + '/' + branch + '/' + i, nestingDepth, branchDepth + 1);
            }
        }
    }

    private void addType(JsonNode name) {
        for (JsonType type : JsonType.values()) {
            if (name.isString() && type.name().toLowerCase(Locale.ROOT).equals(name.stringValue())) {
                types.add(type);
            }
        }
    }

    boolean isArray() {
        return types.contains(JsonType.ARRAY);
    }

    boolean isObject() {
        return types.contains(JsonType.OBJECT);
    }

    /** Returns the type of array items; without expectations if it is not described. */
    ExpectedType items() {
        return items == null ? new ExpectedType() : items;
    }

    /** Returns the type of a property; without expectations if it is not described. */
    ExpectedType property(String name) {
        ExpectedType propertyType = properties.getOrDefault(name, additionalProperties);
        return propertyType == null ? new ExpectedType() : propertyType;
    }

    /** Returns the names of the described properties. */
    Set<String> propertyNames() {
        return properties.keySet();
    }

    /**
     * Converts text to a JSON value of an expected type, or to a string if it fits none.
     *
     * @param preferStrings whether to return a string if the schema allows one
     */
    JsonNode coerce(String text, boolean preferStrings) {
        JsonNodeFactory nodes = JsonNodeFactory.instance;
        if (preferStrings && types.contains(JsonType.STRING)) {
            return nodes.stringNode(text);
        }
        if (types.contains(JsonType.BOOLEAN) && (text.equals("true") || text.equals("false"))) {
            return nodes.booleanNode(text.equals("true"));
        }
        if ((types.contains(JsonType.INTEGER) || types.contains(JsonType.NUMBER)) && isNumber(text)) {
            try {
                return text.matches("-?[0-9]{1,18}") ? nodes.numberNode(Long.parseLong(text)) : Json.parseNumber(text, 0);
            } catch (SyntaxException e) {
                return nodes.stringNode(text);
            }
        }
        if (types.contains(JsonType.NULL) && text.equals("null")) {
            return nodes.nullNode();
        }
        return nodes.stringNode(text);
    }

    private static boolean isNumber(String text) {
        return text.length() <= Json.MAX_NUMBER_LENGTH
            && text.matches("-?(0|[1-9][0-9]*)(\\.[0-9]+)?([eE][+-]?[0-9]{1,4})?");
    }
}

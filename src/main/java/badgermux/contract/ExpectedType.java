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
 * What kind of value a schema asks for: all that is needed to read text, which has no types, as JSON. References and the
 * branches of allOf, anyOf and oneOf are looked through.
 */
final class ExpectedType {
    /** The types of JSON Schema. */
    enum JsonType { NULL, BOOLEAN, INTEGER, NUMBER, STRING, ARRAY, OBJECT }

    /** Text holds values in values in a value at the most, and schemas that are joined may be joined themselves. */
    private static final int MAX_NESTING = 2, MAX_BRANCH_DEPTH = 8;

    private final Set<JsonType> types = EnumSet.noneOf(JsonType.class);
    private final Map<String, ExpectedType> properties = new HashMap<>();
    private ExpectedType items;
    private ExpectedType additionalProperties;

    /** Text of which nothing more is known. */
    static final ExpectedType ANY = new ExpectedType();

    private ExpectedType() { }

    static ExpectedType of(DocumentBundle bundle, String pointer) {
        ExpectedType shape = new ExpectedType();
        shape.addSchema(bundle, pointer, 0, 0);
        return shape;
    }

    private void addSchema(DocumentBundle bundle, String pointer, int nested, int joined) {
        String at = bundle.resolve(pointer);
        JsonNode schema = bundle.valueAt(at);
        if (schema == null || !schema.isObject() || nested > MAX_NESTING || joined > MAX_BRANCH_DEPTH) {
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
                properties.computeIfAbsent(name, n -> new ExpectedType())
                    .addSchema(bundle, at + "/properties/" + Json.escapeToken(name), nested + 1, joined);
            }
        }
        if (schema.has("additionalProperties") && schema.get("additionalProperties").isObject()) {
            additionalProperties = additionalProperties == null ? new ExpectedType() : additionalProperties;
            additionalProperties.addSchema(bundle, at + "/additionalProperties", nested + 1, joined);
        }
        if (schema.has("items")) {
            if (type == null) {
                types.add(JsonType.ARRAY);
            }
            items = items == null ? new ExpectedType() : items;
            items.addSchema(bundle, at + "/items", nested + 1, joined);
        }
        for (String branch : List.of("allOf", "anyOf", "oneOf")) {
            for (int i = 0; schema.has(branch) && i < schema.get(branch).size(); i++) {
                addSchema(bundle, at + '/' + branch + '/' + i, nested, joined + 1);
            }
        }
    }

    private void addType(JsonNode name) {
        for (JsonType known : JsonType.values()) {
            if (name.isString() && known.name().toLowerCase(Locale.ROOT).equals(name.stringValue())) {
                types.add(known);
            }
        }
    }

    boolean isArray() {
        return types.contains(JsonType.ARRAY);
    }

    boolean isObject() {
        return types.contains(JsonType.OBJECT);
    }

    ExpectedType items() {
        return items == null ? new ExpectedType() : items;
    }

    ExpectedType property(String name) {
        ExpectedType shape = properties.getOrDefault(name, additionalProperties);
        return shape == null ? new ExpectedType() : shape;
    }

    /** The members that the schema names. */
    Set<String> propertyNames() {
        return properties.keySet();
    }

    /** Text as a value; {@code strings} says that a string is preferred where the schema takes one. */
    JsonNode coerce(String text, boolean strings) {
        JsonNodeFactory nodes = JsonNodeFactory.instance;
        if (strings && types.contains(JsonType.STRING)) {
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

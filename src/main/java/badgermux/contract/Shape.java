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
final class Shape {
    /** The types of JSON Schema. */
    enum Type { NULL, BOOLEAN, INTEGER, NUMBER, STRING, ARRAY, OBJECT }

    /** Text holds values in values in a value at the most, and schemas that are joined may be joined themselves. */
    private static final int MAX_NESTING = 2, MAX_JOINED = 8;

    private final Set<Type> types = EnumSet.noneOf(Type.class);
    private final Map<String, Shape> members = new HashMap<>();
    private Shape items;
    private Shape others;

    /** Text of which nothing more is known. */
    static final Shape ANY = new Shape();

    private Shape() { }

    static Shape of(Bundle bundle, String pointer) {
        Shape shape = new Shape();
        shape.add(bundle, pointer, 0, 0);
        return shape;
    }

    private void add(Bundle bundle, String pointer, int nested, int joined) {
        String at = bundle.resolve(pointer);
        JsonNode schema = bundle.at(at);
        if (schema == null || !schema.isObject() || nested > MAX_NESTING || joined > MAX_JOINED) {
            return;
        }
        JsonNode type = schema.get("type");
        if (type != null) {
            for (JsonNode name : type.isArray() ? type : List.of(type)) {
                type(name);
            }
        }
        if (schema.has("nullable") && schema.get("nullable").asBoolean(false)) {
            types.add(Type.NULL);
        }
        if (type == null) {
            for (JsonNode value : schema.has("enum") ? schema.get("enum")
                    : schema.has("const") ? List.of(schema.get("const")) : List.<JsonNode>of()) {
                types.add(value.isBoolean() ? Type.BOOLEAN : value.isIntegralNumber() ? Type.INTEGER
                    : value.isNumber() ? Type.NUMBER : value.isString() ? Type.STRING
                    : value.isNull() ? Type.NULL : value.isArray() ? Type.ARRAY : Type.OBJECT);
            }
        }
        if (schema.has("properties")) {
            if (type == null) {
                types.add(Type.OBJECT);
            }
            for (String name : schema.get("properties").propertyNames()) {
                members.computeIfAbsent(name, n -> new Shape())
                    .add(bundle, at + "/properties/" + Json.step(name), nested + 1, joined);
            }
        }
        if (schema.has("additionalProperties") && schema.get("additionalProperties").isObject()) {
            others = others == null ? new Shape() : others;
            others.add(bundle, at + "/additionalProperties", nested + 1, joined);
        }
        if (schema.has("items")) {
            if (type == null) {
                types.add(Type.ARRAY);
            }
            items = items == null ? new Shape() : items;
            items.add(bundle, at + "/items", nested + 1, joined);
        }
        for (String branch : List.of("allOf", "anyOf", "oneOf")) {
            for (int i = 0; schema.has(branch) && i < schema.get(branch).size(); i++) {
                add(bundle, at + '/' + branch + '/' + i, nested, joined + 1);
            }
        }
    }

    private void type(JsonNode name) {
        for (Type known : Type.values()) {
            if (name.isString() && known.name().toLowerCase(Locale.ROOT).equals(name.stringValue())) {
                types.add(known);
            }
        }
    }

    boolean isArray() {
        return types.contains(Type.ARRAY);
    }

    boolean isObject() {
        return types.contains(Type.OBJECT);
    }

    Shape items() {
        return items == null ? new Shape() : items;
    }

    Shape member(String name) {
        Shape shape = members.getOrDefault(name, others);
        return shape == null ? new Shape() : shape;
    }

    /** The members that the schema names. */
    Set<String> names() {
        return members.keySet();
    }

    /** Text as a value; {@code strings} says that a string is preferred where the schema takes one. */
    JsonNode value(String text, boolean strings) {
        JsonNodeFactory nodes = JsonNodeFactory.instance;
        if (strings && types.contains(Type.STRING)) {
            return nodes.stringNode(text);
        }
        if (types.contains(Type.BOOLEAN) && (text.equals("true") || text.equals("false"))) {
            return nodes.booleanNode(text.equals("true"));
        }
        if ((types.contains(Type.INTEGER) || types.contains(Type.NUMBER)) && isNumber(text)) {
            try {
                return text.matches("-?[0-9]{1,18}") ? nodes.numberNode(Long.parseLong(text)) : Json.number(text, 0);
            } catch (Unreadable e) {
                return nodes.stringNode(text);
            }
        }
        if (types.contains(Type.NULL) && text.equals("null")) {
            return nodes.nullNode();
        }
        return nodes.stringNode(text);
    }

    private static boolean isNumber(String text) {
        return text.length() <= Json.MAX_NUMBER
            && text.matches("-?(0|[1-9][0-9]*)(\\.[0-9]+)?([eE][+-]?[0-9]{1,4})?");
    }
}

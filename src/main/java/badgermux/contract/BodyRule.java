package badgermux.contract;

import badgermux.contract.Parameter.Pair;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.node.JsonNodeFactory;
import tools.jackson.databind.node.ObjectNode;

/**
 * What a description says of bodies of one media type.
 *
 * @param schema the schema; null where any will do
 * @param shape  what it asks for
 * @param fields how the members of a form are written where the description says so
 */
record BodyRule(Schemas.Compiled schema, Shape shape, Map<String, Parameter> fields) {
    private static final Set<String> TEXT = Set.of("utf-8", "utf8", "us-ascii");

    /** The faults of a body; {@link Unreadable} where it can't be read at all. */
    List<Fault> judge(MediaType type, byte[] body, Schemas.Way way, long steps) throws Unreadable {
        if (type.isJson()) {
            if (type.charset() != null && !TEXT.contains(type.charset())) {
                throw new Unreadable(0, "JSON is exchanged in UTF-8");
            }
            JsonNode value = Json.message(body);
            return schema == null ? List.of() : schema.judge(value, way, "body", "", steps);
        }
        if (type.isForm()) {
            return form(Json.text(body), way, steps);
        }
        if (schema == null) {
            return List.of();
        }
        boolean text = type.isText() && (type.charset() == null || TEXT.contains(type.charset()));
        // A char for each byte where bytes are meant, so that lengths are those of the body.
        String value = text ? Json.text(body) : new String(body, StandardCharsets.ISO_8859_1);
        JsonNode read = text ? shape.value(value, false) : JsonNodeFactory.instance.stringNode(value);
        List<Fault> faults = schema.judge(read, way, "body", "", steps);
        return !faults.isEmpty() && text && schema.conforms(shape.value(value, true), way, steps) ? List.of() : faults;
    }

    private List<Fault> form(String text, Schemas.Way way, long steps) throws Unreadable {
        List<Pair> pairs = Pair.parse(text);
        if (schema == null) {
            return List.of();
        }
        List<Fault> faults = new ArrayList<>();
        JsonNode numbers = object(pairs, false, faults);
        if (!faults.isEmpty()) {
            return faults;
        }
        faults = schema.judge(numbers, way, "body", "", steps);
        return !faults.isEmpty() && schema.conforms(object(pairs, true, new ArrayList<>()), way, steps) ? List.of()
            : faults;
    }

    private ObjectNode object(List<Pair> pairs, boolean strings, List<Fault> faults) throws Unreadable {
        ObjectNode object = JsonNodeFactory.instance.objectNode();
        for (Pair pair : pairs) {
            String name = pair.name();
            Parameter field = fields.get(name);
            Shape of = shape.member(name);
            if (of.isArray()) {
                boolean apart = field == null || field.explode();
                if (apart && object.has(name)) {
                    ((tools.jackson.databind.node.ArrayNode) object.get(name)).add(of.items().value(pair.value(),
                        strings));
                    continue;
                }
                object.set(name, Parameter.array(of.items(),
                    apart ? List.of(pair.value()) : List.of(pair.value().split(",", -1)), strings));
            } else if (object.has(name)) {
                faults.add(Fault.body('/' + Json.step(Fault.echo(name)), "repeated", "must stand there once"));
            } else {
                // OpenAPI: a member that is an object is written as JSON where nothing else is said.
                object.set(name, of.isObject() ? Json.message(pair.value().getBytes(StandardCharsets.UTF_8))
                    : of.value(pair.value(), strings));
            }
        }
        return object;
    }
}

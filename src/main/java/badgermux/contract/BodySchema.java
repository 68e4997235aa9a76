package badgermux.contract;

import badgermux.contract.Parameter.QueryPair;
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
 * @param expectedType  what it asks for
 * @param fieldEncodings how the members of a form are written where the description says so
 */
record BodySchema(SchemaCompiler.CompiledSchema schema, ExpectedType expectedType, Map<String, Parameter> fieldEncodings) {
    private static final Set<String> UTF8_CHARSETS = Set.of("utf-8", "utf8", "us-ascii");

    /** The faults of a body; {@link SyntaxException} where it can't be read at all. */
    List<Fault> validate(MediaType type, byte[] body, SchemaCompiler.Direction way, long steps) throws SyntaxException {
        if (type.isJson()) {
            if (type.charset() != null && !UTF8_CHARSETS.contains(type.charset())) {
                throw new SyntaxException(0, "JSON is exchanged in UTF-8");
            }
            JsonNode value = Json.parseMessage(body);
            return schema == null ? List.of() : schema.validate(value, way, "body", "", steps);
        }
        if (type.isForm()) {
            return validateForm(Json.decodeUtf8(body), way, steps);
        }
        if (schema == null) {
            return List.of();
        }
        boolean text = type.isText() && (type.charset() == null || UTF8_CHARSETS.contains(type.charset()));
        // A char for each byte where bytes are meant, so that lengths are those of the body.
        String value = text ? Json.decodeUtf8(body) : new String(body, StandardCharsets.ISO_8859_1);
        JsonNode read = text ? expectedType.coerce(value, false) : JsonNodeFactory.instance.stringNode(value);
        List<Fault> faults = schema.validate(read, way, "body", "", steps);
        return !faults.isEmpty() && text && schema.conforms(expectedType.coerce(value, true), way, steps) ? List.of() : faults;
    }

    private List<Fault> validateForm(String text, SchemaCompiler.Direction way, long steps) throws SyntaxException {
        List<QueryPair> pairs = QueryPair.parse(text);
        if (schema == null) {
            return List.of();
        }
        List<Fault> faults = new ArrayList<>();
        JsonNode numbers = parseForm(pairs, false, faults);
        if (!faults.isEmpty()) {
            return faults;
        }
        faults = schema.validate(numbers, way, "body", "", steps);
        return !faults.isEmpty() && schema.conforms(parseForm(pairs, true, new ArrayList<>()), way, steps) ? List.of()
            : faults;
    }

    private ObjectNode parseForm(List<QueryPair> pairs, boolean strings, List<Fault> faults) throws SyntaxException {
        ObjectNode object = JsonNodeFactory.instance.objectNode();
        for (QueryPair pair : pairs) {
            String name = pair.name();
            Parameter field = fieldEncodings.get(name);
            ExpectedType of = expectedType.property(name);
            if (of.isArray()) {
                boolean apart = field == null || field.explode();
                if (apart && object.has(name)) {
                    ((tools.jackson.databind.node.ArrayNode) object.get(name)).add(of.items().coerce(pair.value(),
                        strings));
                    continue;
                }
                object.set(name, Parameter.toArray(of.items(),
                    apart ? List.of(pair.value()) : List.of(pair.value().split(",", -1)), strings));
            } else if (object.has(name)) {
                faults.add(Fault.inBody('/' + Json.escapeToken(Fault.truncateName(name)), "repeated", "must stand there once"));
            } else {
                // OpenAPI: a member that is an object is written as JSON where nothing else is said.
                object.set(name, of.isObject() ? Json.parseMessage(pair.value().getBytes(StandardCharsets.UTF_8))
                    : of.coerce(pair.value(), strings));
            }
        }
        return object;
    }
}

package badgermux.contract;

import badgermux.contract.Parameter.QueryPair;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.node.ArrayNode;
import tools.jackson.databind.node.JsonNodeFactory;
import tools.jackson.databind.node.ObjectNode;

/**
 * The schema of bodies of one media type.
 *
 * @param schema         the schema; null if any body conforms
 * @param expectedType   the type that the schema expects, to coerce text and form fields
 * @param fieldEncodings the encodings of those form fields for which the description names one
 */
record BodySchema(SchemaCompiler.CompiledSchema schema, ExpectedType expectedType, Map<String, Parameter> fieldEncodings) {
    /** The charsets that are decoded as UTF-8. */
    private static final Set<String> UTF8_CHARSETS = Set.of("utf-8", "utf8", "us-ascii");

    /**
     * Returns the faults of a body.
     *
     * @throws SyntaxException    if the body can't be parsed
     * @throws StepLimitException if the validation exceeds {@code maxSteps}
     */
    List<Fault> validate(MediaType mediaType, byte[] body, SchemaCompiler.Direction direction, long maxSteps)
            throws SyntaxException {
        if (mediaType.isJson()) {
            if (mediaType.charset() != null && !UTF8_CHARSETS.contains(mediaType.charset())) {
                throw new SyntaxException(0, "JSON is exchanged in UTF-8");
            }
            JsonNode decoded = Json.parseMessage(body);
            return schema == null ? List.of() : schema.validate(decoded, direction, "body", "", maxSteps);
        }
        if (mediaType.isForm()) {
            return validateForm(Json.decodeUtf8(body), direction, maxSteps);
        }
        if (schema == null) {
            return List.of();
        }
        boolean isText = mediaType.isText() && (mediaType.charset() == null || UTF8_CHARSETS.contains(mediaType.charset()));
        // Binary bodies get one char for each byte, so that minLength and maxLength count bytes.
        String decoded = isText ? Json.decodeUtf8(body) : new String(body, StandardCharsets.ISO_8859_1);
        JsonNode coerced = isText ? expectedType.coerce(decoded, false) : JsonNodeFactory.instance.stringNode(decoded);
        List<Fault> faults = schema.validate(coerced, direction, "body", "", maxSteps);
        return !faults.isEmpty() && isText && schema.conforms(expectedType.coerce(decoded, true), direction, maxSteps)
            ? List.of() : faults;
    }

    /** Validates a form with typed fields and, if this fails, with strings wherever the schema allows them. */
    private List<Fault> validateForm(String text, SchemaCompiler.Direction direction, long maxSteps) throws SyntaxException {
        List<QueryPair> pairs = QueryPair.parse(text);
        if (schema == null) {
            return List.of();
        }
        List<Fault> faults = new ArrayList<>();
        JsonNode coerced = parseForm(pairs, false, faults);
        if (!faults.isEmpty()) {
            return faults;
        }
        faults = schema.validate(coerced, direction, "body", "", maxSteps);
        return !faults.isEmpty() && schema.conforms(parseForm(pairs, true, new ArrayList<>()), direction, maxSteps) ? List.of()
            : faults;
    }

    /** Converts a form to a JSON object; {@code preferStrings} is as in {@link ExpectedType#coerce}. */
    private ObjectNode parseForm(List<QueryPair> pairs, boolean preferStrings, List<Fault> faults) throws SyntaxException {
        ObjectNode object = JsonNodeFactory.instance.objectNode();
        for (QueryPair pair : pairs) {
            String name = pair.name();
            Parameter encoding = fieldEncodings.get(name);
            ExpectedType memberType = expectedType.property(name);
            if (memberType.isArray()) {
                boolean isExploded = encoding == null || encoding.explode();
                if (isExploded && object.has(name)) {
                    ((ArrayNode) object.get(name)).add(memberType.items().coerce(pair.value(), preferStrings));
                    continue;
                }
                object.set(name, Parameter.toArray(memberType.items(),
                    isExploded ? List.of(pair.value()) : List.of(pair.value().split(",", -1)), preferStrings));
            } else if (object.has(name)) {
                faults.add(Fault.inBody('/' + Json.escapeToken(Fault.truncateName(name)), "repeated", "must stand there once"));
            } else {
                // By OpenAPI, a field whose schema is an object holds JSON, unless its encoding says otherwise.
                object.set(name, memberType.isObject() ? Json.parseMessage(pair.value().getBytes(StandardCharsets.UTF_8))
                    : memberType.coerce(pair.value(), preferStrings));
            }
        }
        return object;
    }
}

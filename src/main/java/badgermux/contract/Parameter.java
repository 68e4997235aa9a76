package badgermux.contract;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.node.ArrayNode;
import tools.jackson.databind.node.JsonNodeFactory;
import tools.jackson.databind.node.ObjectNode;

/**
 * A described parameter: its location, how its value is serialized there (OpenAPI's style and explode, after RFC 6570), and
 * the schema of the value.
 *
 * @param name         the name; not case-sensitive for a header
 * @param in           the location: {@code path}, {@code query}, {@code header} or {@code cookie}
 * @param required     whether the parameter must be present
 * @param style        the serialization style of OpenAPI
 * @param explode      whether the elements of arrays and the members of objects are serialized separately
 * @param jsonEncoded  whether the text is JSON, as described by {@code content}
 * @param expectedType the type that the schema expects, to coerce text
 * @param schema       the schema; null for none
 */
record Parameter(String name, String in, boolean required, String style, boolean explode, boolean jsonEncoded,
        ExpectedType expectedType, SchemaCompiler.CompiledSchema schema) {
    /** The allowed styles for each location. */
    static final Map<String, Set<String>> STYLES_BY_LOCATION = Map.of("path", Set.of("simple", "label", "matrix"),
        "query", Set.of("form", "spaceDelimited", "pipeDelimited", "deepObject"), "header", Set.of("simple"),
        "cookie", Set.of("form"));
    /** The maximum number of array elements, or of names and values, in one parameter. */
    private static final int MAX_PARTS = 1_000;

    /** Validates the decoded text of a path parameter. */
    void validatePathValue(String text, List<Fault> faults, long maxSteps) throws SyntaxException {
        String value = text;
        String[] parts;
        switch (style) {
            case "label" -> {
                if (!text.startsWith(".")) {
                    faults.add(newFault("style", "must begin with a dot"));
                    return;
                }
                value = text.substring(1);
                parts = value.split(explode ? "\\." : ",", -1);
            }
            case "matrix" -> {
                if (!text.startsWith(";")) {
                    faults.add(newFault("style", "must begin with a semicolon"));
                    return;
                }
                value = text.substring(1);
                parts = value.split(explode ? ";" : ",", -1);
                String prefix = name + '=';
                boolean hasMemberNames = explode && expectedType.isObject();
                for (int i = 0; i < parts.length && !hasMemberNames && (explode || i == 0); i++) {
                    if (!parts[i].startsWith(prefix)) {
                        faults.add(newFault("style", "must name the parameter"));
                        return;
                    }
                    parts[i] = parts[i].substring(prefix.length());
                }
                value = value.startsWith(prefix) ? value.substring(prefix.length()) : value;
            }
            default -> parts = text.split(",", -1);
        }
        validateText(value, List.of(parts), faults, maxSteps);
    }

    /** Validates the values of a header, or of the cookies with this name. */
    void validateValues(List<String> values, List<Fault> faults, long maxSteps) throws SyntaxException {
        if (values.isEmpty()) {
            checkRequired(faults);
            return;
        }
        if (in.equals("cookie") && values.size() > 1 && !expectedType.isArray()) {
            faults.add(newFault("repeated", "must stand there once"));
            return;
        }
        String text = in.equals("cookie") && !expectedType.isArray() ? values.get(0) : String.join(",", values);
        String decoded = in.equals("cookie") ? PercentEncoding.decode(text) : text;
        List<String> parts = new ArrayList<>();
        for (String part : decoded.split(",", -1)) {
            parts.add(part.strip());
        }
        validateText(decoded, parts, faults, maxSteps);
    }

    /** Validates this parameter in a query; {@code pairs} are all pairs of the query. */
    void validateQuery(List<QueryPair> pairs, List<Fault> faults, long maxSteps) throws SyntaxException {
        // The value, coerced to the expected type and with strings preferred.
        JsonNode[] candidates = new JsonNode[2];
        if (!jsonEncoded && style.equals("deepObject")) {
            candidates = parseDeepObject(pairs, faults);
            if (candidates == null) {
                return;
            }
        } else if (!jsonEncoded && explode && expectedType.isObject()) {
            candidates = parseExplodedObject(pairs);
        } else {
            List<QueryPair> ownPairs = pairs.stream().filter(pair -> pair.name().equals(name)).toList();
            if (ownPairs.isEmpty()) {
                checkRequired(faults);
                return;
            }
            if (!jsonEncoded && explode && expectedType.isArray() && style.equals("form")) {
                validateText(ownPairs.get(0).value(), ownPairs.stream().map(QueryPair::value).toList(), faults, maxSteps);
                return;
            }
            if (ownPairs.size() > 1) {
                faults.add(newFault("repeated", "must stand there once"));
                return;
            }
            List<String> parts = new ArrayList<>();
            // Split before decoding, because an encoded separator belongs to a value.
            String separator = style.equals("spaceDelimited") ? "%20|\\+| " : style.equals("pipeDelimited")
                ? "\\||%7[cC]" : ",";
            for (String part : ownPairs.get(0).rawValue().split(separator, -1)) {
                parts.add(PercentEncoding.decode(part, true));
            }
            validateText(ownPairs.get(0).value(), parts, faults, maxSteps);
            return;
        }
        if (candidates[0] == null) {
            checkRequired(faults);
        } else {
            validateValue(candidates[0], candidates[1], faults, maxSteps);
        }
    }

    /** Adds a fault if this parameter, which is missing, is required. */
    private void checkRequired(List<Fault> faults) {
        if (required) {
            faults.add(newFault("required", "must be given"));
        }
    }

    private Fault newFault(String keyword, String message) {
        return new Fault(in, '/' + Json.escapeToken(name), keyword, message);
    }

    /**
     * Parses the style deepObject, {@code name[member]=value}. Returns the object twice: with its members coerced to typed
     * values, and with strings preferred. Both are null if there is no member. Returns null and adds a fault if a member is
     * repeated.
     */
    private JsonNode[] parseDeepObject(List<QueryPair> pairs, List<Fault> faults) {
        Map<String, List<String>> valuesByMember = new LinkedHashMap<>();
        for (QueryPair pair : pairs) {
            if (pair.name().startsWith(name + '[') && pair.name().endsWith("]")) {
                valuesByMember.computeIfAbsent(pair.name().substring(name.length() + 1, pair.name().length() - 1),
                    member -> new ArrayList<>()).add(pair.value());
            }
        }
        JsonNode[] candidates = new JsonNode[2];
        for (int variant = 0; variant < 2 && !valuesByMember.isEmpty(); variant++) {
            ObjectNode object = JsonNodeFactory.instance.objectNode();
            for (Map.Entry<String, List<String>> member : valuesByMember.entrySet()) {
                ExpectedType memberType = expectedType.property(member.getKey());
                if (member.getValue().size() > 1 && !memberType.isArray()) {
                    faults.add(newFault("repeated", "must stand there once"));
                    return null;
                }
                object.set(member.getKey(), memberType.isArray() ? toArray(memberType.items(), member.getValue(), variant == 1)
                    : memberType.coerce(member.getValue().get(0), variant == 1));
            }
            candidates[variant] = object;
        }
        return candidates;
    }

    /**
     * Parses an exploded object, each of whose members is a pair of its own in the query. Returns the object twice: with its
     * members coerced to typed values, and with strings preferred. Both are null if there is no member.
     */
    private JsonNode[] parseExplodedObject(List<QueryPair> pairs) {
        JsonNode[] candidates = new JsonNode[2];
        for (int variant = 0; variant < 2; variant++) {
            ObjectNode object = JsonNodeFactory.instance.objectNode();
            for (QueryPair pair : pairs) {
                if (expectedType.propertyNames().contains(pair.name())) {
                    object.set(pair.name(), expectedType.property(pair.name()).coerce(pair.value(), variant == 1));
                }
            }
            candidates[variant] = object.isEmpty() ? null : object;
        }
        return candidates;
    }

    /**
     * Converts a text to a value of the expected type and validates it.
     *
     * @param text  the whole text
     * @param parts the text split into elements, or into names and values
     */
    private void validateText(String text, List<String> parts, List<Fault> faults, long maxSteps) throws SyntaxException {
        if (jsonEncoded) {
            JsonNode value;
            try {
                value = Json.parseMessage(text.getBytes(in.equals("header")
                    ? StandardCharsets.ISO_8859_1 : StandardCharsets.UTF_8));
            } catch (SyntaxException e) {
                throw new SyntaxException(0, in + " parameter " + name + ": " + e.getMessage());
            }
            validateValue(value, value, faults, maxSteps);
        } else if (parts.size() > MAX_PARTS) {
            faults.add(newFault("maxItems", "must have " + MAX_PARTS + " parts or fewer"));
        } else if (expectedType.isArray()) {
            validateValue(toArray(expectedType.items(), parts, false), toArray(expectedType.items(), parts, true), faults,
                maxSteps);
        } else if (expectedType.isObject()) {
            validateObject(parts, faults, maxSteps);
        } else {
            validateValue(expectedType.coerce(text, false), expectedType.coerce(text, true), faults, maxSteps);
        }
    }

    /** Validates an object whose parts are {@code name=value} if exploded, else names and values in turn. */
    private void validateObject(List<String> parts, List<Fault> faults, long maxSteps) {
        ObjectNode coerced = JsonNodeFactory.instance.objectNode();
        ObjectNode asStrings = JsonNodeFactory.instance.objectNode();
        for (int i = 0; i < parts.size(); i += explode ? 1 : 2) {
            int equals = explode ? parts.get(i).indexOf('=') : 0;
            if (equals < 0 || !explode && i + 1 >= parts.size()) {
                faults.add(newFault("style", "must be written in pairs of a name and a value"));
                return;
            }
            String key = explode ? parts.get(i).substring(0, equals) : parts.get(i);
            String value = explode ? parts.get(i).substring(equals + 1) : parts.get(i + 1);
            coerced.set(key, expectedType.property(key).coerce(value, false));
            asStrings.set(key, expectedType.property(key).coerce(value, true));
        }
        validateValue(coerced, asStrings, faults, maxSteps);
    }

    /** Converts parts to an array; {@code preferStrings} is as in {@link ExpectedType#coerce}. */
    static ArrayNode toArray(ExpectedType itemType, List<String> parts, boolean preferStrings) {
        ArrayNode array = JsonNodeFactory.instance.arrayNode();
        parts.forEach(part -> array.add(itemType.coerce(part, preferStrings)));
        return array;
    }

    /** Validates a value. Text that can be coerced in two ways conforms if either value does. */
    private void validateValue(JsonNode value, JsonNode alternative, List<Fault> faults, long maxSteps) {
        if (schema == null || value.isString() && schema.acceptsAnyString()) {
            return;
        }
        List<Fault> valueFaults = schema.validate(value, SchemaCompiler.Direction.REQUEST, in, '/' + Json.escapeToken(name),
            maxSteps);
        if (!valueFaults.isEmpty() && !value.equals(alternative)) {
            valueFaults = schema.conforms(alternative, SchemaCompiler.Direction.REQUEST, maxSteps) ? List.of() : valueFaults;
        }
        faults.addAll(valueFaults);
    }

    /** A decoded name and value of a query or a form; {@code rawValue} is the value before decoding. */
    record QueryPair(String name, String value, String rawValue) {
        private static final int MAX_PAIRS = 2_000;

        /** Parses a query or a form. */
        static List<QueryPair> parse(String text) throws SyntaxException {
            List<QueryPair> pairs = new ArrayList<>();
            for (String part : text.isEmpty() ? new String[0] : text.split("&", -1)) {
                if (pairs.size() == MAX_PAIRS) {
                    throw new SyntaxException(0, "more than " + MAX_PAIRS + " pairs of a name and a value");
                }
                if (!part.isEmpty()) {
                    int equals = part.indexOf('=');
                    String rawValue = equals < 0 ? "" : part.substring(equals + 1);
                    pairs.add(new QueryPair(PercentEncoding.decode(equals < 0 ? part : part.substring(0, equals), true),
                        PercentEncoding.decode(rawValue, true), rawValue));
                }
            }
            return pairs;
        }
    }

    /** Returns the values of all cookies with this name in the Cookie headers. */
    static List<String> cookieValues(List<String> headers, String name) {
        List<String> values = new ArrayList<>();
        for (String header : headers) {
            for (String cookie : header.split(";")) {
                int equals = cookie.indexOf('=');
                if (equals > 0 && cookie.substring(0, equals).strip().equals(name)) {
                    values.add(cookie.substring(equals + 1).strip());
                }
            }
        }
        return values;
    }

    /** Whether OpenAPI ignores header parameters of this name, as other parts of a description specify them. */
    static boolean isIgnoredHeader(String name) {
        return Set.of("accept", "content-type", "authorization").contains(name.toLowerCase(Locale.ROOT));
    }
}

package badgermux.contract;

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
 * One described parameter: where it stands, how a value is written there (OpenAPI's style and explode, after RFC 6570),
 * and the schema of that value.
 *
 * @param name     its name; that of a header in any case
 * @param in       {@code path}, {@code query}, {@code header} or {@code cookie}
 * @param required whether it must be there
 * @param style    OpenAPI's word
 * @param explode  whether arrays and objects are written part by part
 * @param jsonEncoded     whether the text is JSON, by {@code content}
 * @param expectedType    what the schema asks for
 * @param schema   the schema; null for none
 */
record Parameter(String name, String in, boolean required, String style, boolean explode, boolean jsonEncoded, ExpectedType expectedType,
        SchemaCompiler.CompiledSchema schema) {
    /** Which styles go with which place. */
    static final Map<String, Set<String>> STYLES_BY_LOCATION = Map.of("path", Set.of("simple", "label", "matrix"),
        "query", Set.of("form", "spaceDelimited", "pipeDelimited", "deepObject"), "header", Set.of("simple"),
        "cookie", Set.of("form"));
    private static final int MAX_PARTS = 1_000;

    /** Judges a path parameter's text. */
    void validatePathValue(String text, List<Fault> faults, long steps) throws SyntaxException {
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
                String start = name + '=';
                boolean pairs = explode && expectedType.isObject();
                for (int i = 0; i < parts.length && !pairs && (explode || i == 0); i++) {
                    if (!parts[i].startsWith(start)) {
                        faults.add(newFault("style", "must name the parameter"));
                        return;
                    }
                    parts[i] = parts[i].substring(start.length());
                }
                value = value.startsWith(start) ? value.substring(start.length()) : value;
            }
            default -> parts = text.split(",", -1);
        }
        validateText(value, List.of(parts), faults, steps);
    }

    /** Judges the values of a header, or of the pieces of a cookie of this name. */
    void validateValues(List<String> values, List<Fault> faults, long steps) throws SyntaxException {
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
        validateText(decoded, parts, faults, steps);
    }

    /** Judges what a query, or a form, holds of this parameter; {@code pairs} are decoded, {@code raw} are not. */
    void validateQuery(List<QueryPair> pairs, List<Fault> faults, long steps) throws SyntaxException {
        JsonNode[] read = new JsonNode[2];
        if (!jsonEncoded && style.equals("deepObject")) {
            read = parseDeepObject(pairs, faults);
            if (read == null) {
                return;
            }
        } else if (!jsonEncoded && explode && expectedType.isObject()) {
            read = parseExplodedObject(pairs);
        } else {
            List<QueryPair> own = pairs.stream().filter(pair -> pair.name().equals(name)).toList();
            if (own.isEmpty()) {
                checkRequired(faults);
                return;
            }
            if (!jsonEncoded && explode && expectedType.isArray() && style.equals("form")) {
                validateText(own.get(0).value(), own.stream().map(QueryPair::value).toList(), faults, steps);
                return;
            }
            if (own.size() > 1) {
                faults.add(newFault("repeated", "must stand there once"));
                return;
            }
            List<String> parts = new ArrayList<>();
            // The separator counts as it was written: one that came encoded belongs to a value.
            String separator = style.equals("spaceDelimited") ? "%20|\\+| " : style.equals("pipeDelimited")
                ? "\\||%7[cC]" : ",";
            for (String part : own.get(0).rawValue().split(separator, -1)) {
                parts.add(PercentEncoding.decode(part, true));
            }
            validateText(own.get(0).value(), parts, faults, steps);
            return;
        }
        if (read[0] == null) {
            checkRequired(faults);
        } else {
            validateValue(read[0], read[1], faults, steps);
        }
    }

    private void checkRequired(List<Fault> faults) {
        if (required) {
            faults.add(newFault("required", "must be given"));
        }
    }

    private Fault newFault(String keyword, String message) {
        return new Fault(in, '/' + Json.escapeToken(name), keyword, message);
    }

    /** {@code name[member]=value}. */
    private JsonNode[] parseDeepObject(List<QueryPair> pairs, List<Fault> faults) {
        Map<String, List<String>> found = new LinkedHashMap<>();
        for (QueryPair pair : pairs) {
            if (pair.name().startsWith(name + '[') && pair.name().endsWith("]")) {
                found.computeIfAbsent(pair.name().substring(name.length() + 1, pair.name().length() - 1),
                    n -> new ArrayList<>()).add(pair.value());
            }
        }
        JsonNode[] read = new JsonNode[2];
        for (int way = 0; way < 2 && !found.isEmpty(); way++) {
            ObjectNode object = JsonNodeFactory.instance.objectNode();
            for (Map.Entry<String, List<String>> member : found.entrySet()) {
                ExpectedType of = expectedType.property(member.getKey());
                if (member.getValue().size() > 1 && !of.isArray()) {
                    faults.add(newFault("repeated", "must stand there once"));
                    return null;
                }
                object.set(member.getKey(), of.isArray() ? toArray(of.items(), member.getValue(), way == 1)
                    : of.coerce(member.getValue().get(0), way == 1));
            }
            read[way] = object;
        }
        return read;
    }

    /** An exploded object: its members stand among the other parameters. */
    private JsonNode[] parseExplodedObject(List<QueryPair> pairs) {
        JsonNode[] read = new JsonNode[2];
        for (int way = 0; way < 2; way++) {
            ObjectNode object = JsonNodeFactory.instance.objectNode();
            for (QueryPair pair : pairs) {
                if (expectedType.propertyNames().contains(pair.name())) {
                    object.set(pair.name(), expectedType.property(pair.name()).coerce(pair.value(), way == 1));
                }
            }
            read[way] = object.isEmpty() ? null : object;
        }
        return read;
    }

    private void validateText(String whole, List<String> parts, List<Fault> faults, long steps) throws SyntaxException {
        if (jsonEncoded) {
            JsonNode value;
            try {
                value = Json.parseMessage(whole.getBytes(in.equals("header")
                    ? java.nio.charset.StandardCharsets.ISO_8859_1 : java.nio.charset.StandardCharsets.UTF_8));
            } catch (SyntaxException e) {
                throw new SyntaxException(0, in + " parameter " + name + ": " + e.getMessage());
            }
            validateValue(value, value, faults, steps);
        } else if (parts.size() > MAX_PARTS) {
            faults.add(newFault("maxItems", "must have " + MAX_PARTS + " parts or fewer"));
        } else if (expectedType.isArray()) {
            validateValue(toArray(expectedType.items(), parts, false), toArray(expectedType.items(), parts, true), faults, steps);
        } else if (expectedType.isObject()) {
            validateObject(parts, faults, steps);
        } else {
            validateValue(expectedType.coerce(whole, false), expectedType.coerce(whole, true), faults, steps);
        }
    }

    private void validateObject(List<String> parts, List<Fault> faults, long steps) {
        ObjectNode numbers = JsonNodeFactory.instance.objectNode();
        ObjectNode strings = JsonNodeFactory.instance.objectNode();
        for (int i = 0; i < parts.size(); i += explode ? 1 : 2) {
            int equals = explode ? parts.get(i).indexOf('=') : 0;
            if (equals < 0 || !explode && i + 1 >= parts.size()) {
                faults.add(newFault("style", "must be written in pairs of a name and a value"));
                return;
            }
            String key = explode ? parts.get(i).substring(0, equals) : parts.get(i);
            String value = explode ? parts.get(i).substring(equals + 1) : parts.get(i + 1);
            numbers.set(key, expectedType.property(key).coerce(value, false));
            strings.set(key, expectedType.property(key).coerce(value, true));
        }
        validateValue(numbers, strings, faults, steps);
    }

    static ArrayNode toArray(ExpectedType of, List<String> parts, boolean strings) {
        ArrayNode array = JsonNodeFactory.instance.arrayNode();
        parts.forEach(part -> array.add(of.coerce(part, strings)));
        return array;
    }

    /** Text that may be read in two ways conforms if one of them does. */
    private void validateValue(JsonNode value, JsonNode other, List<Fault> faults, long steps) {
        if (schema == null || value.isString() && schema.acceptsAnyString()) {
            return;
        }
        List<Fault> found = schema.validate(value, SchemaCompiler.Direction.REQUEST, in, '/' + Json.escapeToken(name), steps);
        if (!found.isEmpty() && !value.equals(other)) {
            found = schema.conforms(other, SchemaCompiler.Direction.REQUEST, steps) ? List.of() : found;
        }
        faults.addAll(found);
    }

    /** A name and a value of a query or a form, decoded, and the value as it came. */
    record QueryPair(String name, String value, String rawValue) {
        private static final int MAX_PAIRS = 2_000;

        static List<QueryPair> parse(String text) throws SyntaxException {
            List<QueryPair> pairs = new ArrayList<>();
            for (String part : text.isEmpty() ? new String[0] : text.split("&", -1)) {
                if (pairs.size() == MAX_PAIRS) {
                    throw new SyntaxException(0, "more than " + MAX_PAIRS + " pairs of a name and a value");
                }
                if (!part.isEmpty()) {
                    int equals = part.indexOf('=');
                    String raw = equals < 0 ? "" : part.substring(equals + 1);
                    pairs.add(new QueryPair(PercentEncoding.decode(equals < 0 ? part : part.substring(0, equals), true),
                        PercentEncoding.decode(raw, true), raw));
                }
            }
            return pairs;
        }
    }

    /** The pieces of all Cookie lines that have this name. */
    static List<String> cookieValues(List<String> lines, String name) {
        List<String> values = new ArrayList<>();
        for (String line : lines) {
            for (String piece : line.split(";")) {
                int equals = piece.indexOf('=');
                if (equals > 0 && piece.substring(0, equals).strip().equals(name)) {
                    values.add(piece.substring(equals + 1).strip());
                }
            }
        }
        return values;
    }

    /** Headers that OpenAPI leaves to other parts of a description. */
    static boolean isIgnoredHeader(String name) {
        return Set.of("accept", "content-type", "authorization").contains(name.toLowerCase(Locale.ROOT));
    }
}

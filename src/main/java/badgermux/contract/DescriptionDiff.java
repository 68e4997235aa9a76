package badgermux.contract;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.stream.Collectors;
import tools.jackson.databind.JsonNode;

/**
 * What a new revision of a description would refuse and the old one did not: removed routes and media types, and schemas
 * that became narrower. It looks at keywords one by one, so that a change which two keywords make good together is told
 * all the same.
 */
public final class DescriptionDiff {
    /**
     * One change that may break clients.
     *
     * @param route   the method and path, or the channel
     * @param pointer where it stands in the new description; in the old one, for what was removed
     * @param reason  what changed
     */
    public record BreakingChange(String route, String pointer, String reason) {
        @Override public String toString() {
            return route + ": " + reason + (pointer.isEmpty() ? "" : " (at " + pointer + ')');
        }
    }

    private static final int MAX_DEPTH = 40, MAX_CHANGES = 1_000;
    private static final Set<String> TYPES = Set.of("null", "boolean", "number", "integer", "string", "array", "object");

    private final DocumentBundle before;
    private final DocumentBundle after;
    private final List<BreakingChange> changes = new ArrayList<>();
    private final Set<String> comparedPairs = new HashSet<>();
    private String route;

    private DescriptionDiff(DocumentBundle before, DocumentBundle after) {
        this.before = before;
        this.after = after;
    }

    /** The changes, in the order of the old description. */
    public static List<BreakingChange> breakingChanges(ApiDescription before, ApiDescription after) {
        DescriptionDiff diff = new DescriptionDiff(before.bundle(), after.bundle());
        Map<String, Operation> operations = new LinkedHashMap<>();
        after.routes.forEach(r -> operations.put(routeKey(r), r.operation()));
        for (ApiDescription.Route old : before.routes) {
            diff.route = old.method() + ' ' + old.template();
            Operation now = operations.get(routeKey(old));
            if (now == null) {
                diff.addChange(old.operation().pointer, "removed");
            } else {
                diff.compareOperations(old.operation(), now);
            }
        }
        Map<String, ApiDescription.Channel> channels = new LinkedHashMap<>();
        after.channels.forEach(c -> channels.put(normalizeTemplate(c.template()), c));
        for (ApiDescription.Channel old : before.channels) {
            diff.route = "channel " + old.template();
            ApiDescription.Channel now = channels.get(normalizeTemplate(old.template()));
            if (now == null) {
                diff.addChange("", "removed");
            } else {
                diff.compareStreams("posted", old.requestStream(), now.requestStream());
                diff.compareStreams("answered", old.responseStream(), now.responseStream());
            }
        }
        return diff.changes;
    }

    private static String routeKey(ApiDescription.Route route) {
        return route.method() + ' ' + normalizeTemplate(route.template());
    }

    private static String normalizeTemplate(String template) {
        return template.replaceAll("\\{[^}]*}", "{}");
    }

    private void addChange(String pointer, String reason) {
        BreakingChange change = new BreakingChange(route, pointer, reason);
        if (changes.size() < MAX_CHANGES && !changes.contains(change)) {
            changes.add(change);
        }
    }

    private void compareOperations(Operation old, Operation now) {
        Map<String, Parameter> known = old.parameters.stream()
            .collect(Collectors.toMap(p -> p.in() + ' ' + parameterKey(old, p), p -> p, (a, b) -> a));
        for (Parameter parameter : now.parameters) {
            Parameter was = known.get(parameter.in() + ' ' + parameterKey(now, parameter));
            String name = parameter.in() + " parameter " + parameter.name();
            if (was == null || !was.required()) {
                if (parameter.required()) {
                    addChange(now.pointer, name + " is now required");
                }
            }
            if (was != null) {
                if (!was.style().equals(parameter.style()) || was.explode() != parameter.explode()
                        || was.jsonEncoded() != parameter.jsonEncoded()) {
                    addChange(now.pointer, name + " is written in another way");
                }
                compareSchemas(was.schema(), parameter.schema());
            }
        }
        if (now.bodyRequired && !old.bodyRequired) {
            addChange(now.pointer, "a body is now required");
        }
        if (now.bodySchemas == null) {
            return;
        }
        if (old.bodySchemas == null) {
            addChange(now.pointer, "bodies are now judged");
            return;
        }
        old.bodySchemas.forEach((type, rule) -> {
            BodySchema next = now.bodySchemas.get(type);
            next = next == null ? MediaType.bestMatch(now.bodySchemas, type) : next;
            if (next == null) {
                addChange(now.pointer, "the media type " + type + " is no longer taken");
            } else {
                compareSchemas(rule.schema(), next.schema());
            }
        });
    }

    /** A path's parameter is known by its place, since its name is nobody's business but the description's. */
    private static String parameterKey(Operation of, Parameter parameter) {
        return parameter.in().equals("path") ? String.valueOf(of.pathParameterNames.indexOf(parameter.name())) : parameter.name();
    }

    private void compareStreams(String which, MessageStream old, MessageStream now) {
        if (now == null) {
            return;
        }
        if (old == null) {
            addChange("", which + " lines are now judged");
            return;
        }
        old.messages().forEach((name, message) -> {
            MessageStream.Message next = now.messages().get(name);
            if (next == null) {
                addChange("", which + " message removed: " + name);
            } else {
                compareSchemas(message.payload(), next.payload());
                compareSchemas(message.headers(), next.headers());
                if (next.correlationIdPath() != null && !next.correlationIdPath().equals(message.correlationIdPath())) {
                    addChange("", which + " message " + name + " has another correlation id");
                }
            }
        });
        if (now.order() == null) {
            return;
        }
        if (old.order() == null) {
            addChange("", which + " messages now have an order");
            return;
        }
        reportRemoved(which + " messages may no longer come first: ", old.order().first(), now.order().first());
        reportRemoved(which + " messages may no longer come last: ", old.order().last(), now.order().last());
        old.order().follow().forEach((from, next) -> reportRemoved(which + " messages may no longer follow " + from + ": ",
            next, now.order().follow().getOrDefault(from, Set.of())));
    }

    private void reportRemoved(String words, Set<String> old, Set<String> now) {
        Set<String> gone = new LinkedHashSet<>(old);
        gone.removeAll(now);
        if (!gone.isEmpty()) {
            addChange("", words + String.join(", ", gone));
        }
    }

    private void compareSchemas(SchemaCompiler.CompiledSchema old, SchemaCompiler.CompiledSchema now) {
        if (now != null) {
            compareSchemasAt(old == null ? null : old.pointer(), now.pointer(), 0);
        }
    }

    /** {@code oldAt} is null where there was no schema. */
    private void compareSchemasAt(String oldAt, String nowAt, int depth) {
        String from = oldAt == null ? null : before.resolve(oldAt);
        String to = after.resolve(nowAt);
        if (depth > MAX_DEPTH || !comparedPairs.add(route + ' ' + from + ' ' + to)) {
            return;
        }
        JsonNode old = from == null ? null : before.valueAt(from);
        JsonNode now = after.valueAt(to);
        if (old != null && old.equals(now) && before.root().equals(after.root())) {
            return;
        }
        if (now.isBoolean() || old != null && old.isBoolean()) {
            if (now.isBoolean() && !now.booleanValue() && !(old != null && old.isBoolean() && !old.booleanValue())) {
                addChange(to, "nothing is allowed any more");
            } else if (now.isObject() && !now.isEmpty() && old.booleanValue()) {
                addChange(to, "no longer takes any value");
            }
            return;
        }
        compareTypes(old, now, to);
        compareBound("minimum", old, now, to, (a, b) -> a.compareTo(b) < 0);
        compareBound("exclusiveMinimum", old, now, to, (a, b) -> a.compareTo(b) < 0);
        compareBound("minLength", old, now, to, (a, b) -> a.compareTo(b) < 0);
        compareBound("minItems", old, now, to, (a, b) -> a.compareTo(b) < 0);
        compareBound("minProperties", old, now, to, (a, b) -> a.compareTo(b) < 0);
        compareBound("maximum", old, now, to, (a, b) -> a.compareTo(b) > 0);
        compareBound("exclusiveMaximum", old, now, to, (a, b) -> a.compareTo(b) > 0);
        compareBound("maxLength", old, now, to, (a, b) -> a.compareTo(b) > 0);
        compareBound("maxItems", old, now, to, (a, b) -> a.compareTo(b) > 0);
        compareBound("maxProperties", old, now, to, (a, b) -> a.compareTo(b) > 0);
        for (String keyword : List.of("pattern", "format", "multipleOf", "const", "not", "if", "then", "else",
                "uniqueItems", "dependentRequired", "dependentSchemas", "propertyNames", "contains",
                "unevaluatedProperties", "patternProperties", "discriminator")) {
            JsonNode a = keywordValue(old, keyword);
            JsonNode b = keywordValue(now, keyword);
            boolean off = b == null || b.isBoolean() && b.booleanValue() == keyword.startsWith("uneval");
            if (!off && !Objects.equals(a, b)) {
                addChange(to + '/' + keyword, keyword + (a == null ? " was added" : " has changed"));
            }
        }
        compareEnums(old, now, to);
        compareMembers(old, now, from, to, depth);
        compareAlternatives(old, now, from, to, depth);
    }

    private static JsonNode keywordValue(JsonNode of, String keyword) {
        return of == null || !of.isObject() ? null : of.get(keyword);
    }

    private static Set<String> typesOf(JsonNode schema) {
        JsonNode type = keywordValue(schema, "type");
        Set<String> types = new LinkedHashSet<>();
        if (type == null) {
            types.addAll(TYPES);
        } else if (type.isArray()) {
            type.forEach(each -> types.add(each.asString("")));
        } else {
            types.add(type.asString(""));
        }
        JsonNode nullable = keywordValue(schema, "nullable");
        if (nullable != null && nullable.asBoolean(false)) {
            types.add("null");
        }
        if (types.contains("number")) {
            types.add("integer");
        }
        return types;
    }

    private void compareTypes(JsonNode old, JsonNode now, String at) {
        Set<String> gone = typesOf(old);
        gone.removeAll(typesOf(now));
        if (gone.contains("number") && typesOf(now).contains("integer")) {
            gone.remove("integer");
        }
        if (!gone.isEmpty()) {
            addChange(at + "/type", "no longer takes " + gone.stream().sorted().collect(Collectors.joining(", ")));
        }
    }

    private void compareBound(String keyword, JsonNode old, JsonNode now, String at,
            BiPredicate<BigDecimal, BigDecimal> tighter) {
        JsonNode a = keywordValue(old, keyword);
        JsonNode b = keywordValue(now, keyword);
        if (b == null || Objects.equals(a, b)) {
            return;
        }
        if (!b.isNumber()) {
            if (b.asBoolean(false)) {
                addChange(at + '/' + keyword, keyword + " was added");
            }
        } else if (a == null || !a.isNumber() || tighter.test(a.decimalValue(), b.decimalValue())) {
            addChange(at + '/' + keyword, keyword + " is now " + b);
        }
    }

    private void compareEnums(JsonNode old, JsonNode now, String at) {
        JsonNode b = keywordValue(now, "enum");
        if (b == null) {
            return;
        }
        JsonNode a = keywordValue(old, "enum");
        if (a == null) {
            JsonNode fixed = keywordValue(old, "const");
            if (fixed == null || !contains(b, fixed)) {
                addChange(at + "/enum", "only listed values are taken now");
            }
            return;
        }
        List<String> gone = new ArrayList<>();
        a.forEach(value -> {
            if (!contains(b, value)) {
                gone.add(value.toString());
            }
        });
        if (!gone.isEmpty()) {
            addChange(at + "/enum", "no longer takes " + String.join(", ", gone));
        }
    }

    private static boolean contains(JsonNode list, JsonNode value) {
        for (JsonNode each : list) {
            if (each.equals(value)) {
                return true;
            }
        }
        return false;
    }

    private void compareMembers(JsonNode old, JsonNode now, String from, String to, int depth) {
        JsonNode required = keywordValue(now, "required");
        JsonNode was = keywordValue(old, "required");
        if (required != null && required.isArray()) {
            required.forEach(name -> {
                if (was == null || !contains(was, name)) {
                    addChange(to + "/required", name.asString("") + " is now required");
                }
            });
        }
        JsonNode a = keywordValue(old, "properties");
        JsonNode b = keywordValue(now, "properties");
        JsonNode others = keywordValue(now, "additionalProperties");
        JsonNode othersWere = keywordValue(old, "additionalProperties");
        if (others != null && others.isBoolean() && !others.booleanValue()
                && !(othersWere != null && othersWere.isBoolean() && !othersWere.booleanValue())) {
            addChange(to + "/additionalProperties", "members that are not described are no longer taken");
        } else if (others != null && others.isObject() && !(othersWere != null && othersWere.isBoolean())) {
            compareSchemasAt(othersWere == null ? null : from + "/additionalProperties", to + "/additionalProperties", depth + 1);
        }
        if (a != null) {
            for (String name : a.propertyNames()) {
                if (b != null && b.get(name) != null) {
                    compareSchemasAt(from + "/properties/" + Json.escapeToken(name), to + "/properties/" + Json.escapeToken(name), depth + 1);
                } else if (others != null && others.isBoolean() && !others.booleanValue()) {
                    addChange(to + "/properties", "the member " + name + " is no longer taken");
                } else if (others != null && others.isObject()) {
                    compareSchemasAt(from + "/properties/" + Json.escapeToken(name), to + "/additionalProperties", depth + 1);
                }
            }
        }
        if (keywordValue(now, "items") != null) {
            compareSchemasAt(keywordValue(old, "items") == null ? null : from + "/items", to + "/items", depth + 1);
        }
    }

    private void compareAlternatives(JsonNode old, JsonNode now, String from, String to, int depth) {
        for (String keyword : List.of("allOf", "anyOf", "oneOf", "prefixItems")) {
            JsonNode a = keywordValue(old, keyword);
            JsonNode b = keywordValue(now, keyword);
            if (b == null) {
                continue;
            }
            boolean narrower = a == null || (keyword.equals("allOf") ? b.size() > a.size() : b.size() < a.size());
            if (narrower) {
                addChange(to + '/' + keyword, keyword + (a == null ? " was added" : " has become narrower"));
            }
            for (int i = 0; a != null && i < Math.min(a.size(), b.size()) && !narrower; i++) {
                compareSchemasAt(from + '/' + keyword + '/' + i, to + '/' + keyword + '/' + i, depth + 1);
            }
        }
    }
}

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
public final class Diff {
    /**
     * One change that may break clients.
     *
     * @param route   the method and path, or the channel
     * @param pointer where it stands in the new description; in the old one, for what was removed
     * @param reason  what changed
     */
    public record Change(String route, String pointer, String reason) {
        @Override public String toString() {
            return route + ": " + reason + (pointer.isEmpty() ? "" : " (at " + pointer + ')');
        }
    }

    private static final int MAX_DEPTH = 40, MAX_CHANGES = 1_000;
    private static final Set<String> TYPES = Set.of("null", "boolean", "number", "integer", "string", "array", "object");

    private final Bundle before;
    private final Bundle after;
    private final List<Change> changes = new ArrayList<>();
    private final Set<String> seen = new HashSet<>();
    private String route;

    private Diff(Bundle before, Bundle after) {
        this.before = before;
        this.after = after;
    }

    /** The changes, in the order of the old description. */
    public static List<Change> of(Description before, Description after) {
        Diff diff = new Diff(before.bundle(), after.bundle());
        Map<String, Operation> operations = new LinkedHashMap<>();
        after.routes.forEach(r -> operations.put(key(r), r.operation()));
        for (Description.Route old : before.routes) {
            diff.route = old.method() + ' ' + old.template();
            Operation now = operations.get(key(old));
            if (now == null) {
                diff.add(old.operation().pointer, "removed");
            } else {
                diff.operation(old.operation(), now);
            }
        }
        Map<String, Description.Channel> channels = new LinkedHashMap<>();
        after.channels.forEach(c -> channels.put(shape(c.template()), c));
        for (Description.Channel old : before.channels) {
            diff.route = "channel " + old.template();
            Description.Channel now = channels.get(shape(old.template()));
            if (now == null) {
                diff.add("", "removed");
            } else {
                diff.flow("posted", old.posted(), now.posted());
                diff.flow("answered", old.answered(), now.answered());
            }
        }
        return diff.changes;
    }

    private static String key(Description.Route route) {
        return route.method() + ' ' + shape(route.template());
    }

    private static String shape(String template) {
        return template.replaceAll("\\{[^}]*}", "{}");
    }

    private void add(String pointer, String reason) {
        Change change = new Change(route, pointer, reason);
        if (changes.size() < MAX_CHANGES && !changes.contains(change)) {
            changes.add(change);
        }
    }

    private void operation(Operation old, Operation now) {
        Map<String, Parameter> known = old.parameters.stream()
            .collect(Collectors.toMap(p -> p.in() + ' ' + place(old, p), p -> p, (a, b) -> a));
        for (Parameter parameter : now.parameters) {
            Parameter was = known.get(parameter.in() + ' ' + place(now, parameter));
            String name = parameter.in() + " parameter " + parameter.name();
            if (was == null || !was.required()) {
                if (parameter.required()) {
                    add(now.pointer, name + " is now required");
                }
            }
            if (was != null) {
                if (!was.style().equals(parameter.style()) || was.explode() != parameter.explode()
                        || was.json() != parameter.json()) {
                    add(now.pointer, name + " is written in another way");
                }
                schemas(was.schema(), parameter.schema());
            }
        }
        if (now.bodyRequired && !old.bodyRequired) {
            add(now.pointer, "a body is now required");
        }
        if (now.content == null) {
            return;
        }
        if (old.content == null) {
            add(now.pointer, "bodies are now judged");
            return;
        }
        old.content.forEach((type, rule) -> {
            BodyRule next = now.content.get(type);
            next = next == null ? MediaType.best(now.content, type) : next;
            if (next == null) {
                add(now.pointer, "the media type " + type + " is no longer taken");
            } else {
                schemas(rule.schema(), next.schema());
            }
        });
    }

    /** A path's parameter is known by its place, since its name is nobody's business but the description's. */
    private static String place(Operation of, Parameter parameter) {
        return parameter.in().equals("path") ? String.valueOf(of.pathNames.indexOf(parameter.name())) : parameter.name();
    }

    private void flow(String which, Flow old, Flow now) {
        if (now == null) {
            return;
        }
        if (old == null) {
            add("", which + " lines are now judged");
            return;
        }
        old.messages().forEach((name, message) -> {
            Flow.Message next = now.messages().get(name);
            if (next == null) {
                add("", which + " message removed: " + name);
            } else {
                schemas(message.payload(), next.payload());
                schemas(message.headers(), next.headers());
                if (next.correlation() != null && !next.correlation().equals(message.correlation())) {
                    add("", which + " message " + name + " has another correlation id");
                }
            }
        });
        if (now.order() == null) {
            return;
        }
        if (old.order() == null) {
            add("", which + " messages now have an order");
            return;
        }
        narrowed(which + " messages may no longer come first: ", old.order().first(), now.order().first());
        narrowed(which + " messages may no longer come last: ", old.order().last(), now.order().last());
        old.order().follow().forEach((from, next) -> narrowed(which + " messages may no longer follow " + from + ": ",
            next, now.order().follow().getOrDefault(from, Set.of())));
    }

    private void narrowed(String words, Set<String> old, Set<String> now) {
        Set<String> gone = new LinkedHashSet<>(old);
        gone.removeAll(now);
        if (!gone.isEmpty()) {
            add("", words + String.join(", ", gone));
        }
    }

    private void schemas(Schemas.Compiled old, Schemas.Compiled now) {
        if (now != null) {
            schema(old == null ? null : old.pointer(), now.pointer(), 0);
        }
    }

    /** {@code oldAt} is null where there was no schema. */
    private void schema(String oldAt, String nowAt, int depth) {
        String from = oldAt == null ? null : before.resolve(oldAt);
        String to = after.resolve(nowAt);
        if (depth > MAX_DEPTH || !seen.add(route + ' ' + from + ' ' + to)) {
            return;
        }
        JsonNode old = from == null ? null : before.at(from);
        JsonNode now = after.at(to);
        if (old != null && old.equals(now) && before.root().equals(after.root())) {
            return;
        }
        if (now.isBoolean() || old != null && old.isBoolean()) {
            if (now.isBoolean() && !now.booleanValue() && !(old != null && old.isBoolean() && !old.booleanValue())) {
                add(to, "nothing is allowed any more");
            } else if (now.isObject() && !now.isEmpty() && old.booleanValue()) {
                add(to, "no longer takes any value");
            }
            return;
        }
        types(old, now, to);
        bound("minimum", old, now, to, (a, b) -> a.compareTo(b) < 0);
        bound("exclusiveMinimum", old, now, to, (a, b) -> a.compareTo(b) < 0);
        bound("minLength", old, now, to, (a, b) -> a.compareTo(b) < 0);
        bound("minItems", old, now, to, (a, b) -> a.compareTo(b) < 0);
        bound("minProperties", old, now, to, (a, b) -> a.compareTo(b) < 0);
        bound("maximum", old, now, to, (a, b) -> a.compareTo(b) > 0);
        bound("exclusiveMaximum", old, now, to, (a, b) -> a.compareTo(b) > 0);
        bound("maxLength", old, now, to, (a, b) -> a.compareTo(b) > 0);
        bound("maxItems", old, now, to, (a, b) -> a.compareTo(b) > 0);
        bound("maxProperties", old, now, to, (a, b) -> a.compareTo(b) > 0);
        for (String keyword : List.of("pattern", "format", "multipleOf", "const", "not", "if", "then", "else",
                "uniqueItems", "dependentRequired", "dependentSchemas", "propertyNames", "contains",
                "unevaluatedProperties", "patternProperties", "discriminator")) {
            JsonNode a = get(old, keyword);
            JsonNode b = get(now, keyword);
            boolean off = b == null || b.isBoolean() && b.booleanValue() == keyword.startsWith("uneval");
            if (!off && !Objects.equals(a, b)) {
                add(to + '/' + keyword, keyword + (a == null ? " was added" : " has changed"));
            }
        }
        values(old, now, to);
        members(old, now, from, to, depth);
        alternatives(old, now, from, to, depth);
    }

    private static JsonNode get(JsonNode of, String keyword) {
        return of == null || !of.isObject() ? null : of.get(keyword);
    }

    private static Set<String> typesOf(JsonNode schema) {
        JsonNode type = get(schema, "type");
        Set<String> types = new LinkedHashSet<>();
        if (type == null) {
            types.addAll(TYPES);
        } else if (type.isArray()) {
            type.forEach(each -> types.add(each.asString("")));
        } else {
            types.add(type.asString(""));
        }
        JsonNode nullable = get(schema, "nullable");
        if (nullable != null && nullable.asBoolean(false)) {
            types.add("null");
        }
        if (types.contains("number")) {
            types.add("integer");
        }
        return types;
    }

    private void types(JsonNode old, JsonNode now, String at) {
        Set<String> gone = typesOf(old);
        gone.removeAll(typesOf(now));
        if (gone.contains("number") && typesOf(now).contains("integer")) {
            gone.remove("integer");
        }
        if (!gone.isEmpty()) {
            add(at + "/type", "no longer takes " + gone.stream().sorted().collect(Collectors.joining(", ")));
        }
    }

    private void bound(String keyword, JsonNode old, JsonNode now, String at,
            BiPredicate<BigDecimal, BigDecimal> tighter) {
        JsonNode a = get(old, keyword);
        JsonNode b = get(now, keyword);
        if (b == null || Objects.equals(a, b)) {
            return;
        }
        if (!b.isNumber()) {
            if (b.asBoolean(false)) {
                add(at + '/' + keyword, keyword + " was added");
            }
        } else if (a == null || !a.isNumber() || tighter.test(a.decimalValue(), b.decimalValue())) {
            add(at + '/' + keyword, keyword + " is now " + b);
        }
    }

    private void values(JsonNode old, JsonNode now, String at) {
        JsonNode b = get(now, "enum");
        if (b == null) {
            return;
        }
        JsonNode a = get(old, "enum");
        if (a == null) {
            JsonNode fixed = get(old, "const");
            if (fixed == null || !contains(b, fixed)) {
                add(at + "/enum", "only listed values are taken now");
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
            add(at + "/enum", "no longer takes " + String.join(", ", gone));
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

    private void members(JsonNode old, JsonNode now, String from, String to, int depth) {
        JsonNode required = get(now, "required");
        JsonNode was = get(old, "required");
        if (required != null && required.isArray()) {
            required.forEach(name -> {
                if (was == null || !contains(was, name)) {
                    add(to + "/required", name.asString("") + " is now required");
                }
            });
        }
        JsonNode a = get(old, "properties");
        JsonNode b = get(now, "properties");
        JsonNode others = get(now, "additionalProperties");
        JsonNode othersWere = get(old, "additionalProperties");
        if (others != null && others.isBoolean() && !others.booleanValue()
                && !(othersWere != null && othersWere.isBoolean() && !othersWere.booleanValue())) {
            add(to + "/additionalProperties", "members that are not described are no longer taken");
        } else if (others != null && others.isObject() && !(othersWere != null && othersWere.isBoolean())) {
            schema(othersWere == null ? null : from + "/additionalProperties", to + "/additionalProperties", depth + 1);
        }
        if (a != null) {
            for (String name : a.propertyNames()) {
                if (b != null && b.get(name) != null) {
                    schema(from + "/properties/" + Json.step(name), to + "/properties/" + Json.step(name), depth + 1);
                } else if (others != null && others.isBoolean() && !others.booleanValue()) {
                    add(to + "/properties", "the member " + name + " is no longer taken");
                } else if (others != null && others.isObject()) {
                    schema(from + "/properties/" + Json.step(name), to + "/additionalProperties", depth + 1);
                }
            }
        }
        if (get(now, "items") != null) {
            schema(get(old, "items") == null ? null : from + "/items", to + "/items", depth + 1);
        }
    }

    private void alternatives(JsonNode old, JsonNode now, String from, String to, int depth) {
        for (String keyword : List.of("allOf", "anyOf", "oneOf", "prefixItems")) {
            JsonNode a = get(old, keyword);
            JsonNode b = get(now, keyword);
            if (b == null) {
                continue;
            }
            boolean narrower = a == null || (keyword.equals("allOf") ? b.size() > a.size() : b.size() < a.size());
            if (narrower) {
                add(to + '/' + keyword, keyword + (a == null ? " was added" : " has become narrower"));
            }
            for (int i = 0; a != null && i < Math.min(a.size(), b.size()) && !narrower; i++) {
                schema(from + '/' + keyword + '/' + i, to + '/' + keyword + '/' + i, depth + 1);
            }
        }
    }
}

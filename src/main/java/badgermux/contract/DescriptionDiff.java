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
 * Finds what a new revision of a description refuses and the old one does not: removed routes and media types, and narrower
 * schemas. Keywords are compared one by one, so a change is reported even if another keyword makes up for it.
 */
public final class DescriptionDiff {
    /**
     * A change that may break clients.
     *
     * @param route   the method and path, or the channel
     * @param pointer the JSON pointer in the new description; in the old one for a removed route; may be empty
     * @param reason  the change, in a few words
     */
    public record BreakingChange(String route, String pointer, String reason) {
        @Override public String toString() {
            return route + ": " + reason + (pointer.isEmpty() ? "" : " (at " + pointer + ')');
        }
    }

    /** How deep schemas are compared. */
    private static final int MAX_DEPTH = 40;
    private static final int MAX_CHANGES = 1_000;
    /** The types of JSON Schema. */
    private static final Set<String> TYPES = Set.of("null", "boolean", "number", "integer", "string", "array", "object");

    private final DocumentBundle before;
    private final DocumentBundle after;
    private final List<BreakingChange> changes = new ArrayList<>();
    /** The pairs of schemas already compared for a route, so that recursive schemas come to an end. */
    private final Set<String> comparedPairs = new HashSet<>();
    /** The route being compared. */
    private String route;

    private DescriptionDiff(DocumentBundle before, DocumentBundle after) {
        this.before = before;
        this.after = after;
    }

    /** Returns the breaking changes, in the order of the old description. */
    public static List<BreakingChange> breakingChanges(ApiDescription before, ApiDescription after) {
        DescriptionDiff diff = new DescriptionDiff(before.bundle(), after.bundle());
        Map<String, Operation> operations = new LinkedHashMap<>();
        after.routes.forEach(route -> operations.put(routeKey(route), route.operation()));
        for (ApiDescription.Route old : before.routes) {
            diff.route = old.method() + ' ' + old.template();
            Operation counterpart = operations.get(routeKey(old));
            if (counterpart == null) {
                diff.addChange(old.operation().pointer, "removed");
            } else {
                diff.compareOperations(old.operation(), counterpart);
            }
        }
        Map<String, ApiDescription.Channel> channels = new LinkedHashMap<>();
        after.channels.forEach(channel -> channels.put(normalizeTemplate(channel.template()), channel));
        for (ApiDescription.Channel old : before.channels) {
            diff.route = "channel " + old.template();
            ApiDescription.Channel counterpart = channels.get(normalizeTemplate(old.template()));
            if (counterpart == null) {
                diff.addChange("", "removed");
            } else {
                diff.compareStreams("posted", old.requestStream(), counterpart.requestStream());
                diff.compareStreams("answered", old.responseStream(), counterpart.responseStream());
            }
        }
        return diff.changes;
    }

    private static String routeKey(ApiDescription.Route route) {
        return route.method() + ' ' + normalizeTemplate(route.template());
    }

    /** Returns a path template without the names of its parameters. */
    private static String normalizeTemplate(String template) {
        return template.replaceAll("\\{[^}]*}", "{}");
    }

    private void addChange(String pointer, String reason) {
        BreakingChange change = new BreakingChange(route, pointer, reason);
        if (changes.size() < MAX_CHANGES && !changes.contains(change)) {
            changes.add(change);
        }
    }

    private void compareOperations(Operation oldOperation, Operation newOperation) {
        Map<String, Parameter> oldParameters = oldOperation.parameters.stream()
            .collect(Collectors.toMap(parameter -> parameter.in() + ' ' + parameterKey(oldOperation, parameter),
                parameter -> parameter, (first, second) -> first));
        for (Parameter parameter : newOperation.parameters) {
            Parameter oldParameter = oldParameters.get(parameter.in() + ' ' + parameterKey(newOperation, parameter));
            String name = parameter.in() + " parameter " + parameter.name();
            if (oldParameter == null || !oldParameter.required()) {
                if (parameter.required()) {
                    addChange(newOperation.pointer, name + " is now required");
                }
            }
            if (oldParameter != null) {
                if (!oldParameter.style().equals(parameter.style()) || oldParameter.explode() != parameter.explode()
                        || oldParameter.jsonEncoded() != parameter.jsonEncoded()) {
                    addChange(newOperation.pointer, name + " is written in another way");
                }
                compareSchemas(oldParameter.schema(), parameter.schema());
            }
        }
        if (newOperation.bodyRequired && !oldOperation.bodyRequired) {
            addChange(newOperation.pointer, "a body is now required");
        }
        if (newOperation.bodySchemas == null) {
            return;
        }
        if (oldOperation.bodySchemas == null) {
            addChange(newOperation.pointer, "bodies are now judged");
            return;
        }
        oldOperation.bodySchemas.forEach((mediaType, oldSchema) -> {
            BodySchema newSchema = newOperation.bodySchemas.get(mediaType);
            newSchema = newSchema == null ? MediaType.bestMatch(newOperation.bodySchemas, mediaType) : newSchema;
            if (newSchema == null) {
                addChange(newOperation.pointer, "the media type " + mediaType + " is no longer taken");
            } else {
                compareSchemas(oldSchema.schema(), newSchema.schema());
            }
        });
    }

    /** Path parameters are identified by their index, as clients don't see their names. */
    private static String parameterKey(Operation operation, Parameter parameter) {
        return parameter.in().equals("path") ? String.valueOf(operation.pathParameterNames.indexOf(parameter.name()))
            : parameter.name();
    }

    /** Compares the streams of a channel; {@code direction} names them in the reasons. */
    private void compareStreams(String direction, MessageStream oldStream, MessageStream newStream) {
        if (newStream == null) {
            return;
        }
        if (oldStream == null) {
            addChange("", direction + " lines are now judged");
            return;
        }
        oldStream.messages().forEach((name, message) -> {
            MessageStream.Message newMessage = newStream.messages().get(name);
            if (newMessage == null) {
                addChange("", direction + " message removed: " + name);
            } else {
                compareSchemas(message.payload(), newMessage.payload());
                compareSchemas(message.headers(), newMessage.headers());
                if (newMessage.correlationIdPath() != null
                        && !newMessage.correlationIdPath().equals(message.correlationIdPath())) {
                    addChange("", direction + " message " + name + " has another correlation id");
                }
            }
        });
        if (newStream.order() == null) {
            return;
        }
        if (oldStream.order() == null) {
            addChange("", direction + " messages now have an order");
            return;
        }
        reportRemoved(direction + " messages may no longer come first: ", oldStream.order().first(), newStream.order().first());
        reportRemoved(direction + " messages may no longer come last: ", oldStream.order().last(), newStream.order().last());
        oldStream.order().follow().forEach((message, followers) ->
            reportRemoved(direction + " messages may no longer follow " + message + ": ", followers,
                newStream.order().follow().getOrDefault(message, Set.of())));
    }

    /** Reports the names that only the old set contains. */
    private void reportRemoved(String reason, Set<String> oldNames, Set<String> newNames) {
        Set<String> removed = new LinkedHashSet<>(oldNames);
        removed.removeAll(newNames);
        if (!removed.isEmpty()) {
            addChange("", reason + String.join(", ", removed));
        }
    }

    private void compareSchemas(SchemaCompiler.CompiledSchema oldSchema, SchemaCompiler.CompiledSchema newSchema) {
        if (newSchema != null) {
            compareSchemasAt(oldSchema == null ? null : oldSchema.pointer(), newSchema.pointer(), 0);
        }
    }

    /** Compares the schemas at two pointers; {@code oldPointer} is null if the old description has no schema here. */
    private void compareSchemasAt(String oldPointer, String newPointer, int depth) {
        String oldResolved = oldPointer == null ? null : before.resolve(oldPointer);
        String newResolved = after.resolve(newPointer);
        if (depth > MAX_DEPTH || !comparedPairs.add(route + ' ' + oldResolved + ' ' + newResolved)) {
            return;
        }
        JsonNode oldSchema = oldResolved == null ? null : before.valueAt(oldResolved);
        JsonNode newSchema = after.valueAt(newResolved);
        if (oldSchema != null && oldSchema.equals(newSchema) && before.root().equals(after.root())) {
            return;
        }
        if (newSchema.isBoolean() || oldSchema != null && oldSchema.isBoolean()) {
            if (newSchema.isBoolean() && !newSchema.booleanValue()
                    && !(oldSchema != null && oldSchema.isBoolean() && !oldSchema.booleanValue())) {
                addChange(newResolved, "nothing is allowed any more");
            } else if (newSchema.isObject() && !newSchema.isEmpty() && oldSchema.booleanValue()) {
                addChange(newResolved, "no longer takes any value");
            }
            return;
        }
        compareTypes(oldSchema, newSchema, newResolved);
        compareBound("minimum", oldSchema, newSchema, newResolved, (a, b) -> a.compareTo(b) < 0);
        compareBound("exclusiveMinimum", oldSchema, newSchema, newResolved, (a, b) -> a.compareTo(b) < 0);
        compareBound("minLength", oldSchema, newSchema, newResolved, (a, b) -> a.compareTo(b) < 0);
        compareBound("minItems", oldSchema, newSchema, newResolved, (a, b) -> a.compareTo(b) < 0);
        compareBound("minProperties", oldSchema, newSchema, newResolved, (a, b) -> a.compareTo(b) < 0);
        compareBound("maximum", oldSchema, newSchema, newResolved, (a, b) -> a.compareTo(b) > 0);
        compareBound("exclusiveMaximum", oldSchema, newSchema, newResolved, (a, b) -> a.compareTo(b) > 0);
        compareBound("maxLength", oldSchema, newSchema, newResolved, (a, b) -> a.compareTo(b) > 0);
        compareBound("maxItems", oldSchema, newSchema, newResolved, (a, b) -> a.compareTo(b) > 0);
        compareBound("maxProperties", oldSchema, newSchema, newResolved, (a, b) -> a.compareTo(b) > 0);
        for (String keyword : List.of("pattern", "format", "multipleOf", "const", "not", "if", "then", "else",
                "uniqueItems", "dependentRequired", "dependentSchemas", "propertyNames", "contains",
                "unevaluatedProperties", "patternProperties", "discriminator")) {
            JsonNode oldValue = keywordValue(oldSchema, keyword);
            JsonNode newValue = keywordValue(newSchema, keyword);
            boolean isUnrestricted = newValue == null
                || newValue.isBoolean() && newValue.booleanValue() == keyword.startsWith("uneval");
            if (!isUnrestricted && !Objects.equals(oldValue, newValue)) {
                addChange(newResolved + '/' + keyword, keyword + (oldValue == null ? " was added" : " has changed"));
            }
        }
        compareEnums(oldSchema, newSchema, newResolved);
        compareMembers(oldSchema, newSchema, oldResolved, newResolved, depth);
        compareAlternatives(oldSchema, newSchema, oldResolved, newResolved, depth);
    }

    /** Returns the value of a keyword; null if it is absent. */
    private static JsonNode keywordValue(JsonNode schema, String keyword) {
        return schema == null || !schema.isObject() ? null : schema.get(keyword);
    }

    /** Returns the types that a schema allows; {@code number} includes {@code integer}. */
    private static Set<String> typesOf(JsonNode schema) {
        JsonNode type = keywordValue(schema, "type");
        Set<String> types = new LinkedHashSet<>();
        if (type == null) {
            types.addAll(TYPES);
        } else if (type.isArray()) {
            type.forEach(name -> types.add(name.asString("")));
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

    private void compareTypes(JsonNode oldSchema, JsonNode newSchema, String pointer) {
        Set<String> removedTypes = typesOf(oldSchema);
        removedTypes.removeAll(typesOf(newSchema));
        if (removedTypes.contains("number") && typesOf(newSchema).contains("integer")) {
            removedTypes.remove("integer");
        }
        if (!removedTypes.isEmpty()) {
            addChange(pointer + "/type", "no longer takes " + removedTypes.stream().sorted().collect(Collectors.joining(", ")));
        }
    }

    /** Compares a numeric keyword; {@code tighter} says of the old and the new value whether the new one is stricter. */
    private void compareBound(String keyword, JsonNode oldSchema, JsonNode newSchema, String pointer,
            BiPredicate<BigDecimal, BigDecimal> tighter) {
        JsonNode oldValue = keywordValue(oldSchema, keyword);
        JsonNode newValue = keywordValue(newSchema, keyword);
        if (newValue == null || Objects.equals(oldValue, newValue)) {
            return;
        }
        if (!newValue.isNumber()) {
            if (newValue.asBoolean(false)) {
                addChange(pointer + '/' + keyword, keyword + " was added");
            }
        } else if (oldValue == null || !oldValue.isNumber() || tighter.test(oldValue.decimalValue(), newValue.decimalValue())) {
            addChange(pointer + '/' + keyword, keyword + " is now " + newValue);
        }
    }

    private void compareEnums(JsonNode oldSchema, JsonNode newSchema, String pointer) {
        JsonNode newEnum = keywordValue(newSchema, "enum");
        if (newEnum == null) {
            return;
        }
        JsonNode oldEnum = keywordValue(oldSchema, "enum");
        if (oldEnum == null) {
            JsonNode oldConst = keywordValue(oldSchema, "const");
            if (oldConst == null || !contains(newEnum, oldConst)) {
                addChange(pointer + "/enum", "only listed values are taken now");
            }
            return;
        }
        List<String> removedValues = new ArrayList<>();
        oldEnum.forEach(value -> {
            if (!contains(newEnum, value)) {
                removedValues.add(value.toString());
            }
        });
        if (!removedValues.isEmpty()) {
            addChange(pointer + "/enum", "no longer takes " + String.join(", ", removedValues));
        }
    }

    private static boolean contains(JsonNode list, JsonNode value) {
        for (JsonNode element : list) {
            if (element.equals(value)) {
                return true;
            }
        }
        return false;
    }

    private void compareMembers(JsonNode oldSchema, JsonNode newSchema, String oldPointer, String newPointer, int depth) {
        JsonNode newRequired = keywordValue(newSchema, "required");
        JsonNode oldRequired = keywordValue(oldSchema, "required");
        if (newRequired != null && newRequired.isArray()) {
            newRequired.forEach(name -> {
                if (oldRequired == null || !contains(oldRequired, name)) {
                    addChange(newPointer + "/required", name.asString("") + " is now required");
                }
            });
        }
        JsonNode oldProperties = keywordValue(oldSchema, "properties");
        JsonNode newProperties = keywordValue(newSchema, "properties");
        JsonNode newAdditional = keywordValue(newSchema, "additionalProperties");
        JsonNode oldAdditional = keywordValue(oldSchema, "additionalProperties");
        if (newAdditional != null && newAdditional.isBoolean() && !newAdditional.booleanValue()
                && !(oldAdditional != null && oldAdditional.isBoolean() && !oldAdditional.booleanValue())) {
            addChange(newPointer + "/additionalProperties", "members that are not described are no longer taken");
        } else if (newAdditional != null && newAdditional.isObject() && !(oldAdditional != null && oldAdditional.isBoolean())) {
            compareSchemasAt(oldAdditional == null ? null : oldPointer + "/additionalProperties",
                newPointer + "/additionalProperties", depth + 1);
        }
        if (oldProperties != null) {
            for (String name : oldProperties.propertyNames()) {
                if (newProperties != null && newProperties.get(name) != null) {
                    compareSchemasAt(oldPointer + "/properties/" + Json.escapeToken(name),
                        newPointer + "/properties/" + Json.escapeToken(name), depth + 1);
                } else if (newAdditional != null && newAdditional.isBoolean() && !newAdditional.booleanValue()) {
                    addChange(newPointer + "/properties", "the member " + name + " is no longer taken");
                } else if (newAdditional != null && newAdditional.isObject()) {
                    compareSchemasAt(oldPointer + "/properties/" + Json.escapeToken(name),
                        newPointer + "/additionalProperties", depth + 1);
                }
            }
        }
        if (keywordValue(newSchema, "items") != null) {
            compareSchemasAt(keywordValue(oldSchema, "items") == null ? null : oldPointer + "/items", newPointer + "/items",
                depth + 1);
        }
    }

    private void compareAlternatives(JsonNode oldSchema, JsonNode newSchema, String oldPointer, String newPointer, int depth) {
        for (String keyword : List.of("allOf", "anyOf", "oneOf", "prefixItems")) {
            JsonNode oldList = keywordValue(oldSchema, keyword);
            JsonNode newList = keywordValue(newSchema, keyword);
            if (newList == null) {
                continue;
            }
            boolean isNarrower = oldList == null
                || (keyword.equals("allOf") ? newList.size() > oldList.size() : newList.size() < oldList.size());
            if (isNarrower) {
                addChange(newPointer + '/' + keyword, keyword + (oldList == null ? " was added" : " has become narrower"));
            }
            for (int i = 0; oldList != null && i < Math.min(oldList.size(), newList.size()) && !isNarrower; i++) {
                compareSchemasAt(oldPointer + '/' + keyword + '/' + i, newPointer + '/' + keyword + '/' + i, depth + 1);
            }
        }
    }
}

package badgermux.contract;

import badgermux.contract.DescriptionException.Problem;
import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.node.ArrayNode;
import tools.jackson.databind.node.JsonNodeFactory;
import tools.jackson.databind.node.ObjectNode;

/**
 * A description and the documents given with it as one tree, in which each {@code $ref} is a pointer into that tree. The
 * other documents hang under {@value #BUNDLED_KEY}. Whatever refers to something that was not given is refused: nothing is
 * fetched, ever.
 */
final class DocumentBundle {
    static final String BUNDLED_KEY = "x-bundled";
    private static final int MAX_REFERENCE_CHAIN = 64, MAX_PROBLEMS = 50;
    /** Their members are names, not keywords. */
    private static final Set<String> NAME_MAP_KEYWORDS = Set.of("properties", "patternProperties", "$defs", "definitions",
        "dependentSchemas", "schemas", "responses", "parameters", "requestBodies", "headers", "messages", "channels",
        "paths", "content", "operations", "pathItems", "callbacks", "securitySchemes", "messageTraits",
        "operationTraits", "correlationIds", "links", "variables", "servers", "mapping");
    /** What they hold is a value and no part of the description. */
    private static final Set<String> VALUE_KEYWORDS = Set.of("example", "examples", "default", "const", "enum");

    private final Map<String, Document> documents = new LinkedHashMap<>();
    private final Map<String, Boolean> rewrittenByName = new LinkedHashMap<>();
    private final List<Problem> problems = new ArrayList<>();
    private final Map<String, String> referenceTargets = new HashMap<>();
    private final Document primary;
    private JsonNode root;

    private DocumentBundle(Document primary, List<Document> others) {
        this.primary = primary;
        documents.put(primary.name(), primary);
        others.forEach(document -> documents.putIfAbsent(document.name(), document));
    }

    /** Joins them; the first problems are all told at once. */
    static DocumentBundle of(Document primary, List<Document> others) throws DescriptionException {
        DocumentBundle bundle = new DocumentBundle(primary, others);
        bundle.joinDocuments();
        bundle.checkReferences();
        if (!bundle.problems.isEmpty()) {
            throw new DescriptionException(bundle.problems);
        }
        return bundle;
    }

    private void joinDocuments() {
        ObjectNode joined = (ObjectNode) rewriteReferences(primary, primary.root(), "", "", false);
        Map<String, JsonNode> parts = new LinkedHashMap<>();
        for (String next = nextUnwritten(); next != null; next = nextUnwritten()) {
            rewrittenByName.put(next, true);
            Document document = documents.get(next);
            parts.put(next, rewriteReferences(document, document.root(), "", '/' + BUNDLED_KEY + '/' + Json.escapeToken(next), false));
        }
        if (!parts.isEmpty()) {
            joined = joined.deepCopy();
            ObjectNode holder = JsonNodeFactory.instance.objectNode();
            parts.forEach(holder::set);
            joined.set(BUNDLED_KEY, holder);
        }
        root = joined;
    }

    private String nextUnwritten() {
        return rewrittenByName.entrySet().stream().filter(e -> !e.getValue()).map(Map.Entry::getKey).findFirst().orElse(null);
    }

    /** The same tree with its references turned into pointers; what needs no change is not copied. */
    private JsonNode rewriteReferences(Document in, JsonNode node, String pointer, String prefix, boolean names) {
        if (node instanceof ArrayNode array) {
            ArrayNode copy = null;
            for (int i = 0; i < array.size(); i++) {
                JsonNode item = rewriteReferences(in, array.get(i), pointer + '/' + i, prefix, false);
                if (item != array.get(i)) {
                    copy = copy == null ? array.deepCopy() : copy;
                    copy.set(i, item);
                }
            }
            return copy == null ? array : copy;
        }
        if (!(node instanceof ObjectNode object)) {
            return node;
        }
        ObjectNode copy = null;
        for (Map.Entry<String, JsonNode> member : object.properties()) {
            String key = member.getKey();
            JsonNode value = member.getValue();
            String at = pointer + '/' + Json.escapeToken(key);
            JsonNode changed = value;
            if (!names && key.equals("$ref") && value.isString()) {
                String target = resolveReference(in, value.stringValue(), at);
                referenceTargets.put(prefix + pointer, target);
                changed = target.equals(value.stringValue()) ? value : JsonNodeFactory.instance.stringNode(target);
            } else if (!names && key.equals("$id") && value.isString()) {
                problemAt(in, at, "$id is not supported: it would move what references lead to");
            } else if (names || !VALUE_KEYWORDS.contains(key)) {
                changed = rewriteReferences(in, value, at, prefix, !names && NAME_MAP_KEYWORDS.contains(key));
            }
            if (changed != value) {
                copy = copy == null ? shallowCopy(object) : copy;
                copy.set(key, changed);
            }
        }
        return names || !(object.get("discriminator") instanceof ObjectNode discriminator) ? copy == null ? object : copy
            : replaceDiscriminator(in, copy == null ? shallowCopy(object) : copy, discriminator, pointer + "/discriminator");
    }

    /**
     * A discriminator in words that every validator knows: the property must be there and name an alternative, and then
     * that alternative holds. OpenAPI leaves it open whether a discriminator is more than a hint; here it chooses.
     */
    private ObjectNode replaceDiscriminator(Document in, ObjectNode schema, ObjectNode discriminator, String pointer) {
        JsonNode property = discriminator.get("propertyName");
        JsonNode alternatives = schema.get("oneOf") != null ? schema.get("oneOf") : schema.get("anyOf");
        if (property == null || !property.isString() || alternatives == null || !alternatives.isArray()) {
            return schema;
        }
        Map<String, String> targets = new LinkedHashMap<>();
        Set<String> mapped = new HashSet<>();
        if (discriminator.get("mapping") instanceof ObjectNode mapping) {
            for (Map.Entry<String, JsonNode> entry : mapping.properties()) {
                String to = entry.getValue().asString("");
                String reference = to.matches("[A-Za-z0-9._-]+") && !documents.containsKey(to)
                    ? "#/components/schemas/" + to : to;
                targets.put(entry.getKey(), resolveReference(in, reference, pointer + "/mapping/" + Json.escapeToken(entry.getKey())));
                mapped.add(targets.get(entry.getKey()));
            }
        }
        for (JsonNode alternative : alternatives) {
            JsonNode to = alternative.isObject() ? alternative.get("$ref") : null;
            if (to != null && to.isString() && !mapped.contains(to.stringValue())) {
                String text = to.stringValue();
                targets.putIfAbsent(text.substring(text.lastIndexOf('/') + 1), text);
            }
        }
        JsonNodeFactory nodes = JsonNodeFactory.instance;
        ArrayNode all = schema.get("allOf") instanceof ArrayNode own ? own.deepCopy() : nodes.arrayNode();
        String name = property.stringValue();
        all.add(requirePropertyIn(name, targets.keySet()));
        targets.forEach((value, target) -> {
            ObjectNode either = nodes.objectNode();
            either.putArray("anyOf").add(nodes.objectNode().set("not", requirePropertyIn(name, Set.of(value))))
                .add(nodes.objectNode().put("$ref", target));
            all.add(either);
        });
        schema.remove("discriminator");
        schema.set("allOf", all);
        return schema;
    }

    private static ObjectNode requirePropertyIn(String name, Set<String> values) {
        ObjectNode schema = JsonNodeFactory.instance.objectNode();
        schema.putArray("required").add(name);
        ArrayNode list = schema.putObject("properties").putObject(name).putArray("enum");
        values.forEach(list::add);
        return schema;
    }

    private static ObjectNode shallowCopy(ObjectNode object) {
        ObjectNode copy = JsonNodeFactory.instance.objectNode();
        object.properties().forEach(member -> copy.set(member.getKey(), member.getValue()));
        return copy;
    }

    private void problemAt(Document in, String pointer, String reason) {
        if (problems.size() < MAX_PROBLEMS) {
            problems.add(in.problemAt(pointer, reason));
        }
    }

    /** The reference as a pointer into the joined tree, beginning with #. */
    private String resolveReference(Document in, String reference, String pointer) {
        int hash = reference.indexOf('#');
        String file = hash < 0 ? reference : reference.substring(0, hash);
        String fragment = hash < 0 ? "" : reference.substring(hash + 1);
        String name = in.name();
        if (!file.isEmpty()) {
            try {
                URI uri = URI.create(file);
                if (uri.getScheme() != null || uri.getAuthority() != null) {
                    problemAt(in, pointer, "$ref leads to a remote address: nothing is fetched");
                    return "#";
                }
                name = URI.create(in.name().replace(' ', '+')).resolve(uri).getPath();
            } catch (IllegalArgumentException e) {
                name = file;
            }
            if (!documents.containsKey(name)) {
                problemAt(in, pointer, "$ref leads to a document that was not given: " + Fault.truncateName(file));
                return "#";
            }
        }
        if (!fragment.isEmpty() && !fragment.startsWith("/")) {
            problemAt(in, pointer, "$ref is no JSON pointer; anchors are not supported");
            return "#";
        }
        if (name.equals(primary.name())) {
            return '#' + fragment;
        }
        rewrittenByName.putIfAbsent(name, false);
        return "#/" + BUNDLED_KEY + '/' + Json.escapeToken(name) + fragment;
    }

    /** Each reference leads somewhere, and no chain of them leads back to itself. */
    private void checkReferences() {
        for (Map.Entry<String, String> reference : referenceTargets.entrySet()) {
            Set<String> seen = new HashSet<>();
            JsonNode at = root;
            String target = reference.getValue();
            while (at != null && target != null && problems.isEmpty()) {
                List<String> steps = referenceTokens(target);
                at = steps == null ? null : Json.valueAt(root, steps);
                if (at == null) {
                    problems.add(problemAt(reference.getKey() + "/$ref", "$ref leads nowhere: " + Fault.truncateName(target)));
                } else if (!seen.add(target) || seen.size() > MAX_REFERENCE_CHAIN) {
                    problems.add(problemAt(reference.getKey() + "/$ref", "$ref leads back to itself"));
                    at = null;
                } else {
                    target = at.isObject() && at.get("$ref") != null && at.get("$ref").isString()
                        ? at.get("$ref").stringValue() : null;
                }
            }
        }
    }

    /** The steps of a reference's pointer, percent-encoding undone; null where it is none. */
    static List<String> referenceTokens(String reference) {
        if (!reference.startsWith("#")) {
            return null;
        }
        String text = reference.substring(1);
        try {
            return Json.pointerTokens(text.indexOf('%') < 0 ? text : PercentEncoding.decode(text));
        } catch (SyntaxException e) {
            return Json.pointerTokens(text);
        }
    }

    JsonNode root() {
        return root;
    }

    String name() {
        return primary.name();
    }

    /** The value at a pointer; null where there is none. */
    JsonNode valueAt(String pointer) {
        return Json.valueAt(root, Json.pointerTokens(pointer));
    }

    /** Where a value really stands: its own pointer, or that to which its references lead. */
    String resolve(String pointer) {
        String at = pointer;
        for (int i = 0; i < MAX_REFERENCE_CHAIN; i++) {
            JsonNode node = valueAt(at);
            JsonNode reference = node == null || !node.isObject() ? null : node.get("$ref");
            if (reference == null || !reference.isString()) {
                return at;
            }
            StringBuilder next = new StringBuilder();
            referenceTokens(reference.stringValue()).forEach(step -> next.append('/').append(Json.escapeToken(step)));
            at = next.toString();
        }
        return at;
    }

    /** A problem at a place of the joined tree, told by the document that it came from. */
    Problem problemAt(String pointer, String reason) {
        String prefix = '/' + BUNDLED_KEY + '/';
        if (pointer.startsWith(prefix)) {
            int end = pointer.indexOf('/', prefix.length());
            String name = pointer.substring(prefix.length(), end < 0 ? pointer.length() : end)
                .replace("~1", "/").replace("~0", "~");
            if (documents.containsKey(name)) {
                return documents.get(name).problemAt(end < 0 ? "" : pointer.substring(end), reason);
            }
        }
        return primary.problemAt(pointer, reason);
    }
}

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
 * A description and its further documents, bundled into one tree in which each {@code $ref} is a pointer into this tree. The
 * further documents are members of {@value #BUNDLED_KEY}. A reference to a document that was not given is a problem:
 * documents are never fetched.
 */
final class DocumentBundle {
    static final String BUNDLED_KEY = "x-bundled";
    /** How many references may lead from one to the next. */
    private static final int MAX_REFERENCE_CHAIN = 64;
    private static final int MAX_PROBLEMS = 50;
    /** Keywords whose value is an object with names as its members, not keywords. */
    private static final Set<String> NAME_MAP_KEYWORDS = Set.of("properties", "patternProperties", "$defs", "definitions",
        "dependentSchemas", "schemas", "responses", "parameters", "requestBodies", "headers", "messages", "channels",
        "paths", "content", "operations", "pathItems", "callbacks", "securitySchemes", "messageTraits",
        "operationTraits", "correlationIds", "links", "variables", "servers", "mapping");
    /** Keywords whose value is plain data, in which {@code $ref} has no meaning. */
    private static final Set<String> VALUE_KEYWORDS = Set.of("example", "examples", "default", "const", "enum");

    /** All given documents, by name. */
    private final Map<String, Document> documents = new LinkedHashMap<>();
    /** For each referenced document other than the primary one, whether it is already part of the tree. */
    private final Map<String, Boolean> rewrittenByName = new LinkedHashMap<>();
    private final List<Problem> problems = new ArrayList<>();
    /** The rewritten target of each reference, by the pointer of the object that holds the reference. */
    private final Map<String, String> referenceTargets = new HashMap<>();
    private final Document primary;
    private JsonNode root;

    private DocumentBundle(Document primary, List<Document> others) {
        this.primary = primary;
        documents.put(primary.name(), primary);
        others.forEach(document -> documents.putIfAbsent(document.name(), document));
    }

    /**
     * Bundles documents.
     *
     * @throws DescriptionException if a reference can't be used, with all problems found
     */
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
        for (String name = nextUnwritten(); name != null; name = nextUnwritten()) {
            rewrittenByName.put(name, true);
            Document document = documents.get(name);
            parts.put(name, rewriteReferences(document, document.root(), "",
                '/' + BUNDLED_KEY + '/' + Json.escapeToken(name), false));
        }
        if (!parts.isEmpty()) {
            joined = joined.deepCopy();
            ObjectNode holder = JsonNodeFactory.instance.objectNode();
            parts.forEach(holder::set);
            joined.set(BUNDLED_KEY, holder);
        }
        root = joined;
    }

    /** Returns the name of a referenced document that is not part of the tree yet; null if there is none. */
    private String nextUnwritten() {
        return rewrittenByName.entrySet().stream().filter(entry -> !entry.getValue()).map(Map.Entry::getKey).findFirst()
            .orElse(null);
    }

    /**
     * Returns a subtree with each reference rewritten to a pointer into the bundle. Values without a reference are not copied.
     *
     * @param document  the document that holds the subtree
     * @param pointer   the pointer of {@code node} in this document
     * @param prefix    the pointer of the document in the bundle
     * @param isNameMap whether the members of {@code node} are names, not keywords
     */
    private JsonNode rewriteReferences(Document document, JsonNode node, String pointer, String prefix, boolean isNameMap) {
        if (node instanceof ArrayNode array) {
            ArrayNode copy = null;
            for (int i = 0; i < array.size(); i++) {
                JsonNode item = rewriteReferences(document, array.get(i), pointer + '/' + i, prefix, false);
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
            String memberPointer = pointer + '/' + Json.escapeToken(key);
            JsonNode rewritten = value;
            if (!isNameMap && key.equals("$ref") && value.isString()) {
                String target = resolveReference(document, value.stringValue(), memberPointer);
                referenceTargets.put(prefix + pointer, target);
                rewritten = target.equals(value.stringValue()) ? value : JsonNodeFactory.instance.stringNode(target);
            } else if (!isNameMap && key.equals("$id") && value.isString()) {
                addProblem(document, memberPointer, "$id is not supported: it would move what references lead to");
            } else if (isNameMap || !VALUE_KEYWORDS.contains(key)) {
                rewritten = rewriteReferences(document, value, memberPointer, prefix,
                    !isNameMap && NAME_MAP_KEYWORDS.contains(key));
            }
            if (rewritten != value) {
                copy = copy == null ? shallowCopy(object) : copy;
                copy.set(key, rewritten);
            }
        }
        return isNameMap || !(object.get("discriminator") instanceof ObjectNode discriminator) ? copy == null ? object : copy
            : replaceDiscriminator(document, copy == null ? shallowCopy(object) : copy, discriminator,
                pointer + "/discriminator");
    }

    /**
     * Replaces a discriminator by keywords that every validator supports: the property is required and must name an
     * alternative, and the value must then conform to this alternative. OpenAPI does not say whether a discriminator is more
     * than a hint; here it selects the schema.
     */
    private ObjectNode replaceDiscriminator(Document document, ObjectNode schema, ObjectNode discriminator, String pointer) {
        JsonNode property = discriminator.get("propertyName");
        JsonNode alternatives = schema.get("oneOf") != null ? schema.get("oneOf") : schema.get("anyOf");
        if (property == null || !property.isString() || alternatives == null || !alternatives.isArray()) {
            return schema;
        }
        Map<String, String> targets = new LinkedHashMap<>();
        Set<String> mapped = new HashSet<>();
        if (discriminator.get("mapping") instanceof ObjectNode mapping) {
            for (Map.Entry<String, JsonNode> entry : mapping.properties()) {
                String mappedTo = entry.getValue().asString("");
                String reference = mappedTo.matches("[A-Za-z0-9._-]+") && !documents.containsKey(mappedTo)
                    ? "#/components/schemas/" + mappedTo : mappedTo;
                targets.put(entry.getKey(),
                    resolveReference(document, reference, pointer + "/mapping/" + Json.escapeToken(entry.getKey())));
                mapped.add(targets.get(entry.getKey()));
            }
        }
        for (JsonNode alternative : alternatives) {
            JsonNode reference = alternative.isObject() ? alternative.get("$ref") : null;
            if (reference != null && reference.isString() && !mapped.contains(reference.stringValue())) {
                String target = reference.stringValue();
                targets.putIfAbsent(target.substring(target.lastIndexOf('/') + 1), target);
            }
        }
        JsonNodeFactory nodes = JsonNodeFactory.instance;
        ArrayNode allOf = schema.get("allOf") instanceof ArrayNode own ? own.deepCopy() : nodes.arrayNode();
        String name = property.stringValue();
        allOf.add(requirePropertyIn(name, targets.keySet()));
        targets.forEach((value, target) -> {
            ObjectNode conditional = nodes.objectNode();
            conditional.putArray("anyOf").add(nodes.objectNode().set("not", requirePropertyIn(name, Set.of(value))))
                .add(nodes.objectNode().put("$ref", target));
            allOf.add(conditional);
        });
        schema.remove("discriminator");
        schema.set("allOf", allOf);
        return schema;
    }

    /** Returns a schema that requires a property to have one of the values. */
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

    private void addProblem(Document document, String pointer, String reason) {
        if (problems.size() < MAX_PROBLEMS) {
            problems.add(document.problemAt(pointer, reason));
        }
    }

    /**
     * Returns a reference as a pointer into the bundle, beginning with #. Adds the document that it refers to. If the
     * reference can't be used, reports a problem and returns the root.
     */
    private String resolveReference(Document document, String reference, String pointer) {
        int hash = reference.indexOf('#');
        String documentName = hash < 0 ? reference : reference.substring(0, hash);
        String fragment = hash < 0 ? "" : reference.substring(hash + 1);
        String name = document.name();
        if (!documentName.isEmpty()) {
            try {
                URI uri = URI.create(documentName);
                if (uri.getScheme() != null || uri.getAuthority() != null) {
                    addProblem(document, pointer, "$ref leads to a remote address: nothing is fetched");
                    return "#";
                }
                name = URI.create(document.name().replace(' ', '+')).resolve(uri).getPath();
            } catch (IllegalArgumentException e) {
                name = documentName;
            }
            if (!documents.containsKey(name)) {
                addProblem(document, pointer,
                    "$ref leads to a document that was not given: " + Fault.truncateName(documentName));
                return "#";
            }
        }
        if (!fragment.isEmpty() && !fragment.startsWith("/")) {
            addProblem(document, pointer, "$ref is no JSON pointer; anchors are not supported");
            return "#";
        }
        if (name.equals(primary.name())) {
            return '#' + fragment;
        }
        rewrittenByName.putIfAbsent(name, false);
        return "#/" + BUNDLED_KEY + '/' + Json.escapeToken(name) + fragment;
    }

    /** Checks that each reference has a target, and that no chain of references is circular. */
    private void checkReferences() {
        for (Map.Entry<String, String> reference : referenceTargets.entrySet()) {
            Set<String> seen = new HashSet<>();
            JsonNode value = root;
            String target = reference.getValue();
            while (value != null && target != null && problems.isEmpty()) {
                List<String> tokens = referenceTokens(target);
                value = tokens == null ? null : Json.valueAt(root, tokens);
                if (value == null) {
                    problems.add(problemAt(reference.getKey() + "/$ref", "$ref leads nowhere: " + Fault.truncateName(target)));
                } else if (!seen.add(target) || seen.size() > MAX_REFERENCE_CHAIN) {
                    problems.add(problemAt(reference.getKey() + "/$ref", "$ref leads back to itself"));
                    value = null;
                } else {
                    target = value.isObject() && value.get("$ref") != null && value.get("$ref").isString()
                        ? value.get("$ref").stringValue() : null;
                }
            }
        }
    }

    /** Returns the percent-decoded tokens of a reference's pointer; null if it is not a pointer into the same document. */
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

    /** Returns the value at a pointer; null if there is none. */
    JsonNode valueAt(String pointer) {
        return Json.valueAt(root, Json.pointerTokens(pointer));
    }

    /** Follows references: returns the pointer itself, or the pointer to which the references at it lead. */
    String resolve(String pointer) {
        String current = pointer;
        for (int i = 0; i < MAX_REFERENCE_CHAIN; i++) {
            JsonNode node = valueAt(current);
            JsonNode reference = node == null || !node.isObject() ? null : node.get("$ref");
            if (reference == null || !reference.isString()) {
                return current;
            }
            StringBuilder target = new StringBuilder();
            referenceTokens(reference.stringValue()).forEach(token -> target.append('/').append(Json.escapeToken(token)));
            current = target.toString();
        }
        return current;
    }

    /** Returns a problem at a pointer into the bundle, located in the document that the value comes from. */
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

package badgermux.contract;

import com.networknt.schema.dialect.Dialects;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import tools.jackson.databind.JsonNode;

/** Reads OpenAPI 3.0 and 3.1 (OpenAPI Specification 3.0.4 and 3.1.1). */
final class OpenApiReader extends DescriptionReader {
    /** What becomes of results that do not conform: {@code off}, {@code count} or {@code fail}. */
    static final String RESULTS_KEY = "x-results";
    private static final Set<String> METHODS = Set.of("get", "put", "post", "delete", "options", "head", "patch",
        "trace");
    private static final Set<String> SUPPORTED_DIALECTS = Set.of("https://spec.openapis.org/oas/3.1/dialect/base",
        "https://json-schema.org/draft/2020-12/schema");

    private final boolean isVersion30;

    OpenApiReader(ApiDescription description, DocumentBundle bundle, boolean old) {
        super(description, bundle, old ? Dialects.getOpenApi30() : Dialects.getOpenApi31(), !old);
        this.isVersion30 = old;
    }

    @Override void readDescription() {
        JsonNode root = bundle.root();
        String dialect = stringMember(root, "jsonSchemaDialect");
        if (dialect != null && (isVersion30 || !SUPPORTED_DIALECTS.contains(dialect))) {
            addProblem("/jsonSchemaDialect", "only the dialect of OpenAPI 3.1 and JSON Schema 2020-12 can be read");
        }
        if (root.get("paths") == null && (isVersion30 || root.get("webhooks") == null && root.get("components") == null)) {
            addProblem("", "paths is missing");
        }
        List<String> bases = readBasePaths("", List.of(""));
        for (Map.Entry<String, JsonNode> path : members("/paths")) {
            String at = "/paths/" + Json.escapeToken(path.getKey());
            if (!path.getKey().startsWith("x-") && isValidTemplate(path.getKey(), at)) {
                readPath(path.getKey(), at, bases);
            }
            if (hasMaxProblems()) {
                return;
            }
        }
    }

    private List<String> readBasePaths(String pointer, List<String> otherwise) {
        JsonNode servers = bundle.valueAt(pointer + "/servers");
        if (servers == null || !servers.isArray() || servers.isEmpty()) {
            return otherwise;
        }
        List<String> bases = new ArrayList<>();
        for (int i = 0; i < servers.size(); i++) {
            String url = stringMember(servers.get(i), "url");
            if (url == null) {
                addProblem(pointer + "/servers/" + i, "url is missing");
                continue;
            }
            basePaths(url, servers.get(i).get("variables"), pointer + "/servers/" + i + "/url").stream()
                .filter(base -> !bases.contains(base)).forEach(bases::add);
        }
        return bases.isEmpty() ? List.of("") : bases;
    }

    private void readPath(String template, String pointer, List<String> otherwise) {
        String at = bundle.resolve(pointer);
        List<String> bases = readBasePaths(at, otherwise);
        Map<String, String> shared = readParameterPointers(at);
        for (Map.Entry<String, JsonNode> member : members(at)) {
            if (METHODS.contains(member.getKey())) {
                String method = member.getKey().toUpperCase(Locale.ROOT);
                String here = at + '/' + member.getKey();
                Operation operation = readOperation(template, method, here, at, shared);
                for (String base : readBasePaths(here, bases)) {
                    description.routes.add(new ApiDescription.Route(base + template, method, operation));
                }
            }
        }
    }

    /** The pointers of a list of parameters, by place and name. */
    private Map<String, String> readParameterPointers(String pointer) {
        Map<String, String> found = new LinkedHashMap<>();
        JsonNode list = bundle.valueAt(pointer + "/parameters");
        if (list != null && !list.isArray()) {
            addProblem(pointer + "/parameters", "must be a list");
            return found;
        }
        for (int i = 0; list != null && i < list.size(); i++) {
            String at = bundle.resolve(pointer + "/parameters/" + i);
            JsonNode parameter = bundle.valueAt(at);
            String name = stringMember(parameter, "name");
            String in = stringMember(parameter, "in");
            if (name == null || in == null || !Parameter.STYLES_BY_LOCATION.containsKey(in)) {
                addProblem(at, "a parameter needs a name, and in must be path, query, header or cookie");
            } else if (found.put(in + ' ' + (in.equals("header") ? name.toLowerCase(Locale.ROOT) : name), at) != null) {
                addProblem(at, "a parameter stands there twice: " + name);
            }
        }
        return found;
    }

    private Operation readOperation(String template, String method, String pointer, String pathPointer,
            Map<String, String> shared) {
        Operation operation = new Operation(description.name(), method + ' ' + template, pointer);
        JsonNode node = bundle.valueAt(pointer);
        operation.pathParameterNames = RouteTable.parameterNames(template);
        Map<String, String> own = new LinkedHashMap<>(shared);
        own.putAll(readParameterPointers(pointer));
        Set<String> described = new java.util.HashSet<>();
        for (String at : own.values()) {
            Parameter parameter = readParameter(at);
            if (parameter == null) {
                continue;
            }
            if (parameter.in().equals("path")) {
                described.add(parameter.name());
                if (!operation.pathParameterNames.contains(parameter.name())) {
                    addProblem(at, "the path has no parameter of this name: " + parameter.name());
                }
            }
            operation.parameters.add(parameter);
        }
        for (String name : operation.pathParameterNames) {
            if (!described.contains(name)) {
                addProblem(pointer, "the path's parameter is not described: " + name);
            }
        }
        if (node.get("requestBody") != null) {
            readRequestBody(operation, bundle.resolve(pointer + "/requestBody"));
        }
        readResultPolicy(operation, pointer, pathPointer);
        return operation;
    }

    private Parameter readParameter(String at) {
        JsonNode node = bundle.valueAt(at);
        String name = stringMember(node, "name");
        String in = stringMember(node, "in");
        if (in.equals("header") && Parameter.isIgnoredHeader(name)) {
            return null;
        }
        boolean required = booleanMember(node, "required");
        if (in.equals("path") && !required) {
            addProblem(at, "a parameter of a path must be required");
        }
        String style = stringMember(node, "style");
        style = style != null ? style : in.equals("query") || in.equals("cookie") ? "form" : "simple";
        if (!Parameter.STYLES_BY_LOCATION.get(in).contains(style)) {
            addProblem(at + "/style", "is no style of a parameter in " + in);
            return null;
        }
        boolean explode = node.get("explode") == null ? style.equals("form") : booleanMember(node, "explode");
        JsonNode content = node.get("content");
        if ((content == null) == (node.get("schema") == null)) {
            addProblem(at, "a parameter needs either schema or content");
            return null;
        }
        if (content == null) {
            return new Parameter(name, in, required, style, explode, false, ExpectedType.of(bundle, at + "/schema"),
                compileSchema(at + "/schema"));
        }
        if (!content.isObject() || content.size() != 1) {
            addProblem(at + "/content", "must have exactly one media type");
            return null;
        }
        String type = content.propertyNames().iterator().next();
        String schema = at + "/content/" + Json.escapeToken(type) + "/schema";
        MediaType media = MediaType.parse(type);
        if (media == null) {
            addProblem(at + "/content/" + Json.escapeToken(type), "is no media type");
            return null;
        }
        boolean some = bundle.valueAt(schema) != null;
        return new Parameter(name, in, required, style, explode, media.isJson(),
            ExpectedType.of(bundle, schema), some ? compileSchema(schema) : null);
    }

    private void readRequestBody(Operation operation, String at) {
        JsonNode node = bundle.valueAt(at);
        if (node.get("content") == null || !node.get("content").isObject()) {
            addProblem(at, "a request's body needs content");
            return;
        }
        operation.bodyRequired = booleanMember(node, "required");
        operation.bodySchemas = new LinkedHashMap<>();
        for (String type : node.get("content").propertyNames()) {
            String pointer = at + "/content/" + Json.escapeToken(type);
            MediaType media = MediaType.parse(type);
            if (media == null) {
                addProblem(pointer, "is no media type");
            } else {
                operation.bodySchemas.put(media, readBodySchema(media, pointer, SchemaCompiler.Direction.REQUEST));
            }
        }
    }

    private BodySchema readBodySchema(MediaType media, String pointer, SchemaCompiler.Direction way) {
        String at = pointer + "/schema";
        boolean judged = media.isJson() || media.isForm() || media.type().equals("text")
            || media.subtype().equals("octet-stream") || media.subtype().equals("*");
        JsonNode schema = bundle.valueAt(at);
        if (!judged && schema != null) {
            addWarning(pointer, "bodies of " + media + " are passed on without being judged");
        }
        if (schema == null || !judged || media.isJsonLines()) {
            return new BodySchema(null, ExpectedType.ANY, Map.of());
        }
        if (media.isJson()) {
            return new BodySchema(compileSchema(at), ExpectedType.ANY, Map.of());
        }
        Map<String, Parameter> fields = new HashMap<>();
        for (Map.Entry<String, JsonNode> field : members(pointer + "/encoding")) {
            JsonNode explode = field.getValue().get("explode");
            String style = stringMember(field.getValue(), "style");
            fields.put(field.getKey(), new Parameter(field.getKey(), "query", false, style == null ? "form" : style,
                explode == null || explode.asBoolean(true), false, ExpectedType.of(bundle, at), null));
        }
        return new BodySchema(compileSchema(at), ExpectedType.of(bundle, at), fields);
    }

    /** What a served answer must be: that of 200, or of 2XX, or the default. */
    private void readResultPolicy(Operation operation, String pointer, String pathPointer) {
        String how = null;
        for (String at : List.of("", pathPointer, pointer)) {
            JsonNode word = bundle.valueAt(at).get(RESULTS_KEY);
            if (word != null && (!word.isString() || !Set.of("off", "count", "fail").contains(word.stringValue()))) {
                addProblem(at + '/' + RESULTS_KEY, "must be off, count or fail");
            } else if (word != null) {
                how = word.stringValue();
            }
        }
        operation.resultPolicy = how == null ? Operation.ResultPolicy.OFF
            : Operation.ResultPolicy.valueOf(how.toUpperCase(Locale.ROOT));
        if (operation.resultPolicy == Operation.ResultPolicy.OFF) {
            return;
        }
        for (String status : List.of("200", "2XX", "default")) {
            String at = pointer + "/responses/" + status;
            if (bundle.valueAt(at) == null) {
                continue;
            }
            at = bundle.resolve(at) + "/content";
            JsonNode content = bundle.valueAt(at);
            if (content == null || !content.isObject() || content.isEmpty()) {
                return;
            }
            String type = content.propertyNames().stream().filter(t -> MediaType.parse(t) != null
                && MediaType.parse(t).isJson()).findFirst().orElse(content.propertyNames().iterator().next());
            MediaType media = MediaType.parse(type);
            if (media != null) {
                operation.responseMediaType = media;
                operation.responseSchema = readBodySchema(media, at + '/' + Json.escapeToken(type), SchemaCompiler.Direction.RESPONSE);
            }
            return;
        }
    }
}

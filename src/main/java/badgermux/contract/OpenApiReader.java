package badgermux.contract;

import com.networknt.schema.dialect.Dialects;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import tools.jackson.databind.JsonNode;

/** Reads OpenAPI 3.0 and 3.1 (OpenAPI Specification 3.0.4 and 3.1.1). */
final class OpenApiReader extends DescriptionReader {
    /** The extension that says how results are validated: {@code off}, {@code count} or {@code fail}. */
    static final String RESULTS_KEY = "x-results";
    private static final Set<String> METHODS = Set.of("get", "put", "post", "delete", "options", "head", "patch",
        "trace");
    private static final Set<String> SUPPORTED_DIALECTS = Set.of("https://spec.openapis.org/oas/3.1/dialect/base",
        "https://json-schema.org/draft/2020-12/schema");

    private final boolean isVersion30;

    OpenApiReader(ApiDescription description, DocumentBundle bundle, boolean isVersion30) {
        super(description, bundle, isVersion30 ? Dialects.getOpenApi30() : Dialects.getOpenApi31(), !isVersion30);
        this.isVersion30 = isVersion30;
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
        List<String> basePaths = readBasePaths("", List.of(""));
        for (Map.Entry<String, JsonNode> path : members("/paths")) {
            String pointer = "/paths/" + Json.escapeToken(path.getKey());
            if (!path.getKey().startsWith("x-") && isValidTemplate(path.getKey(), pointer)) {
                readPath(path.getKey(), pointer, basePaths);
            }
            if (hasMaxProblems()) {
                return;
            }
        }
    }

    /** Returns the base paths of the servers listed at a pointer; {@code inherited} if there are none. */
    private List<String> readBasePaths(String pointer, List<String> inherited) {
        JsonNode servers = bundle.valueAt(pointer + "/servers");
        if (servers == null || !servers.isArray() || servers.isEmpty()) {
            return inherited;
        }
        List<String> paths = new ArrayList<>();
        for (int i = 0; i < servers.size(); i++) {
            String url = stringMember(servers.get(i), "url");
            if (url == null) {
                addProblem(pointer + "/servers/" + i, "url is missing");
                continue;
            }
            basePaths(url, servers.get(i).get("variables"), pointer + "/servers/" + i + "/url").stream()
                .filter(base -> !paths.contains(base)).forEach(paths::add);
        }
        return paths.isEmpty() ? List.of("") : paths;
    }

    /** Reads the operations of a path; {@code inherited} are the base paths of the whole description. */
    private void readPath(String template, String pointer, List<String> inherited) {
        String pathPointer = bundle.resolve(pointer);
        List<String> basePaths = readBasePaths(pathPointer, inherited);
        Map<String, String> sharedParameters = readParameterPointers(pathPointer);
        for (Map.Entry<String, JsonNode> member : members(pathPointer)) {
            if (METHODS.contains(member.getKey())) {
                String method = member.getKey().toUpperCase(Locale.ROOT);
                String operationPointer = pathPointer + '/' + member.getKey();
                Operation operation = readOperation(template, method, operationPointer, pathPointer, sharedParameters);
                for (String base : readBasePaths(operationPointer, basePaths)) {
                    description.routes.add(new ApiDescription.Route(base + template, method, operation));
                }
            }
        }
    }

    /** Returns the pointers of the parameters listed at a pointer, by their location and name. */
    private Map<String, String> readParameterPointers(String pointer) {
        Map<String, String> pointers = new LinkedHashMap<>();
        JsonNode list = bundle.valueAt(pointer + "/parameters");
        if (list != null && !list.isArray()) {
            addProblem(pointer + "/parameters", "must be a list");
            return pointers;
        }
        for (int i = 0; list != null && i < list.size(); i++) {
            String parameterPointer = bundle.resolve(pointer + "/parameters/" + i);
            JsonNode parameter = bundle.valueAt(parameterPointer);
            String name = stringMember(parameter, "name");
            String in = stringMember(parameter, "in");
            if (name == null || in == null || !Parameter.STYLES_BY_LOCATION.containsKey(in)) {
                addProblem(parameterPointer, "a parameter needs a name, and in must be path, query, header or cookie");
            } else if (pointers.put(in + ' ' + (in.equals("header") ? name.toLowerCase(Locale.ROOT) : name),
                    parameterPointer) != null) {
                addProblem(parameterPointer, "a parameter stands there twice: " + name);
            }
        }
        return pointers;
    }

    /** Reads an operation; {@code sharedParameters} are the pointers of the path's parameters. */
    private Operation readOperation(String template, String method, String pointer, String pathPointer,
            Map<String, String> sharedParameters) {
        Operation operation = new Operation(description.name(), method + ' ' + template, pointer);
        JsonNode node = bundle.valueAt(pointer);
        operation.pathParameterNames = RouteTable.parameterNames(template);
        Map<String, String> parameterPointers = new LinkedHashMap<>(sharedParameters);
        parameterPointers.putAll(readParameterPointers(pointer));
        Set<String> described = new HashSet<>();
        for (String parameterPointer : parameterPointers.values()) {
            Parameter parameter = readParameter(parameterPointer);
            if (parameter == null) {
                continue;
            }
            if (parameter.in().equals("path")) {
                described.add(parameter.name());
                if (!operation.pathParameterNames.contains(parameter.name())) {
                    addProblem(parameterPointer, "the path has no parameter of this name: " + parameter.name());
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

    /** Reads a parameter; returns null if it is ignored or can't be used. */
    private Parameter readParameter(String pointer) {
        JsonNode node = bundle.valueAt(pointer);
        String name = stringMember(node, "name");
        String in = stringMember(node, "in");
        if (in.equals("header") && Parameter.isIgnoredHeader(name)) {
            return null;
        }
        boolean required = booleanMember(node, "required");
        if (in.equals("path") && !required) {
            addProblem(pointer, "a parameter of a path must be required");
        }
        String style = stringMember(node, "style");
        style = style != null ? style : in.equals("query") || in.equals("cookie") ? "form" : "simple";
        if (!Parameter.STYLES_BY_LOCATION.get(in).contains(style)) {
            addProblem(pointer + "/style", "is no style of a parameter in " + in);
            return null;
        }
        boolean explode = node.get("explode") == null ? style.equals("form") : booleanMember(node, "explode");
        JsonNode content = node.get("content");
        if ((content == null) == (node.get("schema") == null)) {
            addProblem(pointer, "a parameter needs either schema or content");
            return null;
        }
        if (content == null) {
            return new Parameter(name, in, required, style, explode, false, ExpectedType.of(bundle, pointer + "/schema"),
                compileSchema(pointer + "/schema"));
        }
        if (!content.isObject() || content.size() != 1) {
            addProblem(pointer + "/content", "must have exactly one media type");
            return null;
        }
        String mediaTypeName = content.propertyNames().iterator().next();
        String schemaPointer = pointer + "/content/" + Json.escapeToken(mediaTypeName) + "/schema";
        MediaType mediaType = MediaType.parse(mediaTypeName);
        if (mediaType == null) {
            addProblem(pointer + "/content/" + Json.escapeToken(mediaTypeName), "is no media type");
            return null;
        }
        boolean hasSchema = bundle.valueAt(schemaPointer) != null;
        return new Parameter(name, in, required, style, explode, mediaType.isJson(),
            ExpectedType.of(bundle, schemaPointer), hasSchema ? compileSchema(schemaPointer) : null);
    }

    private void readRequestBody(Operation operation, String bodyPointer) {
        JsonNode node = bundle.valueAt(bodyPointer);
        if (node.get("content") == null || !node.get("content").isObject()) {
            addProblem(bodyPointer, "a request's body needs content");
            return;
        }
        operation.bodyRequired = booleanMember(node, "required");
        operation.bodySchemas = new LinkedHashMap<>();
        for (String mediaTypeName : node.get("content").propertyNames()) {
            String pointer = bodyPointer + "/content/" + Json.escapeToken(mediaTypeName);
            MediaType mediaType = MediaType.parse(mediaTypeName);
            if (mediaType == null) {
                addProblem(pointer, "is no media type");
            } else {
                operation.bodySchemas.put(mediaType, readBodySchema(mediaType, pointer, SchemaCompiler.Direction.REQUEST));
            }
        }
    }

    /** Reads the schema of a media type object. Bodies of media types that are not supported conform to any schema. */
    private BodySchema readBodySchema(MediaType mediaType, String pointer, SchemaCompiler.Direction direction) {
        String schemaPointer = pointer + "/schema";
        boolean isValidated = mediaType.isJson() || mediaType.isForm() || mediaType.type().equals("text")
            || mediaType.subtype().equals("octet-stream") || mediaType.subtype().equals("*");
        JsonNode schema = bundle.valueAt(schemaPointer);
        if (!isValidated && schema != null) {
            addWarning(pointer, "bodies of " + mediaType + " are passed on without being judged");
        }
        if (schema == null || !isValidated || mediaType.isJsonLines()) {
            return new BodySchema(null, ExpectedType.ANY, Map.of());
        }
        if (mediaType.isJson()) {
            return new BodySchema(compileSchema(schemaPointer), ExpectedType.ANY, Map.of());
        }
        Map<String, Parameter> fieldEncodings = new HashMap<>();
        for (Map.Entry<String, JsonNode> field : members(pointer + "/encoding")) {
            JsonNode explode = field.getValue().get("explode");
            String style = stringMember(field.getValue(), "style");
            fieldEncodings.put(field.getKey(), new Parameter(field.getKey(), "query", false, style == null ? "form" : style,
                explode == null || explode.asBoolean(true), false, ExpectedType.of(bundle, schemaPointer), null));
        }
        return new BodySchema(compileSchema(schemaPointer), ExpectedType.of(bundle, schemaPointer), fieldEncodings);
    }

    /**
     * Reads the policy for results and, unless it is off, their schema: that of response 200, else 2XX, else default. The policy
     * of an operation overrides that of its path, which overrides that of the description.
     */
    private void readResultPolicy(Operation operation, String pointer, String pathPointer) {
        String policyName = null;
        for (String location : List.of("", pathPointer, pointer)) {
            JsonNode value = bundle.valueAt(location).get(RESULTS_KEY);
            if (value != null && (!value.isString() || !Set.of("off", "count", "fail").contains(value.stringValue()))) {
                addProblem(location + '/' + RESULTS_KEY, "must be off, count or fail");
            } else if (value != null) {
                policyName = value.stringValue();
            }
        }
        operation.resultPolicy = policyName == null ? Operation.ResultPolicy.OFF
            : Operation.ResultPolicy.valueOf(policyName.toUpperCase(Locale.ROOT));
        if (operation.resultPolicy == Operation.ResultPolicy.OFF) {
            return;
        }
        for (String status : List.of("200", "2XX", "default")) {
            String location = pointer + "/responses/" + status;
            if (bundle.valueAt(location) == null) {
                continue;
            }
            location = bundle.resolve(location) + "/content";
            JsonNode content = bundle.valueAt(location);
            if (content == null || !content.isObject() || content.isEmpty()) {
                return;
            }
            String mediaTypeName = content.propertyNames().stream().filter(name -> MediaType.parse(name) != null
                && MediaType.parse(name).isJson()).findFirst().orElse(content.propertyNames().iterator().next());
            MediaType mediaType = MediaType.parse(mediaTypeName);
            if (mediaType != null) {
                operation.responseMediaType = mediaType;
                operation.responseSchema = readBodySchema(mediaType, location + '/' + Json.escapeToken(mediaTypeName),
                    SchemaCompiler.Direction.RESPONSE);
            }
            return;
        }
    }
}

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
final class OpenApi extends Compiler {
    /** What becomes of results that do not conform: {@code off}, {@code count} or {@code fail}. */
    static final String RESULTS = "x-results";
    private static final Set<String> METHODS = Set.of("get", "put", "post", "delete", "options", "head", "patch",
        "trace");
    private static final Set<String> DIALECTS = Set.of("https://spec.openapis.org/oas/3.1/dialect/base",
        "https://json-schema.org/draft/2020-12/schema");

    private final boolean old;

    OpenApi(Description description, Bundle bundle, boolean old) {
        super(description, bundle, old ? Dialects.getOpenApi30() : Dialects.getOpenApi31(), !old);
        this.old = old;
    }

    @Override void readAll() {
        JsonNode root = bundle.root();
        String dialect = text(root, "jsonSchemaDialect");
        if (dialect != null && (old || !DIALECTS.contains(dialect))) {
            problem("/jsonSchemaDialect", "only the dialect of OpenAPI 3.1 and JSON Schema 2020-12 can be read");
        }
        if (root.get("paths") == null && (old || root.get("webhooks") == null && root.get("components") == null)) {
            problem("", "paths is missing");
        }
        List<String> bases = servers("", List.of(""));
        for (Map.Entry<String, JsonNode> path : members("/paths")) {
            String at = "/paths/" + Json.step(path.getKey());
            if (!path.getKey().startsWith("x-") && isTemplate(path.getKey(), at)) {
                path(path.getKey(), at, bases);
            }
            if (isFull()) {
                return;
            }
        }
    }

    private List<String> servers(String pointer, List<String> otherwise) {
        JsonNode servers = bundle.at(pointer + "/servers");
        if (servers == null || !servers.isArray() || servers.isEmpty()) {
            return otherwise;
        }
        List<String> bases = new ArrayList<>();
        for (int i = 0; i < servers.size(); i++) {
            String url = text(servers.get(i), "url");
            if (url == null) {
                problem(pointer + "/servers/" + i, "url is missing");
                continue;
            }
            bases(url, servers.get(i).get("variables"), pointer + "/servers/" + i + "/url").stream()
                .filter(base -> !bases.contains(base)).forEach(bases::add);
        }
        return bases.isEmpty() ? List.of("") : bases;
    }

    private void path(String template, String pointer, List<String> otherwise) {
        String at = bundle.resolve(pointer);
        List<String> bases = servers(at, otherwise);
        Map<String, String> shared = parameters(at);
        for (Map.Entry<String, JsonNode> member : members(at)) {
            if (METHODS.contains(member.getKey())) {
                String method = member.getKey().toUpperCase(Locale.ROOT);
                String here = at + '/' + member.getKey();
                Operation operation = operation(template, method, here, at, shared);
                for (String base : servers(here, bases)) {
                    description.routes.add(new Description.Route(base + template, method, operation));
                }
            }
        }
    }

    /** The pointers of a list of parameters, by place and name. */
    private Map<String, String> parameters(String pointer) {
        Map<String, String> found = new LinkedHashMap<>();
        JsonNode list = bundle.at(pointer + "/parameters");
        if (list != null && !list.isArray()) {
            problem(pointer + "/parameters", "must be a list");
            return found;
        }
        for (int i = 0; list != null && i < list.size(); i++) {
            String at = bundle.resolve(pointer + "/parameters/" + i);
            JsonNode parameter = bundle.at(at);
            String name = text(parameter, "name");
            String in = text(parameter, "in");
            if (name == null || in == null || !Parameter.STYLES.containsKey(in)) {
                problem(at, "a parameter needs a name, and in must be path, query, header or cookie");
            } else if (found.put(in + ' ' + (in.equals("header") ? name.toLowerCase(Locale.ROOT) : name), at) != null) {
                problem(at, "a parameter stands there twice: " + name);
            }
        }
        return found;
    }

    private Operation operation(String template, String method, String pointer, String pathPointer,
            Map<String, String> shared) {
        Operation operation = new Operation(description.name(), method + ' ' + template, pointer);
        JsonNode node = bundle.at(pointer);
        operation.pathNames = RouteTable.names(template);
        Map<String, String> own = new LinkedHashMap<>(shared);
        own.putAll(parameters(pointer));
        Set<String> described = new java.util.HashSet<>();
        for (String at : own.values()) {
            Parameter parameter = parameter(at);
            if (parameter == null) {
                continue;
            }
            if (parameter.in().equals("path")) {
                described.add(parameter.name());
                if (!operation.pathNames.contains(parameter.name())) {
                    problem(at, "the path has no parameter of this name: " + parameter.name());
                }
            }
            operation.parameters.add(parameter);
        }
        for (String name : operation.pathNames) {
            if (!described.contains(name)) {
                problem(pointer, "the path's parameter is not described: " + name);
            }
        }
        if (node.get("requestBody") != null) {
            body(operation, bundle.resolve(pointer + "/requestBody"));
        }
        results(operation, pointer, pathPointer);
        return operation;
    }

    private Parameter parameter(String at) {
        JsonNode node = bundle.at(at);
        String name = text(node, "name");
        String in = text(node, "in");
        if (in.equals("header") && Parameter.isIgnoredHeader(name)) {
            return null;
        }
        boolean required = flag(node, "required");
        if (in.equals("path") && !required) {
            problem(at, "a parameter of a path must be required");
        }
        String style = text(node, "style");
        style = style != null ? style : in.equals("query") || in.equals("cookie") ? "form" : "simple";
        if (!Parameter.STYLES.get(in).contains(style)) {
            problem(at + "/style", "is no style of a parameter in " + in);
            return null;
        }
        boolean explode = node.get("explode") == null ? style.equals("form") : flag(node, "explode");
        JsonNode content = node.get("content");
        if ((content == null) == (node.get("schema") == null)) {
            problem(at, "a parameter needs either schema or content");
            return null;
        }
        if (content == null) {
            return new Parameter(name, in, required, style, explode, false, Shape.of(bundle, at + "/schema"),
                schema(at + "/schema"));
        }
        if (!content.isObject() || content.size() != 1) {
            problem(at + "/content", "must have exactly one media type");
            return null;
        }
        String type = content.propertyNames().iterator().next();
        String schema = at + "/content/" + Json.step(type) + "/schema";
        MediaType media = MediaType.parse(type);
        if (media == null) {
            problem(at + "/content/" + Json.step(type), "is no media type");
            return null;
        }
        boolean some = bundle.at(schema) != null;
        return new Parameter(name, in, required, style, explode, media.isJson(),
            Shape.of(bundle, schema), some ? schema(schema) : null);
    }

    private void body(Operation operation, String at) {
        JsonNode node = bundle.at(at);
        if (node.get("content") == null || !node.get("content").isObject()) {
            problem(at, "a request's body needs content");
            return;
        }
        operation.bodyRequired = flag(node, "required");
        operation.content = new LinkedHashMap<>();
        for (String type : node.get("content").propertyNames()) {
            String pointer = at + "/content/" + Json.step(type);
            MediaType media = MediaType.parse(type);
            if (media == null) {
                problem(pointer, "is no media type");
            } else {
                operation.content.put(media, rule(media, pointer, Schemas.Way.REQUEST));
            }
        }
    }

    private BodyRule rule(MediaType media, String pointer, Schemas.Way way) {
        String at = pointer + "/schema";
        boolean judged = media.isJson() || media.isForm() || media.type().equals("text")
            || media.subtype().equals("octet-stream") || media.subtype().equals("*");
        JsonNode schema = bundle.at(at);
        if (!judged && schema != null) {
            warn(pointer, "bodies of " + media + " are passed on without being judged");
        }
        if (schema == null || !judged || media.isLines()) {
            return new BodyRule(null, Shape.ANY, Map.of());
        }
        if (media.isJson()) {
            return new BodyRule(schema(at), Shape.ANY, Map.of());
        }
        Map<String, Parameter> fields = new HashMap<>();
        for (Map.Entry<String, JsonNode> field : members(pointer + "/encoding")) {
            JsonNode explode = field.getValue().get("explode");
            String style = text(field.getValue(), "style");
            fields.put(field.getKey(), new Parameter(field.getKey(), "query", false, style == null ? "form" : style,
                explode == null || explode.asBoolean(true), false, Shape.of(bundle, at), null));
        }
        return new BodyRule(schema(at), Shape.of(bundle, at), fields);
    }

    /** What a served answer must be: that of 200, or of 2XX, or the default. */
    private void results(Operation operation, String pointer, String pathPointer) {
        String how = null;
        for (String at : List.of("", pathPointer, pointer)) {
            JsonNode word = bundle.at(at).get(RESULTS);
            if (word != null && (!word.isString() || !Set.of("off", "count", "fail").contains(word.stringValue()))) {
                problem(at + '/' + RESULTS, "must be off, count or fail");
            } else if (word != null) {
                how = word.stringValue();
            }
        }
        operation.results = how == null ? Operation.Results.OFF
            : Operation.Results.valueOf(how.toUpperCase(Locale.ROOT));
        if (operation.results == Operation.Results.OFF) {
            return;
        }
        for (String status : List.of("200", "2XX", "default")) {
            String at = pointer + "/responses/" + status;
            if (bundle.at(at) == null) {
                continue;
            }
            at = bundle.resolve(at) + "/content";
            JsonNode content = bundle.at(at);
            if (content == null || !content.isObject() || content.isEmpty()) {
                return;
            }
            String type = content.propertyNames().stream().filter(t -> MediaType.parse(t) != null
                && MediaType.parse(t).isJson()).findFirst().orElse(content.propertyNames().iterator().next());
            MediaType media = MediaType.parse(type);
            if (media != null) {
                operation.resultType = media;
                operation.result = rule(media, at + '/' + Json.step(type), Schemas.Way.RESPONSE);
            }
            return;
        }
    }
}

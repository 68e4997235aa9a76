package badgermux.contract;

import badgermux.contract.DescriptionException.Problem;
import java.util.ArrayList;
import java.util.List;
import tools.jackson.databind.JsonNode;

/** One compiled description: its routes, and what was noticed while it was read. It never changes. */
public final class ApiDescription {
    /** One method on one path. {@code template} begins with its base path. */
    record Route(String template, String method, Operation operation) { }

    /** The streams of one channel; each may be null. */
    record Channel(String template, MessageStream requestStream, MessageStream responseStream) { }

    private final String name;
    private final String specification;
    private final DocumentBundle bundle;
    final List<Route> routes = new ArrayList<>();
    final List<Channel> channels = new ArrayList<>();
    private final List<Problem> warnings = new ArrayList<>();

    ApiDescription(String name, String kind, DocumentBundle bundle) {
        this.name = name;
        this.specification = kind;
        this.bundle = bundle;
    }

    /**
     * Compiles a description.
     *
     * @param name    the name under which it is kept and told
     * @param primary the document that holds it
     * @param others  documents that it may refer to
     * @throws DescriptionException with all that is wrong with it, as far as that could be seen
     */
    public static ApiDescription compile(String name, Document primary, List<Document> others)
            throws DescriptionException {
        JsonNode openapi = primary.root().get("openapi");
        JsonNode asyncapi = primary.root().get("asyncapi");
        if ((openapi == null) == (asyncapi == null)) {
            throw new DescriptionException(primary.problemAt("", openapi == null
                ? "neither openapi nor asyncapi names a version" : "openapi and asyncapi in one document"));
        }
        boolean open = openapi != null;
        JsonNode version = open ? openapi : asyncapi;
        String text = version.isString() ? version.stringValue() : "";
        boolean known = open ? text.matches("3\\.[01]\\.[0-9]{1,3}(-.*)?") : text.matches("2\\.6\\.[0-9]{1,3}|3\\.0\\.[0-9]{1,3}");
        if (!known) {
            throw new DescriptionException(primary.problemAt(open ? "/openapi" : "/asyncapi", open
                ? "only OpenAPI 3.0 and 3.1 can be read" : "only AsyncAPI 2.6 and 3.0 can be read"));
        }
        DocumentBundle bundle = DocumentBundle.of(primary, others);
        ApiDescription description = new ApiDescription(name, (open ? "openapi " : "asyncapi ") + text.substring(0, 3), bundle);
        if (open) {
            new OpenApiReader(description, bundle, text.startsWith("3.0")).read();
        } else {
            new AsyncApiReader(description, bundle, text.startsWith("2")).read();
        }
        return description;
    }

    public String name() {
        return name;
    }

    /** The language and its version, such as {@code openapi 3.1}. */
    public String specification() {
        return specification;
    }

    /** How many operations and streams it has. */
    public int size() {
        return routes.size() + channels.size();
    }

    /** What was read but is not judged. */
    public List<Problem> warnings() {
        return List.copyOf(warnings);
    }

    DocumentBundle bundle() {
        return bundle;
    }

    void addWarning(Problem problem) {
        if (warnings.size() < 100) {
            warnings.add(problem);
        }
    }
}

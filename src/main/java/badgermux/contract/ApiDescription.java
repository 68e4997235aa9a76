package badgermux.contract;

import badgermux.contract.DescriptionException.Problem;
import java.util.ArrayList;
import java.util.List;
import tools.jackson.databind.JsonNode;

/** A compiled API description: its routes, its channels and the warnings about it. Immutable once compiled. */
public final class ApiDescription {
    private static final int MAX_WARNINGS = 100;

    /** One method on one path. {@code template} is the path template with its base path. */
    record Route(String template, String method, Operation operation) { }

    /** The streams of one channel; each of them may be null. {@code template} is as in {@link Route}. */
    record Channel(String template, MessageStream requestStream, MessageStream responseStream) { }

    private final String name;
    private final String specification;
    private final DocumentBundle bundle;
    final List<Route> routes = new ArrayList<>();
    final List<Channel> channels = new ArrayList<>();
    private final List<Problem> warnings = new ArrayList<>();

    ApiDescription(String name, String specification, DocumentBundle bundle) {
        this.name = name;
        this.specification = specification;
        this.bundle = bundle;
    }

    /**
     * Compiles a description.
     *
     * @param name    the name under which it is stored and reported
     * @param primary the document that holds the description
     * @param others  further documents that it may refer to
     * @throws DescriptionException if it can't be used, with all problems found
     */
    public static ApiDescription compile(String name, Document primary, List<Document> others)
            throws DescriptionException {
        JsonNode openapi = primary.root().get("openapi");
        JsonNode asyncapi = primary.root().get("asyncapi");
        if ((openapi == null) == (asyncapi == null)) {
            throw new DescriptionException(primary.problemAt("", openapi == null
                ? "neither openapi nor asyncapi names a version" : "openapi and asyncapi in one document"));
        }
        boolean isOpenApi = openapi != null;
        JsonNode version = isOpenApi ? openapi : asyncapi;
        String versionText = version.isString() ? version.stringValue() : "";
        boolean isSupported = isOpenApi ? versionText.matches("3\\.[01]\\.[0-9]{1,3}(-.*)?")
            : versionText.matches("2\\.6\\.[0-9]{1,3}|3\\.0\\.[0-9]{1,3}");
        if (!isSupported) {
            throw new DescriptionException(primary.problemAt(isOpenApi ? "/openapi" : "/asyncapi", isOpenApi
                ? "only OpenAPI 3.0 and 3.1 can be read" : "only AsyncAPI 2.6 and 3.0 can be read"));
        }
        DocumentBundle bundle = DocumentBundle.of(primary, others);
        ApiDescription description = new ApiDescription(name,
            (isOpenApi ? "openapi " : "asyncapi ") + versionText.substring(0, 3), bundle);
        if (isOpenApi) {
            new OpenApiReader(description, bundle, versionText.startsWith("3.0")).read();
        } else {
            new AsyncApiReader(description, bundle, versionText.startsWith("2")).read();
        }
        return description;
    }

    public String name() {
        return name;
    }

    /** Returns the specification and its version, such as {@code openapi 3.1}. */
    public String specification() {
        return specification;
    }

    /** Returns the number of routes and channels. */
    public int size() {
        return routes.size() + channels.size();
    }

    /** Returns the parts of the description that are not validated. */
    public List<Problem> warnings() {
        return List.copyOf(warnings);
    }

    DocumentBundle bundle() {
        return bundle;
    }

    void addWarning(Problem problem) {
        if (warnings.size() < MAX_WARNINGS) {
            warnings.add(problem);
        }
    }
}

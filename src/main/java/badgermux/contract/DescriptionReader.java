package badgermux.contract;

import badgermux.contract.DescriptionException.Problem;
import com.networknt.schema.dialect.Dialect;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import tools.jackson.databind.JsonNode;

/** Base class of the readers of descriptions. A reader goes on after a problem, so that all problems are reported at once. */
abstract class DescriptionReader {
    private static final int MAX_PROBLEMS = 50;
    /** The maximum number of URLs that the variables of one server may expand to. */
    private static final int MAX_SERVER_URLS = 64;

    /** The description that is being read. */
    final ApiDescription description;
    final DocumentBundle bundle;
    final SchemaCompiler schemaCompiler;
    private final List<Problem> problems = new ArrayList<>();

    /** {@code losslessNarrowing} says whether 1.0 is an integer. */
    DescriptionReader(ApiDescription description, DocumentBundle bundle, Dialect dialect, boolean losslessNarrowing) {
        this.description = description;
        this.bundle = bundle;
        schemaCompiler = new SchemaCompiler(bundle, dialect, losslessNarrowing);
    }

    /**
     * Reads the bundle into the description.
     *
     * @throws DescriptionException with the problems found
     */
    final void read() throws DescriptionException {
        readDescription();
        if (!problems.isEmpty()) {
            throw new DescriptionException(problems);
        }
    }

    /** Reads the bundle and reports problems with {@link #addProblem}. */
    abstract void readDescription();

    /** Reports why the description can't be used. */
    final void addProblem(String pointer, String reason) {
        if (problems.size() < MAX_PROBLEMS) {
            problems.add(bundle.problemAt(pointer, reason));
        }
    }

    /** Reports a part of the description that is not validated. */
    final void addWarning(String pointer, String reason) {
        description.addWarning(bundle.problemAt(pointer, reason));
    }

    /** Whether the limit of reported problems is reached. */
    final boolean hasMaxProblems() {
        return problems.size() >= MAX_PROBLEMS;
    }

    /** Compiles the schema at a pointer; if it can't be used, reports the problems and returns null. */
    final SchemaCompiler.CompiledSchema compileSchema(String pointer) {
        try {
            return schemaCompiler.compile(pointer);
        } catch (DescriptionException e) {
            if (problems.size() < MAX_PROBLEMS) {
                problems.addAll(e.problems());
            }
            return null;
        }
    }

    /** Returns a member of an object if it is a string; null otherwise. */
    static String stringMember(JsonNode object, String name) {
        JsonNode value = object == null || !object.isObject() ? null : object.get(name);
        return value != null && value.isString() ? value.stringValue() : null;
    }

    /** Whether a member of an object is true. */
    static boolean booleanMember(JsonNode object, String name) {
        JsonNode value = object.get(name);
        return value != null && value.isBoolean() && value.booleanValue();
    }

    /** Returns the members of the object at a pointer; none if there is no value. Reports a value of another type. */
    final Iterable<Map.Entry<String, JsonNode>> members(String pointer) {
        JsonNode node = bundle.valueAt(pointer);
        if (node != null && !node.isObject()) {
            addProblem(pointer, "must be an object");
        }
        return node == null || !node.isObject() ? List.of() : node.properties();
    }

    /**
     * Returns the paths of a server's URL, one for each combination of values of its variables, without a trailing slash.
     *
     * @param variables the server's variables; null for none
     * @param pointer   the pointer for problems
     */
    final List<String> basePaths(String url, JsonNode variables, String pointer) {
        List<String> urls = new ArrayList<>(List.of(url));
        for (int index = 0; index < urls.size() && urls.size() <= MAX_SERVER_URLS;) {
            String template = urls.get(index);
            int brace = template.indexOf('{');
            int close = template.indexOf('}', brace);
            if (brace < 0 || close < 0) {
                index++;
                continue;
            }
            urls.remove(index);
            JsonNode variable = variables == null ? null : variables.get(template.substring(brace + 1, close));
            if (variable == null || stringMember(variable, "default") == null) {
                addProblem(pointer, "a server's variable has no default");
                return List.of("");
            }
            List<String> choices = new ArrayList<>();
            if (variable.get("enum") != null) {
                variable.get("enum").forEach(choice -> choices.add(choice.asString("")));
            } else {
                choices.add(stringMember(variable, "default"));
            }
            for (String choice : choices) {
                urls.add(index, template.substring(0, brace) + choice + template.substring(close + 1));
            }
        }
        List<String> paths = new ArrayList<>();
        for (String address : urls) {
            try {
                String path = URI.create(address).getPath();
                path = path == null ? "" : path;
                while (path.endsWith("/")) {
                    path = path.substring(0, path.length() - 1);
                }
                path = path.isEmpty() || path.startsWith("/") ? path : '/' + path;
                if (!paths.contains(path)) {
                    paths.add(path);
                }
            } catch (IllegalArgumentException e) {
                addProblem(pointer, "a server's address is no URL");
            }
        }
        return paths.isEmpty() ? List.of("") : paths;
    }

    /** Whether a path template can be used; reports the problem if not. */
    final boolean isValidTemplate(String template, String pointer) {
        String reason = !template.startsWith("/") ? "a path must begin with /"
            : template.indexOf('?') >= 0 || template.indexOf('#') >= 0 ? "a path may hold no query and no fragment"
            : !template.matches("([^{}]|\\{[^{}/]+})*") ? "braces in a path must enclose a name"
            : template.contains("}{") ? "two parameters in a path stand side by side"
            : RouteTable.parameterNames(template).stream().distinct().count() < RouteTable.parameterNames(template).size()
                ? "a path names a parameter twice" : null;
        if (reason != null) {
            addProblem(pointer, reason);
        }
        return reason == null;
    }
}

package badgermux.contract;

import badgermux.contract.DescriptionException.Problem;
import com.networknt.schema.dialect.Dialect;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import tools.jackson.databind.JsonNode;

/** What the two readers of descriptions share: they go on after a fault, so that all are told at once. */
abstract class DescriptionReader {
    private static final int MAX_PROBLEMS = 50, MAX_SERVER_URLS = 64;

    final ApiDescription description;
    final DocumentBundle bundle;
    final SchemaCompiler schemaCompiler;
    private final List<Problem> problems = new ArrayList<>();

    DescriptionReader(ApiDescription description, DocumentBundle bundle, Dialect dialect, boolean wholeFractions) {
        this.description = description;
        this.bundle = bundle;
        schemaCompiler = new SchemaCompiler(bundle, dialect, wholeFractions);
    }

    final void read() throws DescriptionException {
        readDescription();
        if (!problems.isEmpty()) {
            throw new DescriptionException(problems);
        }
    }

    abstract void readDescription();

    final void addProblem(String pointer, String reason) {
        if (problems.size() < MAX_PROBLEMS) {
            problems.add(bundle.problemAt(pointer, reason));
        }
    }

    final void addWarning(String pointer, String reason) {
        description.addWarning(bundle.problemAt(pointer, reason));
    }

    final boolean hasMaxProblems() {
        return problems.size() >= MAX_PROBLEMS;
    }

    /** A schema compiled; null where it can't be, which is told. */
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

    /** A member's text; null where it is absent or no text. */
    static String stringMember(JsonNode of, String name) {
        JsonNode value = of == null || !of.isObject() ? null : of.get(name);
        return value != null && value.isString() ? value.stringValue() : null;
    }

    static boolean booleanMember(JsonNode of, String name) {
        JsonNode value = of.get(name);
        return value != null && value.isBoolean() && value.booleanValue();
    }

    /** The members of an object at a pointer; none where there is no object, which is told if it is something else. */
    final Iterable<Map.Entry<String, JsonNode>> members(String pointer) {
        JsonNode node = bundle.valueAt(pointer);
        if (node != null && !node.isObject()) {
            addProblem(pointer, "must be an object");
        }
        return node == null || !node.isObject() ? List.of() : node.properties();
    }

    /** The paths of a server's address, one for each choice of its variables; empty for the root. */
    final List<String> basePaths(String url, JsonNode variables, String pointer) {
        List<String> urls = new ArrayList<>(List.of(url));
        for (int open = 0; open < urls.size() && urls.size() <= MAX_SERVER_URLS;) {
            String next = urls.get(open);
            int brace = next.indexOf('{');
            int close = next.indexOf('}', brace);
            if (brace < 0 || close < 0) {
                open++;
                continue;
            }
            urls.remove(open);
            JsonNode variable = variables == null ? null : variables.get(next.substring(brace + 1, close));
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
                urls.add(open, next.substring(0, brace) + choice + next.substring(close + 1));
            }
        }
        List<String> paths = new ArrayList<>();
        for (String each : urls) {
            try {
                String path = URI.create(each).getPath();
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

    /** Whether a template can be used; what is wrong with it is told. */
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

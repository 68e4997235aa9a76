package badgermux.contract;

import badgermux.contract.DescriptionException.Problem;
import com.networknt.schema.dialect.Dialect;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import tools.jackson.databind.JsonNode;

/** What the two readers of descriptions share: they go on after a fault, so that all are told at once. */
abstract class Compiler {
    private static final int MAX_PROBLEMS = 50, MAX_PATHS = 64;

    final Description description;
    final Bundle bundle;
    final Schemas schemas;
    private final List<Problem> problems = new ArrayList<>();

    Compiler(Description description, Bundle bundle, Dialect dialect, boolean wholeFractions) {
        this.description = description;
        this.bundle = bundle;
        schemas = new Schemas(bundle, dialect, wholeFractions);
    }

    final void read() throws DescriptionException {
        readAll();
        if (!problems.isEmpty()) {
            throw new DescriptionException(problems);
        }
    }

    abstract void readAll();

    final void problem(String pointer, String reason) {
        if (problems.size() < MAX_PROBLEMS) {
            problems.add(bundle.problem(pointer, reason));
        }
    }

    final void warn(String pointer, String reason) {
        description.warn(bundle.problem(pointer, reason));
    }

    final boolean isFull() {
        return problems.size() >= MAX_PROBLEMS;
    }

    /** A schema compiled; null where it can't be, which is told. */
    final Schemas.Compiled schema(String pointer) {
        try {
            return schemas.compile(pointer);
        } catch (DescriptionException e) {
            if (problems.size() < MAX_PROBLEMS) {
                problems.addAll(e.problems());
            }
            return null;
        }
    }

    /** A member's text; null where it is absent or no text. */
    static String text(JsonNode of, String name) {
        JsonNode value = of == null || !of.isObject() ? null : of.get(name);
        return value != null && value.isString() ? value.stringValue() : null;
    }

    static boolean flag(JsonNode of, String name) {
        JsonNode value = of.get(name);
        return value != null && value.isBoolean() && value.booleanValue();
    }

    /** The members of an object at a pointer; none where there is no object, which is told if it is something else. */
    final Iterable<Map.Entry<String, JsonNode>> members(String pointer) {
        JsonNode node = bundle.at(pointer);
        if (node != null && !node.isObject()) {
            problem(pointer, "must be an object");
        }
        return node == null || !node.isObject() ? List.of() : node.properties();
    }

    /** The paths of a server's address, one for each choice of its variables; empty for the root. */
    final List<String> bases(String url, JsonNode variables, String pointer) {
        List<String> urls = new ArrayList<>(List.of(url));
        for (int open = 0; open < urls.size() && urls.size() <= MAX_PATHS;) {
            String next = urls.get(open);
            int brace = next.indexOf('{');
            int close = next.indexOf('}', brace);
            if (brace < 0 || close < 0) {
                open++;
                continue;
            }
            urls.remove(open);
            JsonNode variable = variables == null ? null : variables.get(next.substring(brace + 1, close));
            if (variable == null || text(variable, "default") == null) {
                problem(pointer, "a server's variable has no default");
                return List.of("");
            }
            List<String> choices = new ArrayList<>();
            if (variable.get("enum") != null) {
                variable.get("enum").forEach(choice -> choices.add(choice.asString("")));
            } else {
                choices.add(text(variable, "default"));
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
                problem(pointer, "a server's address is no URL");
            }
        }
        return paths.isEmpty() ? List.of("") : paths;
    }

    /** Whether a template can be used; what is wrong with it is told. */
    final boolean isTemplate(String template, String pointer) {
        String reason = !template.startsWith("/") ? "a path must begin with /"
            : template.indexOf('?') >= 0 || template.indexOf('#') >= 0 ? "a path may hold no query and no fragment"
            : !template.matches("([^{}]|\\{[^{}/]+})*") ? "braces in a path must enclose a name"
            : template.contains("}{") ? "two parameters in a path stand side by side"
            : RouteTable.names(template).stream().distinct().count() < RouteTable.names(template).size()
                ? "a path names a parameter twice" : null;
        if (reason != null) {
            problem(pointer, reason);
        }
        return reason == null;
    }
}

package badgermux.contract;

import badgermux.contract.DescriptionException.Problem;
import com.google.re2j.Pattern;
import com.google.re2j.PatternSyntaxException;
import com.networknt.schema.Error;
import com.networknt.schema.ExecutionConfig;
import com.networknt.schema.ExecutionContext;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaLocation;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SchemaRegistryConfig;
import com.networknt.schema.ValidationLimitExceededException;
import com.networknt.schema.dialect.Dialect;
import com.networknt.schema.keyword.NonValidationKeyword;
import com.networknt.schema.path.NodePath;
import com.networknt.schema.path.PathType;
import com.networknt.schema.regex.RegularExpression;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import tools.jackson.databind.JsonNode;

/**
 * The schemas of one description, compiled by the networknt validator in the description's own dialect. A judgement takes
 * a bounded number of steps; patterns run on RE2/J, whose time is linear in the text (Cox, "Regular Expression Matching
 * Can Be Simple And Fast", 2007).
 */
final class Schemas {
    /** Who sends the message: a request may not bring what is read-only, a response not what is write-only. */
    enum Way { REQUEST, RESPONSE, EVENT }

    /** How many keywords one judgement may evaluate, at once and in all, and how deep they may nest. */
    static final long FEW_STEPS = 4_000, MOST_STEPS = 400_000;
    private static final int MAX_EVALUATION_DEPTH = 400;
    /** Guards against a pattern whose automaton alone fills the heap. */
    private static final int MAX_PATTERN = 2_000;

    private static final Set<String> SAYS_NOTHING = Set.of("type", "title", "description", "example", "examples",
        "default", "deprecated", "nullable");

    /** One compiled schema. */
    final class Compiled {
        private final Schema schema;
        private final String pointer;
        private final boolean anyString;

        private Compiled(Schema schema, String pointer) {
            this.schema = schema;
            this.pointer = pointer;
            JsonNode node = schema.getSchemaNode();
            anyString = node.isObject() && node.has("type") && "string".equals(node.get("type").asString(""))
                && SAYS_NOTHING.containsAll(node.propertyNames());
        }

        /** Whether every string conforms: most parameters ask for no more, and the validator's set-up costs 1 us. */
        boolean takesAnyString() {
            return anyString;
        }

        /** Where it stands in the bundle. */
        String pointer() {
            return pointer;
        }

        /** The faults of a value, at most {@link Verdict#MAX_FAULTS}; {@code steps} bounds the work. */
        List<Fault> judge(JsonNode value, Way way, String in, String prefix, long steps) {
            ExecutionContext context = new ExecutionContext(config(way, steps));
            context.setErrors(new Few());
            try {
                schema.validate(context, value);
                if (context.isEvaluationAborted()) {
                    throw new TooCostly();
                }
            } catch (ValidationLimitExceededException | StackOverflowError e) {
                throw new TooCostly();
            }
            List<Fault> faults = new ArrayList<>();
            for (Error error : context.getErrors()) {
                faults.add(new Fault(in, prefix + location(error.getInstanceLocation()), error.getKeyword(),
                    Words.of(error)));
            }
            return faults;
        }

        boolean conforms(JsonNode value, Way way, long steps) {
            return judge(value, way, "", "", steps).isEmpty();
        }
    }

    /** Keeps the first errors only: a long array of wrong items brings one for each. */
    private static final class Few extends ArrayList<Error> {
        private static final long serialVersionUID = 1L;

        @Override public boolean add(Error error) {
            return size() < Verdict.MAX_FAULTS && super.add(error);
        }
    }

    private final Bundle bundle;
    private final Schema root;
    private final Map<String, Compiled> compiled = new HashMap<>();
    private final Map<Way, ExecutionConfig> few = new HashMap<>();
    private final Map<Way, ExecutionConfig> most = new HashMap<>();

    /** {@code wholeFractions}: whether 1.0 is an integer, as it is since draft 6 of JSON Schema. */
    Schemas(Bundle bundle, Dialect dialect, boolean wholeFractions) {
        this.bundle = bundle;
        SchemaRegistryConfig config = SchemaRegistryConfig.builder().formatAssertionsEnabled(true).preloadSchema(false)
            .cacheRefs(true).losslessNarrowing(wholeFractions).locale(Locale.ROOT).pathType(PathType.JSON_POINTER)
            .messageSource((key, fallback, locale, arguments) -> "")
            .regularExpressionFactory(Schemas::pattern).build();
        // What a schema does not know, such as the description's own parts and extensions, has no say in it.
        Dialect quiet = Dialect.builder(dialect)
            .unknownKeywordFactory((keyword, context) -> new NonValidationKeyword(keyword)).formats(Formats.all())
            .build();
        SchemaRegistry registry = SchemaRegistry.withDefaultDialect(quiet, builder -> builder
            .schemaRegistryConfig(config)
            .schemaLoader(loader -> loader.resourceLoaders(loaders -> loaders.values(List::clear))));
        root = registry.getSchema(SchemaLocation.of("contract:/description"), bundle.root());
        for (Way way : Way.values()) {
            few.put(way, make(way, FEW_STEPS));
            most.put(way, make(way, MOST_STEPS));
        }
    }

    private ExecutionConfig config(Way way, long steps) {
        return steps == FEW_STEPS ? few.get(way) : steps == MOST_STEPS ? most.get(way) : make(way, steps);
    }

    private static ExecutionConfig make(Way way, long steps) {
        return ExecutionConfig.builder().locale(Locale.ROOT).formatAssertionsEnabled(true)
            .readOnly(way == Way.REQUEST).writeOnly(way == Way.RESPONSE).maxEvaluationSteps(steps)
            .maxEvaluationDepth(MAX_EVALUATION_DEPTH).build();
    }

    /** Compiles the schema at a pointer, with all that it refers to. */
    Compiled compile(String pointer) throws DescriptionException {
        Compiled known = compiled.get(pointer);
        if (known != null) {
            return known;
        }
        NodePath path = new NodePath(PathType.JSON_POINTER);
        JsonNode at = bundle.root();
        for (String step : Json.steps(pointer)) {
            path = at.isArray() ? path.append(Integer.parseInt(step)) : path.append(step);
            at = at.isArray() ? at.get(Integer.parseInt(step)) : at.get(step);
        }
        if (at == null || !at.isObject() && !at.isBoolean()) {
            throw new DescriptionException(bundle.problem(pointer, "a schema must be an object or true or false"));
        }
        try {
            Schema schema = root.getRefSchema(path);
            schema.initializeValidators();
            Compiled made = new Compiled(schema, pointer);
            made.judge(tools.jackson.databind.node.JsonNodeFactory.instance.nullNode(), Way.REQUEST, "", "",
                MOST_STEPS);
            compiled.put(pointer, made);
            return made;
        } catch (TooCostly e) {
            throw new DescriptionException(bundle.problem(pointer, "the schema refers to itself without an end"));
        } catch (RuntimeException e) {
            for (Throwable cause = e; cause != null; cause = cause.getCause()) {
                if (cause instanceof BadPattern bad) {
                    throw new DescriptionException(bundle.problem(bad.find(bundle, pointer), bad.getMessage()));
                }
            }
            throw new DescriptionException(bundle.problem(pointer, "the schema can't be used: "
                + String.valueOf(e.getMessage()).lines().findFirst().orElse("")));
        } catch (StackOverflowError e) {
            throw new DescriptionException(bundle.problem(pointer, "the schema is nested too deep"));
        }
    }

    Problem problem(String pointer, String reason) {
        return bundle.problem(pointer, reason);
    }

    /** A pattern that the linear engine can't take. */
    private static final class BadPattern extends RuntimeException {
        private static final long serialVersionUID = 1L;

        private final String pattern;

        BadPattern(String pattern, String why) {
            super("pattern can't be run in linear time, or is malformed: " + why, null, false, false);
            this.pattern = pattern;
        }

        /** Where it stands, looked for below a schema first. */
        String find(Bundle in, String from) {
            String found = find(in.at(from), from);
            if (found == null) {
                found = find(in.root(), "");
            }
            return found == null ? from : found;
        }

        private String find(JsonNode node, String at) {
            if (node == null) {
                return null;
            }
            if (node.isObject()) {
                JsonNode own = node.get("pattern");
                if (own != null && own.isString() && own.stringValue().equals(pattern)) {
                    return at + "/pattern";
                }
                for (Map.Entry<String, JsonNode> member : node.properties()) {
                    if (member.getKey().equals(pattern)) {
                        return at + '/' + Json.step(pattern);
                    }
                    String found = find(member.getValue(), at + '/' + Json.step(member.getKey()));
                    if (found != null) {
                        return found;
                    }
                }
            }
            for (int i = 0; node.isArray() && i < node.size(); i++) {
                String found = find(node.get(i), at + '/' + i);
                if (found != null) {
                    return found;
                }
            }
            return null;
        }
    }

    /** ECMA 262's unicode escapes in RE2's form; all else is alike, or refused. */
    private static RegularExpression pattern(String text) {
        if (text.length() > MAX_PATTERN) {
            throw new BadPattern(text, "longer than " + MAX_PATTERN + " characters");
        }
        try {
            Pattern pattern = Pattern.compile(text.replaceAll("\\\\u([0-9a-fA-F]{4})", "\\\\x{$1}")
                .replaceAll("\\\\u\\{([0-9a-fA-F]{1,6})}", "\\\\x{$1}"));
            return value -> pattern.matcher(value).find();
        } catch (PatternSyntaxException e) {
            throw new BadPattern(text, e.getDescription());
        }
    }

    /** An instance's location as a pointer, each name cut to what may be sent back. */
    private static String location(NodePath path) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < path.getNameCount(); i++) {
            text.append('/').append(Json.step(Fault.echo(String.valueOf(path.getElement(i)))));
        }
        return text.toString();
    }
}

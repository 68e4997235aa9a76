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
final class SchemaCompiler {
    /** Who sends the message: a request may not bring what is read-only, a response not what is write-only. */
    enum Direction { REQUEST, RESPONSE, EVENT }

    /** How many keywords one judgement may evaluate, at once and in all, and how deep they may nest. */
    static final long MAX_QUICK_STEPS = 4_000, MAX_STEPS = 400_000;
    private static final int MAX_EVALUATION_DEPTH = 400;
    /** Guards against a pattern whose automaton alone fills the heap. */
    private static final int MAX_PATTERN_LENGTH = 2_000;

    private static final Set<String> NON_RESTRICTING_KEYWORDS = Set.of("type", "title", "description", "example", "examples",
        "default", "deprecated", "nullable");

    /** One compiled schema. */
    final class CompiledSchema {
        private final Schema schema;
        private final String pointer;
        private final boolean acceptsAnyString;

        private CompiledSchema(Schema schema, String pointer) {
            this.schema = schema;
            this.pointer = pointer;
            JsonNode node = schema.getSchemaNode();
            acceptsAnyString = node.isObject() && node.has("type") && "string".equals(node.get("type").asString(""))
                && NON_RESTRICTING_KEYWORDS.containsAll(node.propertyNames());
        }

        /** Whether every string conforms: most parameters ask for no more, and the validator's set-up costs 1 us. */
        boolean acceptsAnyString() {
            return acceptsAnyString;
        }

        /** Where it stands in the bundle. */
        String pointer() {
            return pointer;
        }

        /** The faults of a value, at most {@link ValidationResult#MAX_FAULTS}; {@code steps} bounds the work. */
        List<Fault> validate(JsonNode value, Direction way, String in, String prefix, long steps) {
            ExecutionContext context = new ExecutionContext(executionConfig(way, steps));
            context.setErrors(new BoundedErrorList());
            try {
                schema.validate(context, value);
                if (context.isEvaluationAborted()) {
                    throw new StepLimitException();
                }
            } catch (ValidationLimitExceededException | StackOverflowError e) {
                throw new StepLimitException();
            }
            List<Fault> faults = new ArrayList<>();
            for (Error error : context.getErrors()) {
                faults.add(new Fault(in, prefix + toPointer(error.getInstanceLocation()), error.getKeyword(),
                    FaultMessages.describe(error)));
            }
            return faults;
        }

        boolean conforms(JsonNode value, Direction way, long steps) {
            return validate(value, way, "", "", steps).isEmpty();
        }
    }

    /** Keeps the first errors only: a long array of wrong items brings one for each. */
    private static final class BoundedErrorList extends ArrayList<Error> {
        private static final long serialVersionUID = 1L;

        @Override public boolean add(Error error) {
            return size() < ValidationResult.MAX_FAULTS && super.add(error);
        }
    }

    private final DocumentBundle bundle;
    private final Schema root;
    private final Map<String, CompiledSchema> compiledSchemas = new HashMap<>();
    private final Map<Direction, ExecutionConfig> quickConfigs = new HashMap<>();
    private final Map<Direction, ExecutionConfig> fullConfigs = new HashMap<>();

    /** {@code wholeFractions}: whether 1.0 is an integer, as it is since draft 6 of JSON Schema. */
    SchemaCompiler(DocumentBundle bundle, Dialect dialect, boolean wholeFractions) {
        this.bundle = bundle;
        SchemaRegistryConfig config = SchemaRegistryConfig.builder().formatAssertionsEnabled(true).preloadSchema(false)
            .cacheRefs(true).losslessNarrowing(wholeFractions).locale(Locale.ROOT).pathType(PathType.JSON_POINTER)
            .messageSource((key, fallback, locale, arguments) -> "")
            .regularExpressionFactory(SchemaCompiler::compilePattern).build();
        // What a schema does not know, such as the description's own parts and extensions, has no say in it.
        Dialect quiet = Dialect.builder(dialect)
            .unknownKeywordFactory((keyword, context) -> new NonValidationKeyword(keyword)).formats(OpenApiFormats.all())
            .build();
        SchemaRegistry registry = SchemaRegistry.withDefaultDialect(quiet, builder -> builder
            .schemaRegistryConfig(config)
            .schemaLoader(loader -> loader.resourceLoaders(loaders -> loaders.values(List::clear))));
        root = registry.getSchema(SchemaLocation.of("contract:/description"), bundle.root());
        for (Direction way : Direction.values()) {
            quickConfigs.put(way, newExecutionConfig(way, MAX_QUICK_STEPS));
            fullConfigs.put(way, newExecutionConfig(way, MAX_STEPS));
        }
    }

    private ExecutionConfig executionConfig(Direction way, long steps) {
        return steps == MAX_QUICK_STEPS ? quickConfigs.get(way) : steps == MAX_STEPS ? fullConfigs.get(way) : newExecutionConfig(way, steps);
    }

    private static ExecutionConfig newExecutionConfig(Direction way, long steps) {
        return ExecutionConfig.builder().locale(Locale.ROOT).formatAssertionsEnabled(true)
            .readOnly(way == Direction.REQUEST).writeOnly(way == Direction.RESPONSE).maxEvaluationSteps(steps)
            .maxEvaluationDepth(MAX_EVALUATION_DEPTH).build();
    }

    /** Compiles the schema at a pointer, with all that it refers to. */
    CompiledSchema compile(String pointer) throws DescriptionException {
        CompiledSchema known = compiledSchemas.get(pointer);
        if (known != null) {
            return known;
        }
        NodePath path = new NodePath(PathType.JSON_POINTER);
        JsonNode at = bundle.root();
        for (String step : Json.pointerTokens(pointer)) {
            path = at.isArray() ? path.append(Integer.parseInt(step)) : path.append(step);
            at = at.isArray() ? at.get(Integer.parseInt(step)) : at.get(step);
        }
        if (at == null || !at.isObject() && !at.isBoolean()) {
            throw new DescriptionException(bundle.problemAt(pointer, "a schema must be an object or true or false"));
        }
        try {
            Schema schema = root.getRefSchema(path);
            schema.initializeValidators();
            CompiledSchema made = new CompiledSchema(schema, pointer);
            made.validate(tools.jackson.databind.node.JsonNodeFactory.instance.nullNode(), Direction.REQUEST, "", "",
                MAX_STEPS);
            compiledSchemas.put(pointer, made);
            return made;
        } catch (StepLimitException e) {
            throw new DescriptionException(bundle.problemAt(pointer, "the schema refers to itself without an end"));
        } catch (RuntimeException e) {
            for (Throwable cause = e; cause != null; cause = cause.getCause()) {
                if (cause instanceof UnsupportedPatternException bad) {
                    throw new DescriptionException(bundle.problemAt(bad.locate(bundle, pointer), bad.getMessage()));
                }
            }
            throw new DescriptionException(bundle.problemAt(pointer, "the schema can't be used: "
                + String.valueOf(e.getMessage()).lines().findFirst().orElse("")));
        } catch (StackOverflowError e) {
            throw new DescriptionException(bundle.problemAt(pointer, "the schema is nested too deep"));
        }
    }

    Problem problemAt(String pointer, String reason) {
        return bundle.problemAt(pointer, reason);
    }

    /** A pattern that the linear engine can't take. */
    private static final class UnsupportedPatternException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        private final String pattern;

        UnsupportedPatternException(String pattern, String why) {
            super("pattern can't be run in linear time, or is malformed: " + why, null, false, false);
            this.pattern = pattern;
        }

        /** Where it stands, looked for below a schema first. */
        String locate(DocumentBundle in, String from) {
            String found = locate(in.valueAt(from), from);
            if (found == null) {
                found = locate(in.root(), "");
            }
            return found == null ? from : found;
        }

        private String locate(JsonNode node, String at) {
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
                        return at + '/' + Json.escapeToken(pattern);
                    }
                    String found = locate(member.getValue(), at + '/' + Json.escapeToken(member.getKey()));
                    if (found != null) {
                        return found;
                    }
                }
            }
            for (int i = 0; node.isArray() && i < node.size(); i++) {
                String found = locate(node.get(i), at + '/' + i);
                if (found != null) {
                    return found;
                }
            }
            return null;
        }
    }

    /** ECMA 262's unicode escapes in RE2's form; all else is alike, or refused. */
    private static RegularExpression compilePattern(String text) {
        if (text.length() > MAX_PATTERN_LENGTH) {
            throw new UnsupportedPatternException(text, "longer than " + MAX_PATTERN_LENGTH + " characters");
        }
        try {
            Pattern pattern = Pattern.compile(text.replaceAll("\\\\u([0-9a-fA-F]{4})", "\\\\x{$1}")
                .replaceAll("\\\\u\\{([0-9a-fA-F]{1,6})}", "\\\\x{$1}"));
            return value -> pattern.matcher(value).find();
        } catch (PatternSyntaxException e) {
            throw new UnsupportedPatternException(text, e.getDescription());
        }
    }

    /** An instance's location as a pointer, each name cut to what may be sent back. */
    private static String toPointer(NodePath path) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < path.getNameCount(); i++) {
            text.append('/').append(Json.escapeToken(Fault.truncateName(String.valueOf(path.getElement(i)))));
        }
        return text.toString();
    }
}

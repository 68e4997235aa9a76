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
import tools.jackson.databind.node.JsonNodeFactory;

/**
 * Compiles the schemas of one description with the networknt validator, in the description's own dialect. A validation
 * takes a bounded number of steps. Patterns run on RE2/J, whose time is linear in the text (Cox, "Regular Expression
 * Matching Can Be Simple And Fast", 2007).
 */
final class SchemaCompiler {
    /**
     * The direction of a message: a request may not contain read-only members, a response no write-only ones; an event, which
     * is a line of a response, may contain both.
     */
    enum Direction { REQUEST, RESPONSE, EVENT }

    /** The steps that one validation on the event loop, or of one message of a stream, may take: evaluated keywords. */
    static final long MAX_QUICK_STEPS = 4_000;
    /** The steps that any other validation may take: evaluated keywords. */
    static final long MAX_STEPS = 400_000;
    /** How deep evaluated keywords may nest. */
    private static final int MAX_EVALUATION_DEPTH = 400;
    /** The maximum length in characters; the automaton that RE2/J builds of a longer pattern could exhaust the heap. */
    private static final int MAX_PATTERN_LENGTH = 2_000;

    /** The keywords that, beside {@code type: string}, put no restriction on a string. */
    private static final Set<String> NON_RESTRICTING_KEYWORDS = Set.of("type", "title", "description", "example", "examples",
        "default", "deprecated", "nullable");

    /** A schema that is ready to validate values. */
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

        /**
         * Whether every string conforms. Most parameters have such a schema, and skipping the validator saves its set-up time
         * of 1 us.
         */
        boolean acceptsAnyString() {
            return acceptsAnyString;
        }

        /** Returns the JSON pointer of the schema in the document bundle. */
        String pointer() {
            return pointer;
        }

        /**
         * Returns the faults of a value, at most {@link ValidationResult#MAX_FAULTS}.
         *
         * @param in            the part of the message that holds the value, as in {@link Fault#in}
         * @param pointerPrefix the JSON pointer of the value in that part
         * @throws StepLimitException if the validation takes more than {@code maxSteps} steps, or nests too deep
         */
        List<Fault> validate(JsonNode value, Direction direction, String in, String pointerPrefix, long maxSteps) {
            ExecutionContext context = new ExecutionContext(executionConfig(direction, maxSteps));
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
                faults.add(new Fault(in, pointerPrefix + toPointer(error.getInstanceLocation()), error.getKeyword(),
                    FaultMessages.describe(error)));
            }
            return faults;
        }

        /**
         * Whether a value conforms.
         *
         * @throws StepLimitException if the validation takes more than {@code maxSteps} steps, or nests too deep
         */
        boolean conforms(JsonNode value, Direction direction, long maxSteps) {
            return validate(value, direction, "", "", maxSteps).isEmpty();
        }
    }

    /** Keeps only the first errors, as a long array can have one error for each item. */
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

    /** {@code losslessNarrowing} says whether 1.0 is an integer, as it is since draft 6 of JSON Schema. */
    SchemaCompiler(DocumentBundle bundle, Dialect dialect, boolean losslessNarrowing) {
        this.bundle = bundle;
        SchemaRegistryConfig config = SchemaRegistryConfig.builder().formatAssertionsEnabled(true).preloadSchema(false)
            .cacheRefs(true).losslessNarrowing(losslessNarrowing).locale(Locale.ROOT).pathType(PathType.JSON_POINTER)
            .messageSource((key, fallback, locale, arguments) -> "")
            .regularExpressionFactory(SchemaCompiler::compilePattern).build();
        // Unknown keywords, such as the description's other objects and extensions, are ignored.
        Dialect lenientDialect = Dialect.builder(dialect)
            .unknownKeywordFactory((keyword, context) -> new NonValidationKeyword(keyword)).formats(OpenApiFormats.all())
            .build();
        SchemaRegistry registry = SchemaRegistry.withDefaultDialect(lenientDialect, builder -> builder
            .schemaRegistryConfig(config)
            .schemaLoader(loader -> loader.resourceLoaders(loaders -> loaders.values(List::clear))));
        root = registry.getSchema(SchemaLocation.of("contract:/description"), bundle.root());
        for (Direction direction : Direction.values()) {
            quickConfigs.put(direction, newExecutionConfig(direction, MAX_QUICK_STEPS));
            fullConfigs.put(direction, newExecutionConfig(direction, MAX_STEPS));
        }
    }

    private ExecutionConfig executionConfig(Direction direction, long maxSteps) {
        return maxSteps == MAX_QUICK_STEPS ? quickConfigs.get(direction)
            : maxSteps == MAX_STEPS ? fullConfigs.get(direction) : newExecutionConfig(direction, maxSteps);
    }

    private static ExecutionConfig newExecutionConfig(Direction direction, long maxSteps) {
        return ExecutionConfig.builder().locale(Locale.ROOT).formatAssertionsEnabled(true)
            .readOnly(direction == Direction.REQUEST).writeOnly(direction == Direction.RESPONSE).maxEvaluationSteps(maxSteps)
            .maxEvaluationDepth(MAX_EVALUATION_DEPTH).build();
    }

    /**
     * Compiles the schema at a pointer, with all schemas that it refers to. Validates a null value once, which reveals a
     * schema that refers to itself without an end.
     *
     * @throws DescriptionException if the schema can't be used
     */
    CompiledSchema compile(String pointer) throws DescriptionException {
        CompiledSchema cached = compiledSchemas.get(pointer);
        if (cached != null) {
            return cached;
        }
        NodePath path = new NodePath(PathType.JSON_POINTER);
        JsonNode node = bundle.root();
        for (String token : Json.pointerTokens(pointer)) {
            path = node.isArray() ? path.append(Integer.parseInt(token)) : path.append(token);
            node = node.isArray() ? node.get(Integer.parseInt(token)) : node.get(token);
        }
        if (node == null || !node.isObject() && !node.isBoolean()) {
            throw new DescriptionException(bundle.problemAt(pointer, "a schema must be an object or true or false"));
        }
        try {
            Schema schema = root.getRefSchema(path);
            schema.initializeValidators();
            CompiledSchema compiled = new CompiledSchema(schema, pointer);
            compiled.validate(JsonNodeFactory.instance.nullNode(), Direction.REQUEST, "", "", MAX_STEPS);
            compiledSchemas.put(pointer, compiled);
            return compiled;
        } catch (StepLimitException e) {
            throw new DescriptionException(bundle.problemAt(pointer, "the schema refers to itself without an end"));
        } catch (RuntimeException e) {
            for (Throwable cause = e; cause != null; cause = cause.getCause()) {
                if (cause instanceof UnsupportedPatternException unsupported) {
                    throw new DescriptionException(bundle.problemAt(unsupported.locate(bundle, pointer),
                        unsupported.getMessage()));
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

    /** A pattern that RE2/J can't compile, or that is too long. */
    private static final class UnsupportedPatternException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        private final String pattern;

        UnsupportedPatternException(String pattern, String reason) {
            super("pattern can't be run in linear time, or is malformed: " + reason, null, false, false);
            this.pattern = pattern;
        }

        /** Returns the pointer of the pattern, searched first below {@code start}, then in the whole bundle. */
        String locate(DocumentBundle bundle, String start) {
            String found = locate(bundle.valueAt(start), start);
            if (found == null) {
                found = locate(bundle.root(), "");
            }
            return found == null ? start : found;
        }

        private String locate(JsonNode node, String pointer) {
            if (node == null) {
                return null;
            }
            if (node.isObject()) {
                JsonNode patternNode = node.get("pattern");
                if (patternNode != null && patternNode.isString() && patternNode.stringValue().equals(pattern)) {
                    return pointer + "/pattern";
                }
                for (Map.Entry<String, JsonNode> member : node.properties()) {
                    // The keys of patternProperties are patterns, too.
                    if (member.getKey().equals(pattern)) {
                        return pointer + '/' + Json.escapeToken(pattern);
                    }
                    String found = locate(member.getValue(), pointer + '/' + Json.escapeToken(member.getKey()));
                    if (found != null) {
                        return found;
                    }
                }
            }
            for (int i = 0; node.isArray() && i < node.size(); i++) {
                String found = locate(node.get(i), pointer + '/' + i);
                if (found != null) {
                    return found;
                }
            }
            return null;
        }
    }

    /**
     * Compiles an ECMA 262 pattern with RE2/J. Only the Unicode escapes have to be rewritten: RE2/J reads all other syntax
     * the same way or refuses it.
     */
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

    /** Returns a location in a message as a JSON pointer, with each name truncated to the length that may be sent back. */
    private static String toPointer(NodePath path) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < path.getNameCount(); i++) {
            text.append('/').append(Json.escapeToken(Fault.truncateName(String.valueOf(path.getElement(i)))));
        }
        return text.toString();
    }
}

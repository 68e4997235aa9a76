package badgermux.contract;

import badgermux.contract.Parameter.QueryPair;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** One operation of a description, compiled: a method on a path, what it takes and what it answers. */
final class Operation {
    /** What becomes of a result that the description does not allow. */
    enum ResultPolicy { OFF, COUNT, FAIL }

    final String descriptionName;
    final String name;
    final String pointer;
    List<String> pathParameterNames = List.of();
    final List<Parameter> parameters = new ArrayList<>();
    /** By media type; null where no body is described, and then any or none may come. */
    Map<MediaType, BodySchema> bodySchemas;
    boolean bodyRequired;
    /** What a served result must keep to; null for nothing described. */
    BodySchema responseSchema;
    MediaType responseMediaType;
    ResultPolicy resultPolicy = ResultPolicy.OFF;

    Operation(String description, String name, String pointer) {
        this.descriptionName = description;
        this.name = name;
        this.pointer = pointer;
    }

    /** Judges a request whose path has these values; {@code posted} are the lines that may be posted, null for none. */
    ValidationResult validate(HttpRequest request, String query, List<String> values, MessageStream posted, long steps) {
        List<Fault> faults = new ArrayList<>();
        try {
            parameters(request, query, values, faults, steps);
            ValidationResult body = validateBody(request, posted, faults, steps);
            if (body != null) {
                return body;
            }
        } catch (SyntaxException e) {
            return ValidationResult.refused(400, descriptionName, Fault.inBody("", "syntax", e.getMessage()
                + (e.line() > 0 ? " (line " + e.line() + ')' : "")));
        }
        return faults.isEmpty() ? ValidationResult.CONFORMS : new ValidationResult(422, faults, "", descriptionName);
    }

    private void parameters(HttpRequest request, String query, List<String> values, List<Fault> faults, long steps)
            throws SyntaxException {
        List<QueryPair> pairs = null;
        for (Parameter parameter : parameters) {
            if (faults.size() >= ValidationResult.MAX_FAULTS) {
                return;
            }
            switch (parameter.in()) {
                case "path" -> {
                    int index = pathParameterNames.indexOf(parameter.name());
                    if (index >= 0) {
                        parameter.validatePathValue(values.get(index), faults, steps);
                    }
                }
                case "query" -> {
                    pairs = pairs == null ? QueryPair.parse(query) : pairs;
                    parameter.validateQuery(pairs, faults, steps);
                }
                case "header" -> parameter.validateValues(request.headers().values(parameter.name()), faults, steps);
                default -> parameter.validateValues(Parameter.cookieValues(request.headers().values("Cookie"), parameter.name()), faults,
                    steps);
            }
        }
        if (pairs == null && !query.isEmpty()) {
            QueryPair.parse(query);
        }
    }

    /** The verdict where nothing else counts any more; null where the faults found so far decide. */
    private ValidationResult validateBody(HttpRequest request, MessageStream posted, List<Fault> faults, long steps) throws SyntaxException {
        if (bodySchemas == null && posted == null) {
            return null;
        }
        if (request.body().length == 0) {
            if (bodyRequired) {
                faults.add(Fault.inBody("", "required", "a body must be sent"));
            }
            return null;
        }
        List<String> types = request.headers().values("Content-Type");
        MediaType type = types.isEmpty() ? MediaType.OCTET_STREAM : types.size() > 1 ? null : MediaType.parse(types.get(0));
        if (posted != null && type != null && (type.isJsonLines() || bodySchemas == null)) {
            faults.addAll(posted.validateBody(request.body(), request.headers(), steps));
            return null;
        }
        BodySchema rule = type == null || bodySchemas == null ? null : MediaType.bestMatch(bodySchemas, type);
        if (rule == null) {
            String takes = (bodySchemas == null ? "" : bodySchemas.keySet().stream().map(MediaType::toString)
                .collect(Collectors.joining(", "))) + (posted == null ? "" : bodySchemas == null
                ? "application/x-ndjson" : ", application/x-ndjson");
            return new ValidationResult(415, List.of(Fault.inBody("", "content", "the body's media type must be one of " + takes)),
                takes, descriptionName);
        }
        faults.addAll(rule.validate(type, request.body(), SchemaCompiler.Direction.REQUEST, steps));
        return null;
    }

    /** The faults of a served result; none where nothing is described. */
    List<Fault> validateResult(byte[] body, long steps) {
        if (responseSchema == null) {
            return List.of();
        }
        try {
            return responseSchema.validate(responseMediaType, body, SchemaCompiler.Direction.RESPONSE, steps);
        } catch (SyntaxException e) {
            return List.of(Fault.inBody("", "syntax", e.getMessage()));
        }
    }
}

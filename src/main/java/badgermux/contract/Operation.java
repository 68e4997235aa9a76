package badgermux.contract;

import badgermux.contract.Parameter.QueryPair;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** A compiled operation of a description: the parameters, request bodies and results of one HTTP method on one path. */
final class Operation {
    /** How results are validated: not at all, with violations counted, or with violations failing the request. */
    enum ResultPolicy { OFF, COUNT, FAIL }

    final String descriptionName;
    final String name;
    /** The JSON pointer of the operation in the document bundle. */
    final String pointer;
    /** The names of the path parameters, in the order of the path template. */
    List<String> pathParameterNames = List.of();
    final List<Parameter> parameters = new ArrayList<>();
    /** The schemas of the request body by media type; null if no body is described, and any or no body is allowed. */
    Map<MediaType, BodySchema> bodySchemas;
    boolean bodyRequired;
    /** The schema of a result; null if none is described. */
    BodySchema responseSchema;
    MediaType responseMediaType;
    ResultPolicy resultPolicy = ResultPolicy.OFF;

    Operation(String descriptionName, String name, String pointer) {
        this.descriptionName = descriptionName;
        this.name = name;
        this.pointer = pointer;
    }

    /**
     * Validates a request.
     *
     * @param query         the query of the target, without the question mark
     * @param pathValues    the decoded values of the path parameters, in the order of the path template
     * @param requestStream the stream of messages that clients may send to this path; null for none
     * @throws StepLimitException if the validation of one value exceeds {@code maxSteps}
     */
    ValidationResult validate(HttpRequest request, String query, List<String> pathValues, MessageStream requestStream,
            long maxSteps) {
        List<Fault> faults = new ArrayList<>();
        try {
            validateParameters(request, query, pathValues, faults, maxSteps);
            ValidationResult bodyResult = validateBody(request, requestStream, faults, maxSteps);
            if (bodyResult != null) {
                return bodyResult;
            }
        } catch (SyntaxException e) {
            return ValidationResult.refused(400, descriptionName, Fault.inBody("", "syntax", e.getMessage()
                + (e.line() > 0 ? " (line " + e.line() + ')' : "")));
        }
        return faults.isEmpty() ? ValidationResult.CONFORMS : new ValidationResult(422, faults, "", descriptionName);
    }

    /** Validates all parameters. The query is parsed in any case, so that a malformed one is refused. */
    private void validateParameters(HttpRequest request, String query, List<String> pathValues, List<Fault> faults,
            long maxSteps) throws SyntaxException {
        List<QueryPair> pairs = null;
        for (Parameter parameter : parameters) {
            if (faults.size() >= ValidationResult.MAX_FAULTS) {
                return;
            }
            switch (parameter.in()) {
                case "path" -> {
                    int index = pathParameterNames.indexOf(parameter.name());
                    if (index >= 0) {
                        parameter.validatePathValue(pathValues.get(index), faults, maxSteps);
                    }
                }
                case "query" -> {
                    pairs = pairs == null ? QueryPair.parse(query) : pairs;
                    parameter.validateQuery(pairs, faults, maxSteps);
                }
                case "header" -> parameter.validateValues(request.headers().values(parameter.name()), faults, maxSteps);
                default -> parameter.validateValues(
                    Parameter.cookieValues(request.headers().values("Cookie"), parameter.name()), faults, maxSteps);
            }
        }
        if (pairs == null && !query.isEmpty()) {
            QueryPair.parse(query);
        }
    }

    /**
     * Validates the body and adds its faults to {@code faults}. Returns null, or a final result if the body's media type is
     * not supported; this result replaces all faults.
     */
    private ValidationResult validateBody(HttpRequest request, MessageStream requestStream, List<Fault> faults, long maxSteps)
            throws SyntaxException {
        if (bodySchemas == null && requestStream == null) {
            return null;
        }
        if (request.body().length == 0) {
            if (bodyRequired) {
                faults.add(Fault.inBody("", "required", "a body must be sent"));
            }
            return null;
        }
        List<String> types = request.headers().values("Content-Type");
        MediaType mediaType = types.isEmpty() ? MediaType.OCTET_STREAM : types.size() > 1 ? null : MediaType.parse(types.get(0));
        if (requestStream != null && mediaType != null && (mediaType.isJsonLines() || bodySchemas == null)) {
            faults.addAll(requestStream.validateBody(request.body(), request.headers(), maxSteps));
            return null;
        }
        BodySchema schema = mediaType == null || bodySchemas == null ? null : MediaType.bestMatch(bodySchemas, mediaType);
        if (schema == null) {
            String supportedTypes = (bodySchemas == null ? "" : bodySchemas.keySet().stream().map(MediaType::toString)
                .collect(Collectors.joining(", "))) + (requestStream == null ? "" : bodySchemas == null
                ? "application/x-ndjson" : ", application/x-ndjson");
            return new ValidationResult(415,
                List.of(Fault.inBody("", "content", "the body's media type must be one of " + supportedTypes)),
                supportedTypes, descriptionName);
        }
        faults.addAll(schema.validate(mediaType, request.body(), SchemaCompiler.Direction.REQUEST, maxSteps));
        return null;
    }

    /**
     * Returns the faults of a result; none if no result is described.
     *
     * @throws StepLimitException if the validation exceeds {@code maxSteps}
     */
    List<Fault> validateResult(byte[] body, long maxSteps) {
        if (responseSchema == null) {
            return List.of();
        }
        try {
            return responseSchema.validate(responseMediaType, body, SchemaCompiler.Direction.RESPONSE, maxSteps);
        } catch (SyntaxException e) {
            return List.of(Fault.inBody("", "syntax", e.getMessage()));
        }
    }
}

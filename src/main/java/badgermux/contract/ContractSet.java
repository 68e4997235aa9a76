package badgermux.contract;

import badgermux.contract.DescriptionException.Problem;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** All descriptions that are in force together, as one table of routes. Immutable: each revision is a new instance. */
public final class ContractSet {
    /** The maximum number of problems in one exception. */
    private static final int MAX_PROBLEMS = 50;

    /** The operations of one path, by HTTP method. */
    private static final class PathOperations {
        private final Map<String, Operation> operations = new TreeMap<>();
    }

    /** Validates the response to an accepted request. */
    public static final class ResponseValidator {
        private final ContractSet contracts;
        private final Operation operation;
        private final MessageStream responseStream;

        private ResponseValidator(ContractSet contracts, Operation operation, MessageStream responseStream) {
            this.contracts = contracts;
            this.operation = operation;
            this.responseStream = responseStream;
        }

        /** Returns the revision that validated the request. */
        public long revision() {
            return contracts.revision;
        }

        /**
         * Returns the validator for the lines of one attempt's response; null if the description has no stream for it.
         *
         * @param headers the headers of the response
         */
        public LineValidator lineValidator(HttpRequest.Headers headers) {
            return responseStream == null ? null
                : new LineValidator(responseStream.newValidator(headers, SchemaCompiler.Direction.EVENT));
        }

        /** Whether results are validated at all. */
        public boolean validatesResults() {
            return operation != null && operation.responseSchema != null;
        }

        /** Whether a result that does not conform fails the request; otherwise it is only counted. */
        public boolean rejectsInvalidResults() {
            return operation != null && operation.resultPolicy == Operation.ResultPolicy.FAIL;
        }

        /**
         * Returns the first fault of a result; null if it conforms.
         *
         * @throws StepLimitException if the validation exceeds the step limit
         */
        public Fault validateResult(byte[] body) {
            List<Fault> faults = operation.validateResult(body, SchemaCompiler.MAX_STEPS);
            return faults.isEmpty() ? null : faults.get(0);
        }
    }

    /** Validates the lines of one response in their order. */
    public static final class LineValidator {
        private final MessageStream.Validator streamValidator;

        private LineValidator(MessageStream.Validator streamValidator) {
            this.streamValidator = streamValidator;
        }

        /** Returns the first fault of the next line; null if the line is allowed here. */
        public Fault validate(byte[] line) {
            try {
                List<Fault> faults = streamValidator.validateLine(line, SchemaCompiler.MAX_QUICK_STEPS);
                return faults.isEmpty() ? null : faults.get(0);
            } catch (SyntaxException e) {
                return Fault.inBody("", "syntax", e.getMessage());
            } catch (StepLimitException e) {
                return Fault.inBody("", "limit", e.getMessage());
            }
        }
    }

    /**
     * The result of validating a request.
     *
     * @param responseValidator validates the response; null if the request is refused or no description has its path
     */
    public record RequestValidation(ValidationResult result, ResponseValidator responseValidator) { }

    private final long revision;
    private final List<ApiDescription> descriptions;
    private final boolean passesUndescribed;
    private final RouteTable<PathOperations> paths = new RouteTable<>();
    private final RouteTable<ApiDescription.Channel> channels = new RouteTable<>();

    private ContractSet(long revision, List<ApiDescription> descriptions, boolean passesUndescribed) {
        this.revision = revision;
        this.descriptions = List.copyOf(descriptions);
        this.passesUndescribed = passesUndescribed;
    }

    /**
     * Combines descriptions.
     *
     * @param revision          the number of this set, as reported to clients and operators
     * @param passesUndescribed whether a request to a path without a description is passed on without validation
     * @throws DescriptionException if an operation or a channel is described twice
     */
    public static ContractSet of(long revision, List<ApiDescription> descriptions, boolean passesUndescribed)
            throws DescriptionException {
        ContractSet contracts = new ContractSet(revision, descriptions, passesUndescribed);
        List<Problem> problems = new ArrayList<>();
        for (ApiDescription description : descriptions) {
            for (ApiDescription.Route route : description.routes) {
                contracts.addRoute(description, route, problems);
            }
            for (ApiDescription.Channel channel : description.channels) {
                ApiDescription.Channel duplicate = contracts.channels.put(channel.template(), channel);
                if (duplicate != null) {
                    problems.add(description.bundle().problemAt("/channels", "the channel " + channel.template()
                        + " is described twice"));
                }
            }
        }
        if (!problems.isEmpty()) {
            throw new DescriptionException(problems.subList(0, Math.min(MAX_PROBLEMS, problems.size())));
        }
        return contracts;
    }

    private void addRoute(ApiDescription description, ApiDescription.Route route, List<Problem> problems) {
        // If the table has an equal template already, put returns its operations and ignores the new ones.
        PathOperations newOperations = new PathOperations();
        PathOperations existing = paths.put(route.template(), newOperations);
        PathOperations operations = existing == null ? newOperations : existing;
        Operation duplicate = operations.operations.putIfAbsent(route.method(), route.operation());
        if (duplicate != null && duplicate != route.operation()) {
            problems.add(description.bundle().problemAt(route.operation().pointer, route.method() + ' '
                + route.template() + " is described twice" + (duplicate.descriptionName.equals(description.name()) ? ""
                : ", also by " + duplicate.descriptionName)));
        }
    }

    public long revision() {
        return revision;
    }

    public List<ApiDescription> descriptions() {
        return descriptions;
    }

    /** Returns the number of paths and channels. */
    public int size() {
        return paths.size() + channels.size();
    }

    /**
     * Validates a request within a small step limit, for use on the event loop.
     *
     * @throws StepLimitException if the validation exceeds this limit
     */
    public RequestValidation validateQuickly(HttpRequest request) {
        return validate(request, SchemaCompiler.MAX_QUICK_STEPS);
    }

    /** Validates a request; a request that exceeds the step limit is refused with status 422. */
    public RequestValidation validate(HttpRequest request) {
        try {
            return validate(request, SchemaCompiler.MAX_STEPS);
        } catch (StepLimitException e) {
            return new RequestValidation(ValidationResult.refused(422, "", Fault.inBody("", "limit",
                "the body takes more steps to judge than are allowed")), null);
        }
    }

    private RequestValidation validate(HttpRequest request, long maxSteps) {
        if (descriptions.isEmpty()) {
            return new RequestValidation(ValidationResult.CONFORMS, null);
        }
        int queryStart = request.target().indexOf('?');
        String path = queryStart < 0 ? request.target() : request.target().substring(0, queryStart);
        String query = queryStart < 0 ? "" : request.target().substring(queryStart + 1);
        RouteTable.Match<PathOperations> pathMatch;
        RouteTable.Match<ApiDescription.Channel> channelMatch;
        try {
            pathMatch = paths.find(path);
            channelMatch = request.method().equals("POST") ? channels.find(path) : null;
        } catch (SyntaxException e) {
            return new RequestValidation(
                ValidationResult.refused(400, "", new Fault("path", "", "syntax", e.getMessage())), null);
        }
        MessageStream requestStream = channelMatch == null ? null : channelMatch.route().requestStream();
        MessageStream responseStream = channelMatch == null ? null : channelMatch.route().responseStream();
        if (pathMatch == null && channelMatch == null) {
            return passesUndescribed ? new RequestValidation(ValidationResult.CONFORMS, null)
                : new RequestValidation(ValidationResult.refused(404, "",
                    new Fault("path", "", "path", "no description has this path")), null);
        }
        Operation operation = pathMatch == null ? null : pathMatch.route().operations.get(request.method());
        if (pathMatch != null && operation == null && channelMatch == null) {
            String allowedMethods = String.join(", ", pathMatch.route().operations.keySet());
            return new RequestValidation(new ValidationResult(405,
                List.of(new Fault("path", "", "method", "must be one of " + allowedMethods)), allowedMethods,
                pathMatch.route().operations.values().iterator().next().descriptionName), null);
        }
        // A request that matches a channel but no operation is validated by an operation without parameters or body schema.
        Operation validatingOperation = operation != null ? operation
            : new Operation(channelMatch.route().requestStream() == null ? responseStream.descriptionName()
                : requestStream.descriptionName(), "", "");
        ValidationResult result = validatingOperation.validate(request, query,
            pathMatch == null ? List.of() : pathMatch.parameterValues(), requestStream, maxSteps);
        return new RequestValidation(result,
            result.conforms() ? new ResponseValidator(this, operation, responseStream) : null);
    }
}

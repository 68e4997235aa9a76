package badgermux.contract;

import badgermux.contract.DescriptionException.Problem;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** All descriptions that are in force together, as one table of routes. It never changes: a new revision is a new one. */
public final class ContractSet {
    /** What is held of a path: an operation for each method, and the streams. */
    private static final class PathOperations {
        private final Map<String, Operation> operations = new TreeMap<>();
    }

    /** What a judged request is held to until its final answer. */
    public static final class ResponseValidator {
        private final ContractSet contracts;
        private final Operation operation;
        private final MessageStream responseStream;

        private ResponseValidator(ContractSet contracts, Operation operation, MessageStream answered) {
            this.contracts = contracts;
            this.operation = operation;
            this.responseStream = answered;
        }

        /** The revision that judged it. */
        public long revision() {
            return contracts.revision;
        }

        /** The lines of one fetch's answer, which came with these headers; null where none are described. */
        public LineValidator lineValidator(HttpRequest.Headers headers) {
            return responseStream == null ? null : new LineValidator(responseStream.newValidator(headers, SchemaCompiler.Direction.EVENT));
        }

        /** Whether results are judged at all. */
        public boolean validatesResults() {
            return operation != null && operation.responseSchema != null;
        }

        /** Whether a result that does not conform fails the req; else it is only counted. */
        public boolean rejectsInvalidResults() {
            return operation != null && operation.resultPolicy == Operation.ResultPolicy.FAIL;
        }

        /** The first fault of a served result; null for none. */
        public Fault validateResult(byte[] body) {
            List<Fault> faults = operation.validateResult(body, SchemaCompiler.MAX_STEPS);
            return faults.isEmpty() ? null : faults.get(0);
        }
    }

    /** The judge of one answer's lines. */
    public static final class LineValidator {
        private final MessageStream.Validator streamValidator;

        private LineValidator(MessageStream.Validator stream) {
            this.streamValidator = stream;
        }

        /** The first fault of the next line; null where it may come now. */
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

    /** A verdict, and what holds from then on where it is that the request conforms. */
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
     * Joins descriptions.
     *
     * @param revision          the number that this set is told by
     * @param passesUndescribed whether a request on a path of no description is passed on unjudged
     * @throws DescriptionException where two describe the same
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
                ApiDescription.Channel other = contracts.channels.put(channel.template(), channel);
                if (other != null) {
                    problems.add(description.bundle().problemAt("/channels", "the channel " + channel.template()
                        + " is described twice"));
                }
            }
        }
        if (!problems.isEmpty()) {
            throw new DescriptionException(problems.subList(0, Math.min(50, problems.size())));
        }
        return contracts;
    }

    private void addRoute(ApiDescription description, ApiDescription.Route route, List<Problem> problems) {
        PathOperations made = new PathOperations();
        PathOperations known = paths.put(route.template(), made);
        PathOperations path = known == null ? made : known;
        Operation other = path.operations.putIfAbsent(route.method(), route.operation());
        if (other != null && other != route.operation()) {
            problems.add(description.bundle().problemAt(route.operation().pointer, route.method() + ' '
                + route.template() + " is described twice" + (other.descriptionName.equals(description.name()) ? ""
                : ", also by " + other.descriptionName)));
        }
    }

    public long revision() {
        return revision;
    }

    public List<ApiDescription> descriptions() {
        return descriptions;
    }

    /** How many paths and channels there are. */
    public int size() {
        return paths.size() + channels.size();
    }

    /**
     * Judges a request with few steps, for a thread that may not be held up.
     *
     * @throws StepLimitException where those do not suffice
     */
    public RequestValidation validateQuickly(HttpRequest request) {
        return validate(request, SchemaCompiler.MAX_QUICK_STEPS);
    }

    /** Judges a request; one that takes too many steps is refused for that. */
    public RequestValidation validate(HttpRequest request) {
        try {
            return validate(request, SchemaCompiler.MAX_STEPS);
        } catch (StepLimitException e) {
            return new RequestValidation(ValidationResult.refused(422, "", Fault.inBody("", "limit",
                "the body takes more steps to judge than are allowed")), null);
        }
    }

    private RequestValidation validate(HttpRequest request, long steps) {
        if (descriptions.isEmpty()) {
            return new RequestValidation(ValidationResult.CONFORMS, null);
        }
        int question = request.target().indexOf('?');
        String path = question < 0 ? request.target() : request.target().substring(0, question);
        String query = question < 0 ? "" : request.target().substring(question + 1);
        RouteTable.Match<PathOperations> match;
        RouteTable.Match<ApiDescription.Channel> channel;
        try {
            match = paths.find(path);
            channel = request.method().equals("POST") ? channels.find(path) : null;
        } catch (SyntaxException e) {
            return new RequestValidation(ValidationResult.refused(400, "", new Fault("path", "", "syntax", e.getMessage())), null);
        }
        MessageStream posted = channel == null ? null : channel.route().requestStream();
        MessageStream answered = channel == null ? null : channel.route().responseStream();
        if (match == null && channel == null) {
            return passesUndescribed ? new RequestValidation(ValidationResult.CONFORMS, null) : new RequestValidation(ValidationResult.refused(404, "",
                new Fault("path", "", "path", "no description has this path")), null);
        }
        Operation operation = match == null ? null : match.route().operations.get(request.method());
        if (match != null && operation == null && channel == null) {
            String allow = String.join(", ", match.route().operations.keySet());
            return new RequestValidation(new ValidationResult(405, List.of(new Fault("path", "", "method", "must be one of " + allow)), allow,
                match.route().operations.values().iterator().next().descriptionName), null);
        }
        Operation judge = operation != null ? operation
            : new Operation(channel.route().requestStream() == null ? answered.description() : posted.description(), "", "");
        ValidationResult verdict = judge.validate(request, query, match == null ? List.of() : match.parameterValues(), posted, steps);
        return new RequestValidation(verdict, verdict.conforms() ? new ResponseValidator(this, operation, answered) : null);
    }
}

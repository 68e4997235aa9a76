package badgermux.contract;

import badgermux.contract.DescriptionException.Problem;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** All descriptions that are in force together, as one table of routes. It never changes: a new revision is a new one. */
public final class Contracts {
    /** What is held of a path: an operation for each method, and the streams. */
    private static final class Path {
        private final Map<String, Operation> methods = new TreeMap<>();
    }

    /** What a judged request is held to until its final answer. */
    public static final class Terms {
        private final Contracts contracts;
        private final Operation operation;
        private final Flow answered;

        private Terms(Contracts contracts, Operation operation, Flow answered) {
            this.contracts = contracts;
            this.operation = operation;
            this.answered = answered;
        }

        /** The revision that judged it. */
        public long revision() {
            return contracts.revision;
        }

        /** The lines of one fetch's answer, which came with these headers; null where none are described. */
        public Lines lines(Request.Headers headers) {
            return answered == null ? null : new Lines(answered.open(headers, Schemas.Way.EVENT));
        }

        /** Whether results are judged at all. */
        public boolean judgesResults() {
            return operation != null && operation.result != null;
        }

        /** Whether a result that does not conform fails the req; else it is only counted. */
        public boolean failsResults() {
            return operation != null && operation.results == Operation.Results.FAIL;
        }

        /** The first fault of a served result; null for none. */
        public Fault result(byte[] body) {
            List<Fault> faults = operation.judgeResult(body, Schemas.MOST_STEPS);
            return faults.isEmpty() ? null : faults.get(0);
        }
    }

    /** The judge of one answer's lines. */
    public static final class Lines {
        private final Flow.Stream stream;

        private Lines(Flow.Stream stream) {
            this.stream = stream;
        }

        /** The first fault of the next line; null where it may come now. */
        public Fault next(byte[] line) {
            try {
                List<Fault> faults = stream.line(line, Schemas.FEW_STEPS);
                return faults.isEmpty() ? null : faults.get(0);
            } catch (Unreadable e) {
                return Fault.body("", "syntax", e.getMessage());
            } catch (TooCostly e) {
                return Fault.body("", "limit", e.getMessage());
            }
        }
    }

    /** A verdict, and what holds from then on where it is that the request conforms. */
    public record Judged(Verdict verdict, Terms terms) { }

    private final long revision;
    private final List<Description> descriptions;
    private final boolean passesUndescribed;
    private final RouteTable<Path> paths = new RouteTable<>();
    private final RouteTable<Description.Channel> channels = new RouteTable<>();

    private Contracts(long revision, List<Description> descriptions, boolean passesUndescribed) {
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
    public static Contracts of(long revision, List<Description> descriptions, boolean passesUndescribed)
            throws DescriptionException {
        Contracts contracts = new Contracts(revision, descriptions, passesUndescribed);
        List<Problem> problems = new ArrayList<>();
        for (Description description : descriptions) {
            for (Description.Route route : description.routes) {
                contracts.add(description, route, problems);
            }
            for (Description.Channel channel : description.channels) {
                Description.Channel other = contracts.channels.put(channel.template(), channel);
                if (other != null) {
                    problems.add(description.bundle().problem("/channels", "the channel " + channel.template()
                        + " is described twice"));
                }
            }
        }
        if (!problems.isEmpty()) {
            throw new DescriptionException(problems.subList(0, Math.min(50, problems.size())));
        }
        return contracts;
    }

    private void add(Description description, Description.Route route, List<Problem> problems) {
        Path made = new Path();
        Path known = paths.put(route.template(), made);
        Path path = known == null ? made : known;
        Operation other = path.methods.putIfAbsent(route.method(), route.operation());
        if (other != null && other != route.operation()) {
            problems.add(description.bundle().problem(route.operation().pointer, route.method() + ' '
                + route.template() + " is described twice" + (other.description.equals(description.name()) ? ""
                : ", also by " + other.description)));
        }
    }

    public long revision() {
        return revision;
    }

    public List<Description> descriptions() {
        return descriptions;
    }

    /** How many paths and channels there are. */
    public int size() {
        return paths.size() + channels.size();
    }

    /**
     * Judges a request with few steps, for a thread that may not be held up.
     *
     * @throws TooCostly where those do not suffice
     */
    public Judged judgeQuickly(Request request) {
        return judge(request, Schemas.FEW_STEPS);
    }

    /** Judges a request; one that takes too many steps is refused for that. */
    public Judged judge(Request request) {
        try {
            return judge(request, Schemas.MOST_STEPS);
        } catch (TooCostly e) {
            return new Judged(Verdict.refused(422, "", Fault.body("", "limit",
                "the body takes more steps to judge than are allowed")), null);
        }
    }

    private Judged judge(Request request, long steps) {
        if (descriptions.isEmpty()) {
            return new Judged(Verdict.CONFORMS, null);
        }
        int question = request.target().indexOf('?');
        String path = question < 0 ? request.target() : request.target().substring(0, question);
        String query = question < 0 ? "" : request.target().substring(question + 1);
        RouteTable.Match<Path> match;
        RouteTable.Match<Description.Channel> channel;
        try {
            match = paths.find(path);
            channel = request.method().equals("POST") ? channels.find(path) : null;
        } catch (Unreadable e) {
            return new Judged(Verdict.refused(400, "", new Fault("path", "", "syntax", e.getMessage())), null);
        }
        Flow posted = channel == null ? null : channel.route().posted();
        Flow answered = channel == null ? null : channel.route().answered();
        if (match == null && channel == null) {
            return passesUndescribed ? new Judged(Verdict.CONFORMS, null) : new Judged(Verdict.refused(404, "",
                new Fault("path", "", "path", "no description has this path")), null);
        }
        Operation operation = match == null ? null : match.route().methods.get(request.method());
        if (match != null && operation == null && channel == null) {
            String allow = String.join(", ", match.route().methods.keySet());
            return new Judged(new Verdict(405, List.of(new Fault("path", "", "method", "must be one of " + allow)), allow,
                match.route().methods.values().iterator().next().description), null);
        }
        Operation judge = operation != null ? operation
            : new Operation(channel.route().posted() == null ? answered.description() : posted.description(), "", "");
        Verdict verdict = judge.judge(request, query, match == null ? List.of() : match.values(), posted, steps);
        return new Judged(verdict, verdict.conforms() ? new Terms(this, operation, answered) : null);
    }
}

package badgermux.contract;

import badgermux.contract.Parameter.Pair;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** One operation of a description, compiled: a method on a path, what it takes and what it answers. */
final class Operation {
    /** What becomes of a result that the description does not allow. */
    enum Results { OFF, COUNT, FAIL }

    final String description;
    final String name;
    final String pointer;
    List<String> pathNames = List.of();
    final List<Parameter> parameters = new ArrayList<>();
    /** By media type; null where no body is described, and then any or none may come. */
    Map<MediaType, BodyRule> content;
    boolean bodyRequired;
    /** What a served result must keep to; null for nothing described. */
    BodyRule result;
    MediaType resultType;
    Results results = Results.OFF;

    Operation(String description, String name, String pointer) {
        this.description = description;
        this.name = name;
        this.pointer = pointer;
    }

    /** Judges a request whose path has these values; {@code posted} are the lines that may be posted, null for none. */
    Verdict judge(Request request, String query, List<String> values, Flow posted, long steps) {
        List<Fault> faults = new ArrayList<>();
        try {
            parameters(request, query, values, faults, steps);
            Verdict body = body(request, posted, faults, steps);
            if (body != null) {
                return body;
            }
        } catch (Unreadable e) {
            return Verdict.refused(400, description, Fault.body("", "syntax", e.getMessage()
                + (e.line() > 0 ? " (line " + e.line() + ')' : "")));
        }
        return faults.isEmpty() ? Verdict.CONFORMS : new Verdict(422, faults, "", description);
    }

    private void parameters(Request request, String query, List<String> values, List<Fault> faults, long steps)
            throws Unreadable {
        List<Pair> pairs = null;
        for (Parameter parameter : parameters) {
            if (faults.size() >= Verdict.MAX_FAULTS) {
                return;
            }
            switch (parameter.in()) {
                case "path" -> {
                    int index = pathNames.indexOf(parameter.name());
                    if (index >= 0) {
                        parameter.path(values.get(index), faults, steps);
                    }
                }
                case "query" -> {
                    pairs = pairs == null ? Pair.parse(query) : pairs;
                    parameter.query(pairs, faults, steps);
                }
                case "header" -> parameter.lines(request.headers().all(parameter.name()), faults, steps);
                default -> parameter.lines(Parameter.cookies(request.headers().all("Cookie"), parameter.name()), faults,
                    steps);
            }
        }
        if (pairs == null && !query.isEmpty()) {
            Pair.parse(query);
        }
    }

    /** The verdict where nothing else counts any more; null where the faults found so far decide. */
    private Verdict body(Request request, Flow posted, List<Fault> faults, long steps) throws Unreadable {
        if (content == null && posted == null) {
            return null;
        }
        if (request.body().length == 0) {
            if (bodyRequired) {
                faults.add(Fault.body("", "required", "a body must be sent"));
            }
            return null;
        }
        List<String> types = request.headers().all("Content-Type");
        MediaType type = types.isEmpty() ? MediaType.NONE : types.size() > 1 ? null : MediaType.parse(types.get(0));
        if (posted != null && type != null && (type.isLines() || content == null)) {
            faults.addAll(posted.judgeWhole(request.body(), request.headers(), steps));
            return null;
        }
        BodyRule rule = type == null || content == null ? null : MediaType.best(content, type);
        if (rule == null) {
            String takes = (content == null ? "" : content.keySet().stream().map(MediaType::toString)
                .collect(Collectors.joining(", "))) + (posted == null ? "" : content == null
                ? "application/x-ndjson" : ", application/x-ndjson");
            return new Verdict(415, List.of(Fault.body("", "content", "the body's media type must be one of " + takes)),
                takes, description);
        }
        faults.addAll(rule.judge(type, request.body(), Schemas.Way.REQUEST, steps));
        return null;
    }

    /** The faults of a served result; none where nothing is described. */
    List<Fault> judgeResult(byte[] body, long steps) {
        if (result == null) {
            return List.of();
        }
        try {
            return result.judge(resultType, body, Schemas.Way.RESPONSE, steps);
        } catch (Unreadable e) {
            return List.of(Fault.body("", "syntax", e.getMessage()));
        }
    }
}

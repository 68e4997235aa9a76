package badgermux.contract;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import tools.jackson.databind.node.ArrayNode;
import tools.jackson.databind.node.JsonNodeFactory;
import tools.jackson.databind.node.ObjectNode;

/** A refusal as clients read it: {@code application/problem+json} (RFC 9457). */
public final class ProblemDetails {
    /** The statuses that a judgement may bring, and their words. */
    private static final Map<Integer, String> TITLES = Map.of(400, "Bad Request", 404, "Not Found",
        405, "Method Not Allowed", 415, "Unsupported Media Type", 422, "Unprocessable Content");

    private ProblemDetails() { }

    /** The status's own words. */
    public static String title(int status) {
        return TITLES.getOrDefault(status, "Rejected");
    }

    /** The body of a refusal; {@code revision} is that of the contracts which judged. */
    public static byte[] encode(ValidationResult verdict, long revision) {
        ObjectNode problem = JsonNodeFactory.instance.objectNode();
        problem.put("type", "about:blank").put("title", title(verdict.status())).put("status", verdict.status());
        if (!verdict.faults().isEmpty()) {
            Fault first = verdict.faults().get(0);
            problem.put("detail", (first.pointer().isEmpty() ? first.in() : first.in() + ' ' + first.pointer()) + ": "
                + first.message());
        }
        if (!verdict.description().isEmpty()) {
            problem.put("description", verdict.description());
        }
        problem.put("revision", revision);
        problem.set("faults", faultArray(verdict));
        return problem.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** The faults as a list of objects; where one lies in the body, that goes without saying. */
    public static ArrayNode faultArray(ValidationResult verdict) {
        ArrayNode faults = JsonNodeFactory.instance.arrayNode();
        for (Fault fault : verdict.faults()) {
            ObjectNode each = faults.addObject().put("pointer", fault.pointer()).put("keyword", fault.keyword())
                .put("message", fault.message());
            if (!fault.in().equals("body")) {
                each.put("in", fault.in());
            }
        }
        return faults;
    }
}

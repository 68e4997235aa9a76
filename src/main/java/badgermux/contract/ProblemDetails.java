package badgermux.contract;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import tools.jackson.databind.node.ArrayNode;
import tools.jackson.databind.node.JsonNodeFactory;
import tools.jackson.databind.node.ObjectNode;

/** Encodes refusals for clients as {@code application/problem+json} (RFC 9457). */
public final class ProblemDetails {
    /** The reason phrases of the statuses that a validation may result in. */
    private static final Map<Integer, String> TITLES = Map.of(400, "Bad Request", 404, "Not Found",
        405, "Method Not Allowed", 415, "Unsupported Media Type", 422, "Unprocessable Content");

    private ProblemDetails() { }

    /** Returns the title of a status, which is its reason phrase. */
    public static String title(int status) {
        return TITLES.getOrDefault(status, "Rejected");
    }

    /** Returns the body of a refusal; {@code revision} is that of the contracts that were applied. */
    public static byte[] encode(ValidationResult result, long revision) {
        ObjectNode problem = JsonNodeFactory.instance.objectNode();
        problem.put("type", "about:blank").put("title", title(result.status())).put("status", result.status());
        if (!result.faults().isEmpty()) {
            Fault first = result.faults().get(0);
            problem.put("detail", (first.pointer().isEmpty() ? first.in() : first.in() + ' ' + first.pointer()) + ": "
                + first.message());
        }
        if (!result.description().isEmpty()) {
            problem.put("description", result.description());
        }
        problem.put("revision", revision);
        problem.set("faults", faultArray(result));
        return problem.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the faults as an array of objects; the member {@code in} is left out for the body. */
    public static ArrayNode faultArray(ValidationResult result) {
        ArrayNode faults = JsonNodeFactory.instance.arrayNode();
        for (Fault fault : result.faults()) {
            ObjectNode json = faults.addObject().put("pointer", fault.pointer()).put("keyword", fault.keyword())
                .put("message", fault.message());
            if (!fault.in().equals("body")) {
                json.put("in", fault.in());
            }
        }
        return faults;
    }
}

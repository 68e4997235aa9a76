package badgermux.admin;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A response of the admin API.
 *
 * @param status  the HTTP status
 * @param headers complete header lines, each with its line end
 * @param body    the body; empty if there is none
 */
public record AdminResponse(int status, String headers, byte[] body) {
    private static final Gson GSON = new GsonBuilder().setPrettyPrinting().disableHtmlEscaping().serializeNulls()
        .create();

    /** Creates a JSON response. */
    public static AdminResponse json(int status, JsonElement content) {
        return json(status, "", content);
    }

    /** Creates a JSON response with further header lines. */
    public static AdminResponse json(int status, String headers, JsonElement content) {
        return new AdminResponse(status, "Content-Type: application/json\r\n" + headers,
            (GSON.toJson(content) + '\n').getBytes(StandardCharsets.UTF_8));
    }

    /** Creates an error response (RFC 9457). */
    public static AdminResponse problem(int status, String detail) {
        return problem(status, detail, "", new JsonObject());
    }

    /** Creates an error response with a list of reasons. */
    public static AdminResponse problem(int status, String detail, List<? extends JsonElement> reasons) {
        JsonObject members = new JsonObject();
        if (!reasons.isEmpty()) {
            JsonArray problems = new JsonArray();
            reasons.forEach(problems::add);
            members.add("problems", problems);
        }
        return problem(status, detail, "", members);
    }

    /** Creates an error response with further header lines and further members of the problem. */
    static AdminResponse problem(int status, String detail, String headers, JsonObject members) {
        JsonObject problem = new JsonObject();
        problem.addProperty("status", status);
        problem.addProperty("detail", detail);
        members.entrySet().forEach(member -> problem.add(member.getKey(), member.getValue()));
        return new AdminResponse(status, "Content-Type: application/problem+json\r\n"
            + (status == 401 ? "WWW-Authenticate: Bearer\r\n" : "") + headers,
            (GSON.toJson(problem) + '\n').getBytes(StandardCharsets.UTF_8));
    }
}

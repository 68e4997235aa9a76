package badgermux.admin;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * The answer to a call.
 *
 * @param status  the HTTP status
 * @param headers whole lines, each with its end
 * @param body    the body; empty for none
 */
public record AdminResponse(int status, String headers, byte[] body) {
    private static final Gson GSON = new GsonBuilder().setPrettyPrinting().disableHtmlEscaping().serializeNulls()
        .create();

    /** A JSON answer. */
    public static AdminResponse json(int status, JsonElement content) {
        return json(status, "", content);
    }

    /** A JSON answer with further header lines. */
    public static AdminResponse json(int status, String headers, JsonElement content) {
        return new AdminResponse(status, "Content-Type: application/json\r\n" + headers,
            (GSON.toJson(content) + '\n').getBytes(StandardCharsets.UTF_8));
    }

    /** A refusal (RFC 9457). */
    public static AdminResponse problem(int status, String detail) {
        return problem(status, detail, List.of());
    }

    /** A refusal with its reasons one by one. */
    public static AdminResponse problem(int status, String detail, List<? extends JsonElement> reasons) {
        JsonObject problem = new JsonObject();
        problem.addProperty("status", status);
        problem.addProperty("detail", detail);
        if (!reasons.isEmpty()) {
            JsonArray all = new JsonArray();
            reasons.forEach(all::add);
            problem.add("problems", all);
        }
        return new AdminResponse(status, "Content-Type: application/problem+json\r\n"
            + (status == 401 ? "WWW-Authenticate: Bearer\r\n" : ""),
            (GSON.toJson(problem) + '\n').getBytes(StandardCharsets.UTF_8));
    }
}

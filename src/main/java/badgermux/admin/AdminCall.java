package badgermux.admin;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A call of the admin API as one process forwards it to the other: a line of JSON, like the response to it.
 *
 * @param resource the name of the resource
 * @param request  the request to it
 */
record AdminCall(String resource, AdminRequest request) {
    /** Encodes the call as a line without a line end. */
    String encode() {
        JsonObject json = new JsonObject();
        json.addProperty("resource", resource);
        json.addProperty("method", request.method());
        JsonArray path = new JsonArray();
        request.path().forEach(path::add);
        json.add("path", path);
        JsonObject query = new JsonObject();
        request.query().forEach(query::addProperty);
        json.add("query", query);
        if (request.ifMatch() != null) {
            json.addProperty("ifMatch", request.ifMatch());
        }
        json.addProperty("body", Base64.getEncoder().encodeToString(request.body()));
        return json.toString();
    }

    /**
     * Decodes a line written by {@link #encode}.
     *
     * @throws JsonParseException for any other text
     */
    static AdminCall decode(String line) {
        try {
            JsonObject json = JsonParser.parseString(line).getAsJsonObject();
            List<String> path = new ArrayList<>();
            json.getAsJsonArray("path").forEach(segment -> path.add(segment.getAsString()));
            Map<String, String> query = new HashMap<>();
            for (Map.Entry<String, JsonElement> parameter : json.getAsJsonObject("query").entrySet()) {
                query.put(parameter.getKey(), parameter.getValue().getAsString());
            }
            return new AdminCall(json.get("resource").getAsString(), new AdminRequest(json.get("method").getAsString(), path,
                query, json.has("ifMatch") ? json.get("ifMatch").getAsString() : null,
                Base64.getDecoder().decode(json.get("body").getAsString())));
        } catch (RuntimeException e) {
            throw new JsonParseException("not a call of the admin API: " + e.getMessage());
        }
    }

    /** Encodes a response as a line without a line end. */
    static String encodeResponse(AdminResponse response) {
        JsonObject json = new JsonObject();
        json.addProperty("status", response.status());
        json.addProperty("headers", response.headers());
        json.addProperty("body", Base64.getEncoder().encodeToString(response.body()));
        return json.toString();
    }

    /**
     * Decodes a line written by {@link #encodeResponse}.
     *
     * @throws JsonParseException for any other text
     */
    static AdminResponse decodeResponse(String line) {
        try {
            JsonObject json = JsonParser.parseString(line).getAsJsonObject();
            return new AdminResponse(json.get("status").getAsInt(), json.get("headers").getAsString(),
                Base64.getDecoder().decode(json.get("body").getAsString()));
        } catch (RuntimeException e) {
            throw new JsonParseException("not a response of the admin API: " + e.getMessage());
        }
    }
}

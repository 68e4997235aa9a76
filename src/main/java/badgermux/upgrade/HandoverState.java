package badgermux.upgrade;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.HashMap;
import java.util.Map;

/**
 * The state that one process passes to the next, encoded as one line of JSON.
 *
 * @param backendList the backend list in discovery's format
 * @param cordoned    the cordoned backends by id, with the Unix time in milliseconds of the cordon
 * @param returned    the backends that returned recently, with the Unix times in milliseconds of their cordon and return
 */
public record HandoverState(String backendList, Map<String, Long> cordoned, Map<String, long[]> returned) {
    /** Encodes the state as a line without a line end. */
    public String encode() {
        JsonObject line = new JsonObject();
        line.add("list", JsonParser.parseString(backendList));
        JsonObject cordonedJson = new JsonObject();
        cordoned.forEach(cordonedJson::addProperty);
        line.add("out", cordonedJson);
        JsonObject returnedJson = new JsonObject();
        returned.forEach((id, times) -> {
            JsonArray pair = new JsonArray();
            pair.add(times[0]);
            pair.add(times[1]);
            returnedJson.add(id, pair);
        });
        line.add("back", returnedJson);
        return line.toString();
    }

    /**
     * Decodes a line written by {@link #encode}.
     *
     * @throws JsonParseException for any other text
     */
    public static HandoverState decode(String line) {
        try {
            JsonObject object = JsonParser.parseString(line).getAsJsonObject();
            Map<String, Long> cordoned = new HashMap<>();
            for (Map.Entry<String, JsonElement> backend : object.getAsJsonObject("out").entrySet()) {
                cordoned.put(backend.getKey(), backend.getValue().getAsLong());
            }
            Map<String, long[]> returned = new HashMap<>();
            for (Map.Entry<String, JsonElement> backend : object.getAsJsonObject("back").entrySet()) {
                JsonArray pair = backend.getValue().getAsJsonArray();
                returned.put(backend.getKey(), new long[] {pair.get(0).getAsLong(), pair.get(1).getAsLong()});
            }
            return new HandoverState(object.getAsJsonObject("list").toString(), cordoned, returned);
        } catch (RuntimeException e) {
            throw new JsonParseException("not a handover state: " + e.getMessage());
        }
    }
}

package badgermux.upgrade;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.HashMap;
import java.util.Map;

/**
 * What a process holds that the next one goes on from, as one line of JSON.
 *
 * @param backendList the list, in discovery's form
 * @param cordoned  the runners cordoned, and since when, as Unix time in milliseconds
 * @param returned those that came back lately: since when they had been out, and when they came back
 */
public record HandoverState(String backendList, Map<String, Long> cordoned, Map<String, long[]> returned) {
    /** The line, without its end. */
    public String encode() {
        JsonObject line = new JsonObject();
        line.add("list", JsonParser.parseString(backendList));
        JsonObject runners = new JsonObject();
        cordoned.forEach(runners::addProperty);
        line.add("out", runners);
        JsonObject returned = new JsonObject();
        this.returned.forEach((id, times) -> {
            JsonArray two = new JsonArray();
            two.add(times[0]);
            two.add(times[1]);
            returned.add(id, two);
        });
        line.add("back", returned);
        return line.toString();
    }

    /** What {@link #encode} made the line of; an exception where it made none such. */
    public static HandoverState decode(String line) {
        try {
            JsonObject from = JsonParser.parseString(line).getAsJsonObject();
            Map<String, Long> out = new HashMap<>();
            for (Map.Entry<String, JsonElement> runner : from.getAsJsonObject("out").entrySet()) {
                out.put(runner.getKey(), runner.getValue().getAsLong());
            }
            Map<String, long[]> back = new HashMap<>();
            for (Map.Entry<String, JsonElement> runner : from.getAsJsonObject("back").entrySet()) {
                JsonArray two = runner.getValue().getAsJsonArray();
                back.put(runner.getKey(), new long[] {two.get(0).getAsLong(), two.get(1).getAsLong()});
            }
            return new HandoverState(from.getAsJsonObject("list").toString(), out, back);
        } catch (RuntimeException e) {
            throw new JsonParseException("nothing that a process holds: " + e.getMessage());
        }
    }
}

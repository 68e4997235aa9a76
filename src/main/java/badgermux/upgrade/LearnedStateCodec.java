package badgermux.upgrade;

import badgermux.decide.DispatchPolicy.LearnedState;
import badgermux.decide.DispatchPolicy.SentWork;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;

/** Encodes and decodes the decision module's learned state as one line of JSON. */
public final class LearnedStateCodec {
    private LearnedStateCodec() { }

    /**
     * Encodes the state as a line without a line end.
     *
     * @param settingsFingerprint hash of the settings under which the state was learned
     */
    public static String encode(LearnedState state, String settingsFingerprint) {
        JsonArray statistics = new JsonArray();
        for (double value : state.statistics()) {
            statistics.add(Double.isFinite(value) ? value : 0);
        }
        JsonArray sends = new JsonArray();
        for (SentWork sent : state.recentSends()) {
            JsonArray item = new JsonArray();
            item.add(sent.backendId());
            item.add(sent.sentAtMicros());
            item.add(sent.slotMicros());
            sends.add(item);
        }
        JsonObject line = new JsonObject();
        line.addProperty("of", settingsFingerprint);
        line.add("learnt", statistics);
        line.add("pushes", sends);
        return line.toString();
    }

    /**
     * Decodes a line written by {@link #encode}.
     *
     * @throws JsonParseException for any other text, and for a state that was learned under other settings
     */
    public static LearnedState decode(String line, String settingsFingerprint) {
        try {
            JsonObject object = JsonParser.parseString(line).getAsJsonObject();
            // Under other settings, or those of another site, the same array positions may have other meanings.
            if (!object.get("of").getAsString().equals(settingsFingerprint)) {
                throw new JsonParseException("learned under other settings");
            }
            double[] statistics = object.getAsJsonArray("learnt").asList().stream()
                .mapToDouble(JsonElement::getAsDouble).toArray();
            List<SentWork> sends = new ArrayList<>();
            for (JsonElement element : object.getAsJsonArray("pushes")) {
                JsonArray item = element.getAsJsonArray();
                sends.add(new SentWork(item.get(0).getAsLong(), item.get(1).getAsLong(), item.get(2).getAsDouble()));
            }
            return new LearnedState(statistics, sends);
        } catch (RuntimeException e) {
            throw new JsonParseException("not a learned state: " + e.getMessage());
        }
    }
}

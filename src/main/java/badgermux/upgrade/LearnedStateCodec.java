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

/** What the module of one process leaves to that of the next, as one line of JSON. */
public final class LearnedStateCodec {
    private LearnedStateCodec() { }

    /** The line, without its end; {@code of} is the fingerprint of the settings that it was learnt under. */
    public static String encode(LearnedState left, String of) {
        JsonArray learnt = new JsonArray();
        for (double figure : left.statistics()) {
            learnt.add(Double.isFinite(figure) ? figure : 0);
        }
        JsonArray pushes = new JsonArray();
        for (SentWork push : left.recentSends()) {
            JsonArray one = new JsonArray();
            one.add(push.backendId());
            one.add(push.sentAtMicros());
            one.add(push.slotMicros());
            pushes.add(one);
        }
        JsonObject line = new JsonObject();
        line.addProperty("of", of);
        line.add("learnt", learnt);
        line.add("pushes", pushes);
        return line.toString();
    }

    /** What {@link #encode} made the line of; an exception where it made none such, or under other settings than these. */
    public static LearnedState decode(String line, String of) {
        try {
            JsonObject from = JsonParser.parseString(line).getAsJsonObject();
            // Guards against figures of another customer, or of a configuration before: as many may stand for others.
            if (!from.get("of").getAsString().equals(of)) {
                throw new JsonParseException("it was learnt under other settings");
            }
            double[] learnt = from.getAsJsonArray("learnt").asList().stream().mapToDouble(JsonElement::getAsDouble).toArray();
            List<SentWork> pushes = new ArrayList<>();
            for (JsonElement push : from.getAsJsonArray("pushes")) {
                JsonArray one = push.getAsJsonArray();
                pushes.add(new SentWork(one.get(0).getAsLong(), one.get(1).getAsLong(), one.get(2).getAsDouble()));
            }
            return new LearnedState(learnt, pushes);
        } catch (RuntimeException e) {
            throw new JsonParseException("no heritage: " + e.getMessage());
        }
    }
}

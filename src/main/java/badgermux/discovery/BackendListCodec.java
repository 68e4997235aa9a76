package badgermux.discovery;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** Decodes and encodes the backend list in the JSON format of the discovery service. */
public final class BackendListCodec {
    /** A response of discovery: the whole list or its changes. Absent fields are null or 0. */
    public static final class BackendList {
        long revision;
        /** Whether this is the whole list and not only the changes since a revision. */
        boolean complete;
        List<Member> members = List.of();

        /** Returns the list with the higher revision; the second one if they are equal. */
        public static BackendList newer(BackendList first, BackendList second) {
            return first.revision > second.revision ? first : second;
        }
    }

    /**
     * An entry of the list: one backend. The fields are named as in the JSON: the locality is the zone, the flavor the machine
     * kind, and {@code upSinceMs} is a Unix time in milliseconds.
     */
    static final class Member {
        String id;
        String hostPort;
        String locality;
        String flavor;
        int cell;
        String phase;
        double upSinceMs;
    }

    private BackendListCodec() { }

    /**
     * Decodes a list. The fields are read one by one, because reflection would cost a new process 30 ms.
     *
     * @throws JsonParseException if the text is not a list
     */
    public static BackendList decode(String json) {
        try {
            return decodeList(JsonParser.parseString(json).getAsJsonObject());
        } catch (IllegalStateException | UnsupportedOperationException | NumberFormatException e) {
            throw new JsonParseException("not a list of members: " + e.getMessage());
        }
    }

    /** Encodes a whole list so that {@link #decode} can read it. */
    static JsonObject encode(long revision, Collection<Member> members) {
        JsonArray array = new JsonArray();
        for (Member member : members) {
            JsonObject object = new JsonObject();
            object.addProperty("id", member.id);
            object.addProperty("host_port", member.hostPort);
            object.addProperty("locality", member.locality);
            object.addProperty("flavor", member.flavor);
            object.addProperty("phase", member.phase);
            object.addProperty("cell", member.cell);
            object.addProperty("up_since_ms", member.upSinceMs);
            array.add(object);
        }
        JsonObject list = new JsonObject();
        list.addProperty("revision", revision);
        list.addProperty("complete", true);
        list.add("members", array);
        return list;
    }

    private static BackendList decodeList(JsonObject object) {
        BackendList list = new BackendList();
        list.revision = object.has("revision") ? object.get("revision").getAsLong() : 0;
        list.complete = object.has("complete") && object.get("complete").getAsBoolean();
        list.members = new ArrayList<>();
        if (object.has("members")) {
            for (JsonElement member : object.get("members").getAsJsonArray()) {
                list.members.add(member.isJsonNull() ? null : decodeMember(member.getAsJsonObject()));
            }
        }
        return list;
    }

    private static Member decodeMember(JsonObject object) {
        Member member = new Member();
        member.id = textOrNull(object, "id");
        member.hostPort = textOrNull(object, "host_port");
        member.locality = textOrNull(object, "locality");
        member.flavor = textOrNull(object, "flavor");
        member.phase = textOrNull(object, "phase");
        member.cell = object.has("cell") ? object.get("cell").getAsInt() : 0;
        member.upSinceMs = object.has("up_since_ms") ? object.get("up_since_ms").getAsDouble() : 0;
        return member;
    }

    private static String textOrNull(JsonObject object, String key) {
        JsonElement value = object.get(key);
        return value == null || value.isJsonNull() ? null : value.getAsString();
    }
}

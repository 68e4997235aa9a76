package badgermux.discovery;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** Decodes discovery's list. */
public final class BackendListCodec {
    /** An answer of discovery; fields that did not come are null or 0. */
    public static final class BackendList {
        long revision;
        boolean complete;
        List<Member> members = List.of();

        /** The newer of two lists. */
        public static BackendList newer(BackendList one, BackendList other) {
            return one.revision > other.revision ? one : other;
        }
    }

    /** A backend as the list shows it. */
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

    /** The listing; an exception where the text is none. Read by hand: reflection costs a fresh process 30 ms. */
    public static BackendList decode(String json) {
        try {
            return decodeList(JsonParser.parseString(json).getAsJsonObject());
        } catch (IllegalStateException | UnsupportedOperationException | NumberFormatException e) {
            throw new JsonParseException("no list of members: " + e.getMessage());
        }
    }

    /** Discovery's form of a whole list; what {@link #decode} reads. */
    static JsonObject encode(long revision, Collection<Member> members) {
        JsonArray array = new JsonArray();
        for (Member member : members) {
            JsonObject to = new JsonObject();
            to.addProperty("id", member.id);
            to.addProperty("host_port", member.hostPort);
            to.addProperty("locality", member.locality);
            to.addProperty("flavor", member.flavor);
            to.addProperty("phase", member.phase);
            to.addProperty("cell", member.cell);
            to.addProperty("up_since_ms", member.upSinceMs);
            array.add(to);
        }
        JsonObject list = new JsonObject();
        list.addProperty("revision", revision);
        list.addProperty("complete", true);
        list.add("members", array);
        return list;
    }

    private static BackendList decodeList(JsonObject from) {
        BackendList listing = new BackendList();
        listing.revision = from.has("revision") ? from.get("revision").getAsLong() : 0;
        listing.complete = from.has("complete") && from.get("complete").getAsBoolean();
        listing.members = new ArrayList<>();
        if (from.has("members")) {
            for (JsonElement member : from.get("members").getAsJsonArray()) {
                listing.members.add(member.isJsonNull() ? null : decodeMember(member.getAsJsonObject()));
            }
        }
        return listing;
    }

    private static Member decodeMember(JsonObject from) {
        Member member = new Member();
        member.id = textOrNull(from, "id");
        member.hostPort = textOrNull(from, "host_port");
        member.locality = textOrNull(from, "locality");
        member.flavor = textOrNull(from, "flavor");
        member.phase = textOrNull(from, "phase");
        member.cell = from.has("cell") ? from.get("cell").getAsInt() : 0;
        member.upSinceMs = from.has("up_since_ms") ? from.get("up_since_ms").getAsDouble() : 0;
        return member;
    }

    private static String textOrNull(JsonObject from, String key) {
        JsonElement value = from.get(key);
        return value == null || value.isJsonNull() ? null : value.getAsString();
    }
}

package badgermux.operator;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * All that operators have set, as one JSON text: a format's name and version, a revision that grows with each change, a
 * section for each subsystem, and a SHA-256 over the rest in its canonical form (members sorted, no blanks). A section
 * that this program does not know was written by a newer one, and the whole is refused then: half of a setting may mean
 * something else than the whole. Pure: no I/O.
 */
public final class Snapshot {
    /** The newest form that this program reads, and the one that it writes. */
    public static final int FORMAT_VERSION = 1;
    private static final String FORMAT = "badgermux-snapshot";

    private final long revision;
    private final Map<String, JsonElement> sections;

    /** {@code revision} is 0 for nothing set yet. */
    public Snapshot(long revision, Map<String, JsonElement> sections) {
        this.revision = revision;
        this.sections = new TreeMap<>(sections);
    }

    public long revision() {
        return revision;
    }

    /** A subsystem's section; null where it has set nothing. */
    public JsonElement section(String name) {
        return sections.get(name);
    }

    /** The next revision, with one section replaced, or taken out where it is null. */
    public Snapshot with(String name, JsonElement section) {
        Map<String, JsonElement> next = new TreeMap<>(sections);
        if (section == null) {
            next.remove(name);
        } else {
            next.put(name, section);
        }
        return new Snapshot(revision + 1, next);
    }

    /** The text; reading it brings the same snapshot. */
    public String text() {
        JsonObject root = new JsonObject();
        root.addProperty("format", FORMAT);
        root.addProperty("version", FORMAT_VERSION);
        root.addProperty("revision", revision);
        JsonObject all = new JsonObject();
        sections.forEach(all::add);
        root.add("sections", all);
        root.addProperty("checksum", checksum(root));
        return canonical(root).toString() + '\n';
    }

    /** Reads a snapshot; {@code known} are the sections that this program has. */
    public static Snapshot read(String text, Set<String> known) throws SnapshotException {
        JsonObject root;
        try {
            root = JsonParser.parseString(text).getAsJsonObject();
        } catch (JsonParseException | IllegalStateException e) {
            throw new SnapshotException("it is damaged: no JSON object");
        }
        if (!FORMAT.equals(string(root.get("format")))) {
            throw new SnapshotException("it is no snapshot: format is not " + FORMAT);
        }
        long version = number(root, "version");
        if (version > FORMAT_VERSION) {
            throw new SnapshotException("it was written by a newer program: version " + version + ", and this one reads "
                + FORMAT_VERSION);
        }
        String sum = string(root.remove("checksum"));
        if (!checksum(root).equals(sum)) {
            throw new SnapshotException("it is damaged: the checksum does not fit what it holds");
        }
        JsonElement all = root.get("sections");
        if (all == null || !all.isJsonObject()) {
            throw new SnapshotException("it is damaged: sections is missing");
        }
        Map<String, JsonElement> sections = new TreeMap<>();
        for (Map.Entry<String, JsonElement> section : all.getAsJsonObject().entrySet()) {
            if (!known.contains(section.getKey())) {
                throw new SnapshotException("it was written by a newer program: section " + section.getKey()
                    + " is not known");
            }
            sections.put(section.getKey(), section.getValue());
        }
        return new Snapshot(number(root, "revision"), sections);
    }

    private static String string(JsonElement value) {
        return value != null && value.isJsonPrimitive() ? value.getAsString() : null;
    }

    private static long number(JsonObject root, String key) throws SnapshotException {
        try {
            return root.get(key).getAsLong();
        } catch (RuntimeException e) {
            throw new SnapshotException("it is damaged: " + key + " is no number");
        }
    }

    private static String checksum(JsonObject root) {
        try {
            byte[] sum = MessageDigest.getInstance("SHA-256")
                .digest(canonical(root).toString().getBytes(StandardCharsets.UTF_8));
            return "sha256:" + HexFormat.of().formatHex(sum);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    private static JsonElement canonical(JsonElement value) {
        if (value.isJsonObject()) {
            JsonObject sorted = new JsonObject();
            JsonObject object = value.getAsJsonObject();
            new TreeSet<>(object.keySet()).forEach(key -> sorted.add(key, canonical(object.get(key))));
            return sorted;
        }
        if (value.isJsonArray()) {
            JsonArray items = new JsonArray();
            value.getAsJsonArray().forEach(item -> items.add(canonical(item)));
            return items;
        }
        return value;
    }
}

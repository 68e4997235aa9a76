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
 * Everything that operators have set, as one JSON text: the name and version of the format, a revision that grows with each
 * change, a section for each subsystem, and a SHA-256 checksum of the rest in canonical form (sorted members, no blanks). An
 * unknown section was written by a newer program; the whole snapshot is rejected then, because the known settings may have
 * another meaning without the unknown ones. Pure: no I/O.
 */
public final class Snapshot {
    /** The format version that this program writes, and the newest that it can read. */
    public static final int FORMAT_VERSION = 1;
    private static final String FORMAT = "badgermux-snapshot";

    private final long revision;
    private final Map<String, JsonElement> sections;

    /**
     * Creates a snapshot.
     *
     * @param revision the revision; 0 where nothing was set yet
     * @param sections the sections by name
     */
    public Snapshot(long revision, Map<String, JsonElement> sections) {
        this.revision = revision;
        this.sections = new TreeMap<>(sections);
    }

    public long revision() {
        return revision;
    }

    /** Returns a subsystem's section; null where nothing is set in it. */
    public JsonElement section(String name) {
        return sections.get(name);
    }

    /** Returns the next revision, with one section replaced, or removed if {@code section} is null. */
    public Snapshot with(String name, JsonElement section) {
        Map<String, JsonElement> next = new TreeMap<>(sections);
        if (section == null) {
            next.remove(name);
        } else {
            next.put(name, section);
        }
        return new Snapshot(revision + 1, next);
    }

    /** Returns the text that {@link #read} parses, a line with its line end. */
    public String text() {
        return line() + '\n';
    }

    /** Returns the text that {@link #read} parses, a line without its line end. */
    public String line() {
        JsonObject root = toJson();
        root.addProperty("checksum", checksum(root));
        return canonical(root).toString();
    }

    /** Returns the checksum of the revision and all sections. */
    public String checksum() {
        return checksum(toJson());
    }

    /** Returns the content without the checksum. */
    private JsonObject toJson() {
        JsonObject root = new JsonObject();
        root.addProperty("format", FORMAT);
        root.addProperty("version", FORMAT_VERSION);
        root.addProperty("revision", revision);
        JsonObject sectionsJson = new JsonObject();
        sections.forEach(sectionsJson::add);
        root.add("sections", sectionsJson);
        return root;
    }

    /**
     * Parses a snapshot.
     *
     * @param knownSections the names of the sections that this program supports
     * @throws SnapshotException if the text is damaged, or was written by a newer program
     */
    public static Snapshot read(String text, Set<String> knownSections) throws SnapshotException {
        JsonObject root;
        try {
            root = JsonParser.parseString(text).getAsJsonObject();
        } catch (JsonParseException | IllegalStateException e) {
            throw new SnapshotException("damaged: not a JSON object");
        }
        if (!FORMAT.equals(string(root.get("format")))) {
            throw new SnapshotException("not a snapshot: format is not " + FORMAT);
        }
        long version = number(root, "version");
        if (version > FORMAT_VERSION) {
            throw new SnapshotException("written by a newer program: version " + version + ", and this one reads "
                + FORMAT_VERSION);
        }
        String checksum = string(root.remove("checksum"));
        if (!checksum(root).equals(checksum)) {
            throw new SnapshotException("damaged: the checksum does not match the content");
        }
        JsonElement sectionsJson = root.get("sections");
        if (sectionsJson == null || !sectionsJson.isJsonObject()) {
            throw new SnapshotException("damaged: sections is missing");
        }
        Map<String, JsonElement> sections = new TreeMap<>();
        for (Map.Entry<String, JsonElement> section : sectionsJson.getAsJsonObject().entrySet()) {
            if (!knownSections.contains(section.getKey())) {
                throw new SnapshotException("written by a newer program: section " + section.getKey()
                    + " is unknown");
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
            throw new SnapshotException("damaged: " + key + " is not a number");
        }
    }

    private static String checksum(JsonObject root) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256")
                .digest(canonical(root).toString().getBytes(StandardCharsets.UTF_8));
            return "sha256:" + HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns a copy whose objects have their members sorted by name. */
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

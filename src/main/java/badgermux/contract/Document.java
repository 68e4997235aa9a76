package badgermux.contract;

import badgermux.contract.DescriptionException.Problem;
import java.util.List;
import tools.jackson.databind.JsonNode;

/** One document of a description as it came: its name, its bytes and the tree that they hold, JSON or YAML. */
public final class Document {
    /** The longest document, in bytes, the deepest nesting, and how many values there may be. */
    public static final int MAX_BYTES = 32 << 20, MAX_DEPTH = 200, MAX_VALUES = 4_000_000;

    private final String name;
    private final byte[] bytes;
    private final boolean yaml;
    private final JsonNode root;

    private Document(String name, byte[] bytes, boolean yaml, JsonNode root) {
        this.name = name;
        this.bytes = bytes;
        this.yaml = yaml;
        this.root = root;
    }

    /**
     * Reads a document. What begins with a brace is JSON, all else YAML 1.2.
     *
     * @param name what others refer to it by, such as {@code common.yaml}
     */
    public static Document read(String name, byte[] bytes) throws DescriptionException {
        if (bytes.length > MAX_BYTES) {
            throw new DescriptionException(new Problem(name, 0, "", "longer than " + MAX_BYTES + " bytes"));
        }
        boolean yaml = !startsWithBrace(bytes);
        try {
            JsonNode root = yaml ? Yaml.parseDocument(bytes) : Json.parseDocument(bytes);
            if (!root.isObject()) {
                throw new SyntaxException(1, "no object");
            }
            return new Document(name, bytes, yaml, root);
        } catch (SyntaxException e) {
            throw new DescriptionException(new Problem(name, e.line(), "", e.getMessage()));
        }
    }

    private static boolean startsWithBrace(byte[] bytes) {
        int i = 0;
        while (i < bytes.length && (bytes[i] == ' ' || bytes[i] == '\t' || bytes[i] == '\r' || bytes[i] == '\n')) {
            i++;
        }
        return i < bytes.length && bytes[i] == '{';
    }

    public String name() {
        return name;
    }

    public byte[] bytes() {
        return bytes.clone();
    }

    /** Whether it is a description, and not only a part of one. */
    public boolean isDescription() {
        return root.get("openapi") != null || root.get("asyncapi") != null;
    }

    JsonNode root() {
        return root;
    }

    /** The line of the value at a pointer. The text is read again for it: only faults ask. */
    int lineOf(String pointer) {
        List<String> steps = Json.pointerTokens(pointer);
        return steps == null ? 0 : yaml ? Yaml.lineOf(bytes, steps) : Json.lineOf(bytes, steps);
    }

    Problem problemAt(String pointer, String reason) {
        return new Problem(name, lineOf(pointer), pointer, reason);
    }
}

package badgermux.contract;

import badgermux.contract.DescriptionException.Problem;
import java.util.List;
import tools.jackson.databind.JsonNode;

/** One document of a description in JSON or YAML: its name, its bytes and the parsed tree. */
public final class Document {
    /** The longest document, in bytes. */
    public static final int MAX_BYTES = 32 << 20;
    /** How deep arrays and objects may nest. */
    public static final int MAX_DEPTH = 200;
    /** The maximum number of values in a YAML document, counted at each use of an alias. */
    public static final int MAX_VALUES = 4_000_000;

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
     * Parses a document. Text that begins with a brace is parsed as JSON, any other text as YAML 1.2.
     *
     * @param name the name that references use, such as {@code common.yaml}
     * @throws DescriptionException if the document can't be parsed
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

    /** Whether the document is a whole description, not only a part that others refer to. */
    public boolean isDescription() {
        return root.get("openapi") != null || root.get("asyncapi") != null;
    }

    JsonNode root() {
        return root;
    }

    /** Returns the line of the value at a pointer. Parses the text again, as this is only needed to report problems. */
    int lineOf(String pointer) {
        List<String> tokens = Json.pointerTokens(pointer);
        return tokens == null ? 0 : yaml ? Yaml.lineOf(bytes, tokens) : Json.lineOf(bytes, tokens);
    }

    /** Returns a problem with the line of the value at a pointer. */
    Problem problemAt(String pointer, String reason) {
        return new Problem(name, lineOf(pointer), pointer, reason);
    }
}

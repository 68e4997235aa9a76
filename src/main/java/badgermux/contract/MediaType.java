package badgermux.contract;

import java.util.Locale;
import java.util.Map;

/**
 * A media type or media range (RFC 9110, 8.3.1 and 12.5.1). Of its parameters, only the charset is kept.
 *
 * @param charset in lower case; null for none
 */
record MediaType(String type, String subtype, String charset) {
    /** The characters besides letters and digits that a token may contain (RFC 9110, 5.6.2). */
    private static final String TOKEN_PUNCTUATION = "!#$%&'*+.^_`|~-";
    private static final MediaType JSON = new MediaType("application", "json", null);
    /** The type of a body without a Content-Type (RFC 9110, 8.3). */
    static final MediaType OCTET_STREAM = new MediaType("application", "octet-stream", null);

    /** Parses a media type or range; returns null if the text is malformed. */
    static MediaType parse(String text) {
        if (text.equals("application/json")) {
            return JSON;
        }
        String[] parts = text.split(";");
        int slash = parts.length == 0 ? -1 : parts[0].indexOf('/');
        if (slash < 0) {
            return null;
        }
        String type = parts[0].substring(0, slash).strip();
        String subtype = parts[0].substring(slash + 1).strip();
        String charset = null;
        for (int i = 1; i < parts.length; i++) {
            int equals = parts[i].indexOf('=');
            if (equals > 0 && parts[i].substring(0, equals).strip().equalsIgnoreCase("charset")) {
                charset = parts[i].substring(equals + 1).strip().replace("\"", "").toLowerCase(Locale.ROOT);
            }
        }
        return !isToken(type) || !isToken(subtype) ? null
            : new MediaType(type.toLowerCase(Locale.ROOT), subtype.toLowerCase(Locale.ROOT), charset);
    }

    private static boolean isToken(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (!(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9') && TOKEN_PUNCTUATION.indexOf(c) < 0) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    boolean isJson() {
        return subtype.equals("json") || subtype.endsWith("+json");
    }

    boolean isJsonLines() {
        return subtype.equals("x-ndjson") || subtype.equals("ndjson") || subtype.equals("jsonl")
            || subtype.equals("x-jsonlines");
    }

    boolean isForm() {
        return type.equals("application") && subtype.equals("x-www-form-urlencoded");
    }

    boolean isText() {
        return type.equals("text") && !isJson();
    }

    /**
     * Returns the value whose key matches a media type best: an equal type, else a range of its subtypes, else the range of all
     * types; null if none matches.
     */
    static <T> T bestMatch(Map<MediaType, T> content, MediaType mediaType) {
        T best = null;
        int bestSpecificity = 0;
        for (Map.Entry<MediaType, T> entry : content.entrySet()) {
            MediaType range = entry.getKey();
            int specificity = range.type.equals("*") ? 1 : !range.type.equals(mediaType.type) ? 0
                : range.subtype.equals("*") ? 2 : range.subtype.equals(mediaType.subtype) ? 3 : 0;
            if (specificity > bestSpecificity) {
                bestSpecificity = specificity;
                best = entry.getValue();
            }
        }
        return best;
    }

    @Override public String toString() {
        return type + '/' + subtype;
    }
}

package badgermux.front;

import badgermux.core.Names;
import badgermux.http.InvalidMessageException;
import badgermux.http.MessageHead;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * The fields of a client's request that dispatch needs, and the lines that are forwarded to a backend.
 *
 * @param id                the value of X-Request-ID
 * @param className         the name of the request class, from the path
 * @param tenant            the value of X-Tenant-Id; null if there is none
 * @param hasIdempotencyKey whether Idempotency-Key is present and not empty
 * @param slots             the slots that the request takes on a backend, from X-Attrs; 1 by default
 * @param timeoutMicros     the value of X-Timeout; 0 if there is none
 * @param requestLine       method, target and version
 * @param headers           the header lines to forward, each with its line end
 */
record RequestFields(String id, String className, String tenant, boolean hasIdempotencyKey, double slots, long timeoutMicros,
        String requestLine, String headers) {
    /** Headers, in lower case, that belong to one connection or that the forwarded request sets itself. */
    private static final Set<String> NOT_FORWARDED = Set.of("host", "connection", "keep-alive", "proxy-connection",
        "te", "trailer", "transfer-encoding", "upgrade", "expect", "content-length", "x-timeout");
    /** Headers that must not be repeated, because dispatcher and backend could read different values. */
    private static final List<String> SINGLE_VALUED = List.of("Host", "X-Request-ID", "X-Priority-Class", "X-Route-Key",
        "X-Timeout", "X-Attrs", "X-Retried", "X-Tenant-Id", "Idempotency-Key");
    /** The form of X-Request-ID. A backend answers 400 to any other, and to an id that it knows from another request. */
    private static final Pattern REQUEST_ID = Pattern.compile("[0-9a-f]{16}");
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,15}(\\.[0-9]{1,15})?");
    private static final Pattern PATH_OR_QUERY = Pattern.compile("[/?]");
    private static final long MAX_TIMEOUT_MICROS = 3_600_000_000L;

    /**
     * Reads the fields of a request.
     *
     * @throws InvalidMessageException with status 400 if a field is missing, repeated or malformed
     */
    static RequestFields parse(MessageHead head, String method, String target) throws InvalidMessageException {
        for (String name : SINGLE_VALUED) {
            if (head.isRepeated(name)) {
                throw new InvalidMessageException(400, name + " stands there twice");
            }
        }
        String id = head.get("X-Request-ID");
        // A backend would answer 404 to a request without an id.
        if (id == null || !REQUEST_ID.matcher(id).matches()) {
            throw new InvalidMessageException(400, "X-Request-ID is missing or malformed");
        }
        if (!target.startsWith("/") || target.indexOf('#') >= 0) {
            throw new InvalidMessageException(400, "the target is no path");
        }
        String path = percentDecode(PATH_OR_QUERY.split(target, 3)[1]);
        String priorityClass = head.get("X-Priority-Class");
        if (priorityClass != null && !Names.normalize(priorityClass).equals(Names.normalize(path))) {
            throw new InvalidMessageException(400, "X-Priority-Class is not the path's");
        }
        String key = head.get("Idempotency-Key");
        StringBuilder headers = new StringBuilder();
        head.appendHeaderLines(headers, NOT_FORWARDED);
        return new RequestFields(id, path, head.get("X-Tenant-Id"), key != null && !key.isEmpty(),
            parseSlots(head.get("X-Attrs")), parseTimeoutMicros(head.get("X-Timeout")),
            method + ' ' + target + " HTTP/1.1", headers.toString());
    }

    /** Decodes the first segment of the path, as the name of a request class may need percent-encoding. */
    private static String percentDecode(String segment) throws InvalidMessageException {
        try {
            return segment.indexOf('%') < 0 ? segment : URLDecoder.decode(segment.replace("+", "%2B"), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            throw new InvalidMessageException(400, "the target's % stands for nothing");
        }
    }

    /** Reads the item {@code slots} of X-Attrs; 1 if there is none. */
    private static double parseSlots(String attributes) throws InvalidMessageException {
        for (String pair : attributes == null ? new String[0] : attributes.split(",")) {
            String[] parts = pair.strip().split("=", 2);
            if (parts.length == 2 && parts[0].equals("slots")) {
                double slots = parseNumber(parts[1], "X-Attrs");
                if (slots > 0 && slots <= 1024) {
                    return slots;
                }
                throw new InvalidMessageException(400, "X-Attrs: slots out of range");
            }
        }
        return 1;
    }

    /** Reads X-Timeout, whose unit is m (milliseconds) or u (microseconds); 0 for null. */
    private static long parseTimeoutMicros(String text) throws InvalidMessageException {
        if (text == null) {
            return 0;
        }
        boolean isMillis = text.endsWith("m");
        if (!isMillis && !text.endsWith("u")) {
            throw new InvalidMessageException(400, "X-Timeout has no unit m or u");
        }
        double value = parseNumber(text.substring(0, text.length() - 1), "X-Timeout") * (isMillis ? 1000 : 1);
        return Math.max(1, Math.min(MAX_TIMEOUT_MICROS, Math.round(value)));
    }

    /** Parses a plain decimal number; {@link Double#parseDouble} would also take signs, blanks, hexadecimal and suffixes. */
    private static double parseNumber(String text, String header) throws InvalidMessageException {
        if (!NUMBER.matcher(text).matches()) {
            throw new InvalidMessageException(400, header + " is no number");
        }
        return Double.parseDouble(text);
    }
}

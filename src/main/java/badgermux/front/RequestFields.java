package badgermux.front;

import badgermux.core.Names;
import badgermux.http.InvalidMessageException;
import badgermux.http.MessageHead;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/** The fields of a client's request that decisions need, and the lines that go on to a backend. */
record RequestFields(String id, String className, String tenant, boolean hasIdempotencyKey, double slots, long timeout, String requestLine,
        String headers) {
    /** Lines that concern one connection only, or that are written anew. */
    private static final Set<String> NOT_FORWARDED = Set.of("host", "connection", "keep-alive", "proxy-connection",
        "te", "trailer", "transfer-encoding", "upgrade", "expect", "content-length", "x-timeout");
    /** Headers that decisions or backends rest on: with two of them, two readers may see two requests. */
    private static final List<String> SINGLE_VALUED = List.of("Host", "X-Request-ID", "X-Priority-Class", "X-Route-Key",
        "X-Timeout", "X-Attrs", "X-Retried", "X-Tenant-Id", "Idempotency-Key");
    /** As clients form them. A backend answers 400 to any other, or to one that it knows from another request. */
    private static final Pattern REQUEST_ID = Pattern.compile("[0-9a-f]{16}");
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,15}(\\.[0-9]{1,15})?");
    private static final Pattern PATH_OR_QUERY = Pattern.compile("[/?]");
    private static final long MAX_TIMEOUT_MICROS = 3_600_000_000L;

    /** {@code timeout} is 0 where the client names none, {@code tenant} null. */
    static RequestFields parse(MessageHead head, String method, String target) throws InvalidMessageException {
        for (String name : SINGLE_VALUED) {
            if (head.values(name).size() > 1) {
                throw new InvalidMessageException(400, name + " stands there twice");
            }
        }
        String id = head.get("X-Request-ID");
        // A backend answers 404 to what has no id, so it must not get there.
        if (id == null || !REQUEST_ID.matcher(id).matches()) {
            throw new InvalidMessageException(400, "X-Request-ID is missing or malformed");
        }
        if (!target.startsWith("/") || target.indexOf('#') >= 0) {
            throw new InvalidMessageException(400, "the target is no path");
        }
        String path = percentDecode(PATH_OR_QUERY.split(target, 3)[1]);
        String named = head.get("X-Priority-Class");
        if (named != null && !Names.normalize(named).equals(Names.normalize(path))) {
            throw new InvalidMessageException(400, "X-Priority-Class is not the path's");
        }
        String key = head.get("Idempotency-Key");
        StringBuilder headers = new StringBuilder();
        head.appendHeaderLines(headers, NOT_FORWARDED);
        return new RequestFields(id, path, head.get("X-Tenant-Id"), key != null && !key.isEmpty(), slots(head.get("X-Attrs")),
            timeout(head.get("X-Timeout")), method + ' ' + target + " HTTP/1.1", headers.toString());
    }

    /** A class's name may hold what a path writes with %. */
    private static String percentDecode(String segment) throws InvalidMessageException {
        try {
            return segment.indexOf('%') < 0 ? segment : URLDecoder.decode(segment.replace("+", "%2B"), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            throw new InvalidMessageException(400, "the target's % stands for nothing");
        }
    }

    private static double slots(String attributes) throws InvalidMessageException {
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

    private static long timeout(String text) throws InvalidMessageException {
        if (text == null) {
            return 0;
        }
        boolean millis = text.endsWith("m");
        if (!millis && !text.endsWith("u")) {
            throw new InvalidMessageException(400, "X-Timeout has no unit m or u");
        }
        double value = parseNumber(text.substring(0, text.length() - 1), "X-Timeout") * (millis ? 1000 : 1);
        return Math.max(1, Math.min(MAX_TIMEOUT_MICROS, Math.round(value)));
    }

    /** Guards against what Java takes for a number and nobody else does: signs, blanks, hexadecimal, suffixes. */
    private static double parseNumber(String text, String header) throws InvalidMessageException {
        if (!NUMBER.matcher(text).matches()) {
            throw new InvalidMessageException(400, header + " is no number");
        }
        return Double.parseDouble(text);
    }
}

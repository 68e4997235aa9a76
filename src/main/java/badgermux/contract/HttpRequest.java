package badgermux.contract;

import java.util.List;

/**
 * A request to validate.
 *
 * @param target  the request target as received: a path and an optional query
 * @param headers the headers, whose chars are bytes
 * @param body    the body without its transfer coding; empty for none
 */
public record HttpRequest(String method, String target, Headers headers, byte[] body) {
    /** The headers of a message. */
    public interface Headers {
        /** Returns the values of a header in their order; {@code name} is not case-sensitive. */
        List<String> values(String name);
    }
}

package badgermux.contract;

import java.util.List;

/**
 * A request as it is judged.
 *
 * @param method  the method
 * @param target  the target as it came: a path, and a query where there is one
 * @param headers the header lines; chars are bytes
 * @param body    the body, framing taken off; empty for none
 */
public record HttpRequest(String method, String target, Headers headers, byte[] body) {
    /** A message's header lines. */
    public interface Headers {
        /** The values of one, in their order; its name in any case. */
        List<String> values(String name);
    }
}

package badgermux.http;

import io.netty.buffer.ByteBuf;

/**
 * What of a request goes on to a backend as it came.
 *
 * @param id      the text of X-Request-ID
 * @param start   method, target and version
 * @param headers the header lines that go on, each with its end
 * @param body    the body
 * @param terms   what its answer is held to; null for nothing
 */
public record Relay(String id, String start, String headers, byte[] body, Terms terms) {
    /** The request to a backend, which is told how long its answer will be waited for. */
    public ByteBuf encode(String host, long waitMillis) {
        return Bytes.message(start + "\r\nHost: " + host + "\r\n" + headers + "X-Timeout: " + waitMillis
            + "m\r\nContent-Length: " + body.length + "\r\n", body);
    }
}

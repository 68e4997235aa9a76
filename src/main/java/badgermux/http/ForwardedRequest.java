package badgermux.http;

import io.netty.buffer.ByteBuf;

/**
 * What of a request goes on to a backend as it came.
 *
 * @param id      the text of X-Request-ID
 * @param requestLine   method, target and version
 * @param headers the header lines that go on, each with its end
 * @param body    the body
 * @param contract   what its answer is held to; null for nothing
 */
public record ForwardedRequest(String id, String requestLine, String headers, byte[] body, ResponseContract contract) {
    /** The request to a backend, which is told how long its answer will be waited for. */
    public ByteBuf encode(String host, long waitMillis) {
        return MessageEncoder.message(requestLine + "\r\nHost: " + host + "\r\n" + headers + "X-Timeout: " + waitMillis
            + "m\r\nContent-Length: " + body.length + "\r\n", body);
    }
}

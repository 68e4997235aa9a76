package badgermux.http;

import io.netty.buffer.ByteBuf;

/**
 * The parts of a client's request that are forwarded to a backend unchanged.
 *
 * @param id          the value of X-Request-ID
 * @param requestLine method, target and version
 * @param headers     the forwarded header lines, each with its line end
 * @param body        the body
 * @param contract    validates the response; null if it is not validated
 */
public record ForwardedRequest(String id, String requestLine, String headers, byte[] body, ResponseContract contract) {
    /**
     * Encodes the request to a backend.
     *
     * @param host          the value of the header Host
     * @param timeoutMillis the value of the header X-Timeout: how long the dispatcher waits for the response
     */
    public ByteBuf encode(String host, long timeoutMillis) {
        return MessageEncoder.message(requestLine + "\r\nHost: " + host + "\r\n" + headers + "X-Timeout: " + timeoutMillis
            + "m\r\nContent-Length: " + body.length + "\r\n", body);
    }
}

package badgermux.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/** Encodes HTTP/1.1 messages. */
public final class MessageEncoder {
    private MessageEncoder() { }

    /** Encodes a head, each of whose lines ends in CRLF, the empty line after it, and a body. */
    public static ByteBuf message(CharSequence head, byte[] body) {
        byte[] text = (head + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
        return Unpooled.wrappedBuffer(text, body);
    }

    /** Encodes a GET request without a body. */
    public static ByteBuf getRequest(String target, String host) {
        return message("GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\n", new byte[0]);
    }

    /** Encodes a response with Content-Length; each line of {@code headers} ends in CRLF. */
    public static ByteBuf response(int status, String reason, String headers, byte[] body, boolean keepAlive) {
        return message("HTTP/1.1 " + status + ' ' + reason + "\r\nContent-Length: " + body.length + "\r\n" + headers
            + (keepAlive ? "" : "Connection: close\r\n"), body);
    }
}

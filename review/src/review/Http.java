package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Reads HTTP/1.1 messages with a Content-Length. */
final class Http {
    /** A message; {@code head} is its start line and header lines. */
    record Message(String head, byte[] body) {
        String header(String name) {
            for (String line : head.split("\r\n")) {
                if (line.regionMatches(true, 0, name + ":", 0, name.length() + 1)) {
                    return line.substring(name.length() + 1).strip();
                }
            }
            return null;
        }

        String startLine() {
            return head.substring(0, head.indexOf("\r\n"));
        }

        int status() {
            return Integer.parseInt(head.substring(9, 12));
        }
    }

    private Http() { }

    /** Reads one message; null if the stream ends before its first byte. */
    static Message read(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int last = 0;
        while (last != 0x0d0a0d0a) {
            int b = in.read();
            if (b < 0) {
                if (head.size() == 0) {
                    return null;
                }
                throw new IOException("stream ended inside a message");
            }
            head.write(b);
            last = last << 8 | b;
        }
        Message message = new Message(head.toString(StandardCharsets.ISO_8859_1), new byte[0]);
        String length = message.header("Content-Length");
        byte[] body = length == null ? new byte[0] : in.readNBytes(Integer.parseInt(length));
        if (length != null && body.length < Integer.parseInt(length)) {
            throw new IOException("stream ended inside a body");
        }
        return new Message(message.head(), body);
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}

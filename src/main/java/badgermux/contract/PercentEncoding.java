package badgermux.contract;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Percent-encoding (RFC 3986, 2.1), undone strictly: what is no UTF-8 is refused, overlong forms included. */
final class PercentEncoding {
    private PercentEncoding() { }

    static String decode(String text) throws SyntaxException {
        return decode(text, false);
    }

    /** {@code form}: a plus stands for a blank, as in application/x-www-form-urlencoded. */
    static String decode(String text, boolean form) throws SyntaxException {
        if (text.indexOf('%') < 0 && (!form || text.indexOf('+') < 0) && isAscii(text)) {
            return text;
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream(text.length());
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        for (int i = 0; i < bytes.length; i++) {
            if (bytes[i] == '+' && form) {
                out.write(' ');
            } else if (bytes[i] != '%') {
                out.write(bytes[i]);
            } else {
                int high = i + 3 <= bytes.length ? Character.digit(bytes[i + 1], 16) : -1;
                int low = i + 3 <= bytes.length ? Character.digit(bytes[i + 2], 16) : -1;
                if (high < 0 || low < 0) {
                    throw new SyntaxException(0, "percent-encoding is malformed");
                }
                out.write(high << 4 | low);
                i += 2;
            }
        }
        return Json.decodeUtf8(out.toByteArray());
    }

    private static boolean isAscii(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) > 126) {
                return false;
            }
        }
        return true;
    }
}

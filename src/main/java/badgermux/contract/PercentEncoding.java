package badgermux.contract;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Decodes percent-encoding (RFC 3986, 2.1) strictly: anything but valid UTF-8, such as an overlong form, is refused. */
final class PercentEncoding {
    private PercentEncoding() { }

    /** Decodes text whose chars are bytes. */
    static String decode(String text) throws SyntaxException {
        return decode(text, false);
    }

    /** Decodes text whose chars are bytes; {@code plusIsSpace} is for {@code application/x-www-form-urlencoded}. */
    static String decode(String text, boolean plusIsSpace) throws SyntaxException {
        if (text.indexOf('%') < 0 && (!plusIsSpace || text.indexOf('+') < 0) && isAscii(text)) {
            return text;
        }
        ByteArrayOutputStream decoded = new ByteArrayOutputStream(text.length());
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        for (int i = 0; i < bytes.length; i++) {
            if (bytes[i] == '+' && plusIsSpace) {
                decoded.write(' ');
            } else if (bytes[i] != '%') {
                decoded.write(bytes[i]);
            } else {
                int high = i + 3 <= bytes.length ? Character.digit(bytes[i + 1], 16) : -1;
                int low = i + 3 <= bytes.length ? Character.digit(bytes[i + 2], 16) : -1;
                if (high < 0 || low < 0) {
                    throw new SyntaxException(0, "percent-encoding is malformed");
                }
                decoded.write(high << 4 | low);
                i += 2;
            }
        }
        return Json.decodeUtf8(decoded.toByteArray());
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

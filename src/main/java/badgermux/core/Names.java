package badgermux.core;

import java.nio.charset.StandardCharsets;
import java.util.List;

/** Names of classes, tenants, zones and kinds: settings write them without blanks and commas, lists and headers may not. */
public final class Names {
    private Names() { }

    /** A name as settings write it; null stays null. Guards against one that is never found since it was told otherwise. */
    public static String normalize(String name) {
        return name == null ? null : name.replace(' ', '_').replace(',', '_');
    }

    /** The place of a name in a list of plain ones; -1 where it is null or not there. */
    public static int indexOf(List<String> plain, String name) {
        return name == null ? -1 : plain.indexOf(normalize(name));
    }

    /** The first name that stands there twice, as settings write them; null where there is none. */
    public static String firstDuplicate(List<String> plain) {
        return plain.stream().filter(name -> plain.indexOf(name) != plain.lastIndexOf(name)).findFirst().orElse(null);
    }

    /** A number for a text that any other text is most unlikely to share (FNV-1a of 64 bits), in hexadecimal. */
    public static String fingerprint(String text) {
        return Long.toHexString(hash(text));
    }

    /** The same as a number: it is the same in every process. */
    public static long hash(String text) {
        long hash = 0xcbf29ce484222325L;
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ b & 0xff) * 0x100000001b3L;
        }
        return hash;
    }
}

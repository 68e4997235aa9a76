package badgermux.core;

import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Names of request classes, tenants, zones and kinds. Settings contain them in a normalized form without blanks and commas;
 * backend lists and request headers may contain the original form.
 */
public final class Names {
    private Names() { }

    /**
     * Returns a name with blanks and commas replaced by underscores, as settings write it; null for null. Names are
     * normalized before each lookup: otherwise one that arrives in its original form would never be found.
     */
    public static String normalize(String name) {
        return name == null ? null : name.replace(' ', '_').replace(',', '_');
    }

    /** Returns the index of a name in a list of normalized names; -1 if it is null or not contained. */
    public static int indexOf(List<String> normalizedNames, String name) {
        return name == null ? -1 : normalizedNames.indexOf(normalize(name));
    }

    /** Returns the first name that a list contains more than once; null if there is none. */
    public static String firstDuplicate(List<String> normalizedNames) {
        return normalizedNames.stream()
            .filter(name -> normalizedNames.indexOf(name) != normalizedNames.lastIndexOf(name)).findFirst().orElse(null);
    }

    /** Returns the {@link #hash} of a text in hexadecimal. */
    public static String fingerprint(String text) {
        return Long.toHexString(hash(text));
    }

    /** Returns the 64-bit FNV-1a hash of a text, which is the same in every process. */
    public static long hash(String text) {
        long hash = 0xcbf29ce484222325L;
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ b & 0xff) * 0x100000001b3L;
        }
        return hash;
    }
}

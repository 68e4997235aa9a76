package badgermux.front;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The ids of requests that may have run and must not run again: the most recent ones, here or at another process of this
 * dispatcher. A client gives each request a new id, so that a known id tells of the same request once more.
 */
final class SentRequestIds {
    /** The most ids that are kept, about a megabyte; the oldest one is forgotten first. */
    static final int MAX_IDS = 16_384;
    private static final int HEXADECIMAL = 16;
    private static final String ID_FORMAT = "%016x";

    /** The ids as numbers, oldest first. */
    private final Set<Long> ids = new LinkedHashSet<>();

    /** Adds an id of 16 hexadecimal digits. */
    void add(String id) {
        ids.add(Long.parseUnsignedLong(id, HEXADECIMAL));
        if (ids.size() > MAX_IDS) {
            Iterator<Long> oldest = ids.iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** Whether an id was added and is still kept. */
    boolean contains(String id) {
        return ids.contains(Long.parseUnsignedLong(id, HEXADECIMAL));
    }

    /** Returns a copy of the ids, oldest first. */
    List<String> all() {
        List<String> all = new ArrayList<>(ids.size());
        ids.forEach(id -> all.add(String.format(ID_FORMAT, id)));
        return all;
    }
}

package badgermux.scale;

import java.util.Locale;

/** Request ids: 16 hexadecimal digits, the first of which tell the dispatcher. */
final class RequestIds {
    static final int DISPATCHER_DIGITS = 4;

    private final int dispatcher;
    private long next;

    /** {@code start} counts the dispatcher's starts: the ids of one before are not used again. */
    RequestIds(int dispatcher, int start) {
        this.dispatcher = dispatcher;
        next = (long) start << 32;
    }

    synchronized String next() {
        return String.format(Locale.ROOT, "%04x%012x", dispatcher, next++);
    }
}

package badgermux.scale;

import java.util.Locale;

/** Generates request ids of 16 hexadecimal digits, the first of which are the number of the dispatcher. */
final class RequestIds {
    static final int DISPATCHER_DIGITS = 4;

    private final int dispatcher;
    private long next;

    /** {@code start} is the number of earlier starts of the dispatcher; ids of different starts differ. */
    RequestIds(int dispatcher, int start) {
        this.dispatcher = dispatcher;
        next = (long) start << 32;
    }

    synchronized String next() {
        return String.format(Locale.ROOT, "%04x%012x", dispatcher, next++);
    }
}

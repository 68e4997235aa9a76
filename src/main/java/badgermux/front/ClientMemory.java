package badgermux.front;

import badgermux.metrics.Metrics;
import badgermux.metrics.Metrics.Count;
import java.util.HashMap;
import java.util.Map;

/**
 * The account of the memory that client connections hold, with one bound for all of them: unread input, partial heads, bodies,
 * requests that wait for their validation or their final answer, and answers that clients have not read. Where the bound is
 * exceeded, the connection gives way that holds the most beyond its taken request, so that a client which behaves keeps its own.
 */
final class ClientMemory {
    /** A connection with its share of the memory. */
    interface Holder {
        /** Returns how many bytes {@link #releaseMemory} can free. */
        long releasableBytes();

        /** Frees memory that no taken request needs, and reports the new share by {@link ClientMemory#update}. */
        void releaseMemory();
    }

    /** The least share that a connection gives up; a head of the usual length is shorter. */
    static final long MIN_RELEASE_BYTES = 1024;

    private final long maxBytes;
    private final Metrics metrics;
    private final Map<Holder, Long> heldBytes = new HashMap<>();
    private long totalBytes;
    private boolean isReleasing;

    /** Creates an empty account; {@code maxBytes} is the bound for all holders together. */
    ClientMemory(long maxBytes, Metrics metrics) {
        this.maxBytes = maxBytes;
        this.metrics = metrics;
        metrics.registerGauge("client_memory_bytes", () -> totalBytes);
    }

    /** Sets how many bytes a connection holds, and frees memory if the other connections hold more than the bound. */
    void update(Holder holder, long bytes) {
        Long before = bytes == 0 ? heldBytes.remove(holder) : heldBytes.put(holder, bytes);
        totalBytes += bytes - (before == null ? 0 : before);
        if (!isReleasing && isExhaustedFor(holder)) {
            releaseUntilAvailableTo(holder);
        }
    }

    /**
     * Whether the other connections hold more than the bound. What a connection holds itself is left out: the bound is
     * exceeded by one connection's share at most.
     */
    boolean isExhaustedFor(Holder holder) {
        return totalBytes - heldBytes.getOrDefault(holder, 0L) > maxBytes;
    }

    private void releaseUntilAvailableTo(Holder holder) {
        isReleasing = true;
        try {
            boolean hasReleased = true;
            while (hasReleased && isExhaustedFor(holder)) {
                hasReleased = releaseLargest();
            }
        } finally {
            isReleasing = false;
        }
    }

    /** Has the connection give way that can free the most; returns whether this freed anything. */
    private boolean releaseLargest() {
        Holder largest = null;
        long largestBytes = MIN_RELEASE_BYTES - 1;
        for (Holder holder : heldBytes.keySet()) {
            long bytes = holder.releasableBytes();
            if (bytes > largestBytes) {
                largest = holder;
                largestBytes = bytes;
            }
        }
        if (largest == null) {
            return false;
        }
        long before = totalBytes;
        metrics.increment(Count.CLIENT_MEMORY_RELEASES);
        largest.releaseMemory();
        return totalBytes < before;
    }
}

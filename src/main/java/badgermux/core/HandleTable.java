package badgermux.core;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Predicate;

/**
 * Numbered slots, each with a generation. A handle names a slot and the generation it was given in, so that an event
 * that comes after its entry has left finds nothing, not the entry that took the slot over.
 */
public final class HandleTable<T> {
    private static final int INDEX_BITS = 20;
    private static final long INDEX_MASK = (1L << INDEX_BITS) - 1;

    private final List<T> entries = new ArrayList<>();
    private final List<Long> generations = new ArrayList<>();
    private int[] freeIndexes = new int[64];
    private int freeIndexCount;
    private int size;

    /** Puts an entry into a free slot and returns its handle, which is positive and under 2^52. */
    public long add(T entry) {
        int slot;
        if (freeIndexCount > 0) {
            slot = freeIndexes[--freeIndexCount];
            entries.set(slot, entry);
        } else {
            slot = entries.size();
            if (slot > INDEX_MASK) {
                throw new IllegalStateException("all " + slot + " slots are taken");
            }
            entries.add(entry);
            generations.add(1L);
        }
        size++;
        return generations.get(slot) << INDEX_BITS | slot;
    }

    /** The entry, or null if it has left. */
    public T get(long handle) {
        int slot = (int) (handle & INDEX_MASK);
        boolean current = slot < entries.size() && generations.get(slot) == handle >>> INDEX_BITS;
        return current ? entries.get(slot) : null;
    }

    /** Takes an entry out; null if it has left before. */
    public T remove(long handle) {
        T entry = get(handle);
        if (entry == null) {
            return null;
        }
        int slot = (int) (handle & INDEX_MASK);
        entries.set(slot, null);
        generations.set(slot, generations.get(slot) + 1);
        if (freeIndexCount == freeIndexes.length) {
            freeIndexes = Arrays.copyOf(freeIndexes, 2 * freeIndexCount);
        }
        freeIndexes[freeIndexCount++] = slot;
        size--;
        return entry;
    }

    /** The handles of the first entries for which {@code which} holds, in the order of their slots, {@code most} at most. */
    public List<Long> findHandles(Predicate<T> filter, int limit) {
        List<Long> handles = new ArrayList<>();
        for (int slot = 0; slot < entries.size() && handles.size() < limit; slot++) {
            T entry = entries.get(slot);
            if (entry != null && filter.test(entry)) {
                handles.add(generations.get(slot) << INDEX_BITS | slot);
            }
        }
        return handles;
    }

    public int size() {
        return size;
    }
}

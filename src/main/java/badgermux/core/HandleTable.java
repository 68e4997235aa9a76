package badgermux.core;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Predicate;

/**
 * A table of entries addressed by handles. A handle holds an index and the generation of the entry at that index, so that a
 * late event for a removed entry finds nothing, rather than the entry that now has its index.
 */
public final class HandleTable<T> {
    private static final int INDEX_BITS = 20;
    private static final long INDEX_MASK = (1L << INDEX_BITS) - 1;

    private final List<T> entries = new ArrayList<>();
    private final List<Long> generations = new ArrayList<>();
    private int[] freeIndexes = new int[64];
    private int freeIndexCount;
    private int size;

    /**
     * Adds an entry.
     *
     * @return its handle, which is positive and less than 2^52
     * @throws IllegalStateException if all 2^20 indexes are in use
     */
    public long add(T entry) {
        int index;
        if (freeIndexCount > 0) {
            index = freeIndexes[--freeIndexCount];
            entries.set(index, entry);
        } else {
            index = entries.size();
            if (index > INDEX_MASK) {
                throw new IllegalStateException("handle table is full: " + index + " entries");
            }
            entries.add(entry);
            generations.add(1L);
        }
        size++;
        return generations.get(index) << INDEX_BITS | index;
    }

    /** Returns the entry of a handle, or null if it has been removed. */
    public T get(long handle) {
        int index = (int) (handle & INDEX_MASK);
        boolean isCurrent = index < entries.size() && generations.get(index) == handle >>> INDEX_BITS;
        return isCurrent ? entries.get(index) : null;
    }

    /** Removes and returns an entry; null if it had been removed before. */
    public T remove(long handle) {
        T entry = get(handle);
        if (entry == null) {
            return null;
        }
        int index = (int) (handle & INDEX_MASK);
        entries.set(index, null);
        generations.set(index, generations.get(index) + 1);
        if (freeIndexCount == freeIndexes.length) {
            freeIndexes = Arrays.copyOf(freeIndexes, 2 * freeIndexCount);
        }
        freeIndexes[freeIndexCount++] = index;
        size--;
        return entry;
    }

    /** Returns the handles of up to {@code limit} entries that match {@code filter}, in the order of their indexes. */
    public List<Long> findHandles(Predicate<T> filter, int limit) {
        List<Long> handles = new ArrayList<>();
        for (int index = 0; index < entries.size() && handles.size() < limit; index++) {
            T entry = entries.get(index);
            if (entry != null && filter.test(entry)) {
                handles.add(generations.get(index) << INDEX_BITS | index);
            }
        }
        return handles;
    }

    /** Returns the number of entries. */
    public int size() {
        return size;
    }
}

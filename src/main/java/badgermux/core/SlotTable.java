package badgermux.core;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Predicate;

/**
 * Numbered slots, each with a generation. A handle names a slot and the generation it was given in, so that an event
 * that comes after its entry has left finds nothing, not the entry that took the slot over.
 */
public final class SlotTable<T> {
    private static final int SLOT_BITS = 20;
    private static final long SLOT_MASK = (1L << SLOT_BITS) - 1;

    private final List<T> entries = new ArrayList<>();
    private final List<Long> generations = new ArrayList<>();
    private int[] free = new int[64];
    private int freeCount;
    private int size;

    /** Puts an entry into a free slot and returns its handle, which is positive and under 2^52. */
    public long add(T entry) {
        int slot;
        if (freeCount > 0) {
            slot = free[--freeCount];
            entries.set(slot, entry);
        } else {
            slot = entries.size();
            if (slot > SLOT_MASK) {
                throw new IllegalStateException("all " + slot + " slots are taken");
            }
            entries.add(entry);
            generations.add(1L);
        }
        size++;
        return generations.get(slot) << SLOT_BITS | slot;
    }

    /** The entry, or null if it has left. */
    public T get(long handle) {
        int slot = (int) (handle & SLOT_MASK);
        boolean current = slot < entries.size() && generations.get(slot) == handle >>> SLOT_BITS;
        return current ? entries.get(slot) : null;
    }

    /** Takes an entry out; null if it has left before. */
    public T remove(long handle) {
        T entry = get(handle);
        if (entry == null) {
            return null;
        }
        int slot = (int) (handle & SLOT_MASK);
        entries.set(slot, null);
        generations.set(slot, generations.get(slot) + 1);
        if (freeCount == free.length) {
            free = Arrays.copyOf(free, 2 * freeCount);
        }
        free[freeCount++] = slot;
        size--;
        return entry;
    }

    /** The handles of the first entries for which {@code which} holds, in the order of their slots, {@code most} at most. */
    public List<Long> handles(Predicate<T> which, int most) {
        List<Long> handles = new ArrayList<>();
        for (int slot = 0; slot < entries.size() && handles.size() < most; slot++) {
            T entry = entries.get(slot);
            if (entry != null && which.test(entry)) {
                handles.add(generations.get(slot) << SLOT_BITS | slot);
            }
        }
        return handles;
    }

    public int size() {
        return size;
    }
}

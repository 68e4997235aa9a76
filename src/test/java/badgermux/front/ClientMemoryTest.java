package badgermux.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.metrics.Metrics;
import badgermux.metrics.Metrics.Count;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Tests which connection gives way when the connections together hold more than the bound. */
class ClientMemoryTest {
    private static final long MAX_BYTES = 1_000_000;

    /** A connection that holds bytes for a taken request, which it keeps, and others, which it can free. */
    private static final class Connection implements ClientMemory.Holder {
        private final ClientMemory memory;
        private long takenBytes;
        private long releasableBytes;
        private int releases;

        Connection(ClientMemory memory) {
            this.memory = memory;
        }

        Connection hold(long taken, long releasable) {
            takenBytes = taken;
            releasableBytes = releasable;
            memory.update(this, taken + releasable);
            return this;
        }

        @Override public long releasableBytes() {
            return releasableBytes;
        }

        @Override public void releaseMemory() {
            releases++;
            hold(takenBytes, 0);
        }
    }

    private final Metrics metrics = new Metrics(List.of());
    private final ClientMemory memory = new ClientMemory(MAX_BYTES, metrics);

    private Connection connection() {
        return new Connection(memory);
    }

    private long heldBytes() {
        return metrics.text().lines().filter(line -> line.startsWith("badgermux_client_memory_bytes "))
            .mapToLong(line -> Long.parseLong(line.substring(line.indexOf(' ') + 1))).findFirst().orElseThrow();
    }

    @Test void largestGivesWayToOthers() {
        Connection large = connection().hold(0, 700_000);
        Connection small = connection().hold(0, 300_000);
        Connection newcomer = connection().hold(0, 200_000);
        assertEquals(0, large.releases, "the other connections hold no more than the bound");
        Connection next = connection().hold(0, 10_000);
        assertEquals(1, large.releases);
        assertEquals(0, small.releases + newcomer.releases + next.releases);
        assertEquals(510_000, heldBytes());
        assertEquals(1, metrics.get(Count.CLIENT_MEMORY_RELEASES));
    }

    @Test void takenRequestsAreKeptAndNewOnesFindNoMemory() {
        Connection first = connection().hold(600_000, 0);
        Connection second = connection().hold(600_000, 0);
        Connection third = connection().hold(0, 10_000);
        assertTrue(memory.isExhaustedFor(third));
        assertEquals(0, first.releases + second.releases);
        assertEquals(1, third.releases, "only what is not taken yet gives way");
        first.hold(0, 0);
        assertFalse(memory.isExhaustedFor(third));
    }

    @Test void smallShareIsNotWorthRelease() {
        connection().hold(2_000_000, 0);
        Connection small = connection().hold(0, ClientMemory.MIN_RELEASE_BYTES - 1);
        assertEquals(0, small.releases);
        assertEquals(1, small.hold(0, ClientMemory.MIN_RELEASE_BYTES).releases);
    }

    /** Guards against a connection that frees nothing when it is asked to: the account would ask for ever. */
    @Test void holderThatFreesNothingIsAskedOnce() {
        int[] asked = new int[1];
        memory.update(new ClientMemory.Holder() {
            @Override public long releasableBytes() {
                return 2_000_000;
            }

            @Override public void releaseMemory() {
                asked[0]++;
            }
        }, 2_000_000);
        connection().hold(0, 1_000);
        assertEquals(1, asked[0]);
    }

    @Property void othersNeverHoldMoreThanBound(@ForAll @Size(max = 60) List<@IntRange(min = 1_024, max = 400_000) Integer> sizes) {
        List<Connection> connections = new ArrayList<>();
        for (int i = 0; i < sizes.size(); i++) {
            connections.add(connection().hold(0, sizes.get(i)));
            assertFalse(memory.isExhaustedFor(connections.get(i)));
        }
        connections.forEach(connection -> connection.hold(0, 0));
        assertEquals(0, heldBytes());
    }
}

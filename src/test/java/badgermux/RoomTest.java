package badgermux;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class RoomTest {
    /** What a process was seen to hold with no connection of clients, backends or callers, links and a file included. */
    private static final int HELD = 20;

    /** From half of the least limit on, all shares together keep within the descriptors told. */
    @Property void theSharesFitIntoTheLimit(@ForAll @IntRange(min = 64, max = 1024) int sockets, @ForAll boolean called) {
        Room room = Room.of(sockets, called);
        assertTrue(room.clients() + room.overCap() + room.toBackends() + room.callers() + HELD <= sockets, room.toString());
        assertTrue(room.clients() >= sockets / 3, "clients with reqs hold a third at most");
        assertEquals(called, room.callers() > 0);
    }
}

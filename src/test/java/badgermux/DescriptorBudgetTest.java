package badgermux;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class DescriptorBudgetTest {
    /** What a process was seen to hold with no connection of clients, backends or callers, links and a file included. */
    private static final int HELD = 20;

    /** From half of the least limit on, all shares together keep within the descriptors told. */
    @Property void theSharesFitIntoTheLimit(@ForAll @IntRange(min = 64, max = 1024) int sockets, @ForAll boolean called) {
        DescriptorBudget budget = DescriptorBudget.of(sockets, called);
        assertTrue(budget.clients() + budget.overCap() + budget.toBackends() + budget.callers() + HELD <= sockets, budget.toString());
        assertTrue(budget.clients() >= sockets / 3, "clients with reqs hold a third at most");
        assertEquals(called, budget.callers() > 0);
    }
}

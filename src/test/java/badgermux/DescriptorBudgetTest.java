package badgermux;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class DescriptorBudgetTest {
    /** What a process was seen to hold with no connection of clients, backends or callers, links and a file included. */
    private static final int BASELINE_DESCRIPTORS = 20;

    /** From half of the least limit on, all shares together keep within the descriptors told. */
    @Property void sharesFitWithinTheLimit(@ForAll @IntRange(min = 64, max = 1024) int sockets, @ForAll boolean called) {
        DescriptorBudget budget = DescriptorBudget.of(sockets, called);
        assertTrue(budget.clientConnections() + budget.excessClientConnections() + budget.backendConnections() + budget.consoleConnections() + BASELINE_DESCRIPTORS <= sockets, budget.toString());
        assertTrue(budget.clientConnections() >= sockets / 3, "clients with reqs hold a third at most");
        assertEquals(called, budget.consoleConnections() > 0);
    }
}

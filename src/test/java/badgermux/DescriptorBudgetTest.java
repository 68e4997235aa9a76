package badgermux;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class DescriptorBudgetTest {
    /** Descriptors of a process without connections of clients, backends or operators; includes links and one file. */
    private static final int BASELINE_DESCRIPTORS = 20;

    /** Starts at half of the smallest limit, because each of two linked processes gets half. */
    @Property
    void sharesFitWithinTheLimit(@ForAll @IntRange(min = 64, max = 1024) int maxDescriptors, @ForAll boolean hasConsole) {
        DescriptorBudget budget = DescriptorBudget.of(maxDescriptors, hasConsole);
        assertTrue(budget.clientConnections() + budget.excessClientConnections() + budget.backendConnections()
            + budget.consoleConnections() + BASELINE_DESCRIPTORS <= maxDescriptors, budget.toString());
        assertTrue(budget.clientConnections() >= maxDescriptors / 3, "clients with open requests may take a third");
        assertEquals(hasConsole, budget.consoleConnections() > 0);
    }
}

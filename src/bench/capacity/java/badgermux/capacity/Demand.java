package badgermux.capacity;

/**
 * The resources that one role of one dispatcher needs in a situation.
 *
 * @param role              a component of the program, or a stub outside it; its name on the page
 * @param kind              how the demand is accounted
 * @param situation         the situation for which it was computed
 * @param dispatchers       number of dispatchers that share the load
 * @param stateBytes        live heap that the role occupies
 * @param messagesPerSecond messages a second in both directions
 * @param bytesPerSecond    bytes a second in both directions
 * @param coreShare         share of one core; the processor time of an idle process counts only in its own role
 * @param mechanism         names of the classes that do this work, separated by commas; {@link #NO_MECHANISM} if no
 *                          class does it
 */
public record Demand(String role, Kind kind, Situation situation, int dispatchers, double stateBytes,
        double messagesPerSecond, double bytesPerSecond, double coreShare, String mechanism) {
    /** The {@link #mechanism} of a demand that no class of the program serves. */
    public static final String NO_MECHANISM = "none";

    /**
     * How a demand is accounted: CONTROL has a budget, TRAFFIC of clients' requests has none, OUTSIDE arises at stubs
     * outside the program.
     */
    public enum Kind { CONTROL, TRAFFIC, OUTSIDE }

    /** Whether no class of the program serves this demand. */
    public boolean hasNoMechanism() {
        return mechanism.equals(NO_MECHANISM);
    }

    /** The largest of the three ratios of memory, bytes and processor time to a dispatcher's budget. */
    public double budgetRatio(Target.Budget budget) {
        double memory = stateBytes / budget.memoryBytes();
        return Math.max(memory, Math.max(bytesPerSecond / budget.bytesPerSecond(), coreShare / budget.coreShare()));
    }
}

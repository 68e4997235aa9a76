package badgermux.capacity;

/**
 * What one role of one dispatcher needs in a situation.
 *
 * @param role        the part of the program, or of a stand-in
 * @param kind        what it is counted as
 * @param situation   what happens
 * @param dispatchers how many dispatchers there are
 * @param stateBytes  live heap that it holds
 * @param messagesPerSecond    messages a second, both ways
 * @param bytesPerSecond       bytes a second, both ways
 * @param coreShare   the part of one core, idle time of the process left out
 * @param mechanism   the classes that carry it, separated by commas; {@link #NO_MECHANISM} where nothing does
 */
public record Demand(String role, Kind kind, Situation situation, int dispatchers, double stateBytes, double messagesPerSecond,
        double bytesPerSecond, double coreShare, String mechanism) {
    /** Says that no class carries a demand. */
    public static final String NO_MECHANISM = "none";

    /** What a demand is counted as: only control has a budget. */
    public enum Kind { CONTROL, TRAFFIC, OUTSIDE }

    /** Whether nothing carries it. */
    public boolean hasNoMechanism() {
        return mechanism.equals(NO_MECHANISM);
    }

    /** The largest of bytes, processor time and state against a dispatcher's budget. */
    public double budgetRatio(Target.Budget budget) {
        double memory = stateBytes / budget.memoryBytes();
        return Math.max(memory, Math.max(bytesPerSecond / budget.bytesPerSecond(), coreShare / budget.coreShare()));
    }
}

package badgermux;

/**
 * How descriptors are shared out.
 *
 * @param clients    connections of clients that are served at once: those with requests hold a third of all at most
 * @param overCap    how many more are let in for a moment, to be told so
 * @param toBackends connections to backends: each open request may need one
 * @param callers    operators' calls
 */
record DescriptorBudget(int clients, int overCap, int toBackends, int callers) {
    /** Descriptors that are no connections: files, the selector, the listeners, discovery, links, some over. */
    private static final int MOST_SPARE = 48, LEAST_SPARE = 22;
    private static final int MOST_CALLERS = 64, FEWEST_CALLERS = 6;

    /** The shares of so many descriptors; none for operators' calls where they can't call. */
    static DescriptorBudget of(int sockets, boolean called) {
        int clients = sockets / 3 + sockets / 32;
        int overCap = Math.min(64, sockets / 8);
        int callers = called ? Math.max(FEWEST_CALLERS, Math.min(MOST_CALLERS, sockets / 16)) : 0;
        int spare = Math.max(LEAST_SPARE, Math.min(MOST_SPARE, sockets / 8));
        return new DescriptorBudget(clients, overCap, Math.max(4, sockets - spare - clients - overCap - callers), callers);
    }
}

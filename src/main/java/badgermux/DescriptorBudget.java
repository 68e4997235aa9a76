package badgermux;

/**
 * How descriptors are shared out.
 *
 * @param clientConnections    connections of clients that are served at once: those with requests hold a third of all at most
 * @param excessClientConnections    how many more are let in for a moment, to be told so
 * @param backendConnections connections to backends: each open request may need one
 * @param consoleConnections    operators' calls
 */
record DescriptorBudget(int clientConnections, int excessClientConnections, int backendConnections, int consoleConnections) {
    /** Descriptors that are no connections: files, the selector, the listeners, discovery, links, some over. */
    private static final int MAX_RESERVE = 48, MIN_RESERVE = 22;
    private static final int MAX_CONSOLE_CONNECTIONS = 64, MIN_CONSOLE_CONNECTIONS = 6;

    /** The shares of so many descriptors; none for operators' calls where they can't call. */
    static DescriptorBudget of(int sockets, boolean called) {
        int clients = sockets / 3 + sockets / 32;
        int overCap = Math.min(64, sockets / 8);
        int callers = called ? Math.max(MIN_CONSOLE_CONNECTIONS, Math.min(MAX_CONSOLE_CONNECTIONS, sockets / 16)) : 0;
        int spare = Math.max(MIN_RESERVE, Math.min(MAX_RESERVE, sockets / 8));
        return new DescriptorBudget(clients, overCap, Math.max(4, sockets - spare - clients - overCap - callers), callers);
    }
}

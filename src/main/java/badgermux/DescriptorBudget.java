package badgermux;

/**
 * Divides the process's file descriptors among the kinds of connections.
 *
 * @param clientConnections       client connections that are served at once; at least a third of all descriptors, which those
 *                                with an open request may take
 * @param excessClientConnections client connections accepted beyond that, only to be refused
 * @param backendConnections      connections to backends; each open request may need one
 * @param consoleConnections      operators' connections to the console
 */
record DescriptorBudget(int clientConnections, int excessClientConnections, int backendConnections, int consoleConnections) {
    /** Upper bound of the reserve for everything else: files, the selector, listeners, discovery, handover links, a margin. */
    private static final int MAX_RESERVE = 48;
    /** Lower bound of that reserve. */
    private static final int MIN_RESERVE = 22;
    private static final int MAX_CONSOLE_CONNECTIONS = 64;
    private static final int MIN_CONSOLE_CONNECTIONS = 6;

    /** Divides {@code maxDescriptors}; the console gets a share only where it listens. */
    static DescriptorBudget of(int maxDescriptors, boolean hasConsole) {
        int clients = maxDescriptors / 3 + maxDescriptors / 32;
        int excess = Math.min(64, maxDescriptors / 8);
        int console = hasConsole
            ? Math.max(MIN_CONSOLE_CONNECTIONS, Math.min(MAX_CONSOLE_CONNECTIONS, maxDescriptors / 16)) : 0;
        int reserve = Math.max(MIN_RESERVE, Math.min(MAX_RESERVE, maxDescriptors / 8));
        return new DescriptorBudget(clients, excess, Math.max(4, maxDescriptors - reserve - clients - excess - console), console);
    }
}

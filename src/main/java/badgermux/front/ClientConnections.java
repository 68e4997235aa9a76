package badgermux.front;

import badgermux.core.Deadlines;
import badgermux.metrics.Metrics;
import badgermux.metrics.Metrics.Count;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.function.LongSupplier;

/** The open client connections by their state. Closes the least useful ones when there are too many. */
final class ClientConnections implements Acceptor.Admission {
    /** A connection that has been silent for this long may be evicted: clients send as soon as they are connected. */
    static final long EVICTION_GRACE_MICROS = 300_000;
    /**
     * Replaces {@link #EVICTION_GRACE_MICROS} while no further connection can be accepted. After this span, input that has
     * arrived has been read.
     */
    static final long EVICTION_GRACE_WHEN_FULL_MICROS = 60_000;
    /** A connection that is still receiving a request this long after its start may be evicted if no other can be. */
    static final long EVICTION_GRACE_RECEIVING_MICROS = 3_000_000;
    /** Places for new connections that are made at least, after a pause and after a failed accept. */
    private static final int ACCEPT_HEADROOM = 16;

    private final LongSupplier clock;
    private final Deadlines deadlines;
    private final Metrics metrics;
    private int maxConnections;
    private int maxExtraConnections;
    /** When room was made last. */
    private long roomMadeMicros;
    private final LinkedHashSet<FrontendConnection> open = new LinkedHashSet<>();
    /** Connections that have sent nothing yet, oldest first. */
    private final LinkedHashSet<FrontendConnection> silent = new LinkedHashSet<>();
    /** Connections that have sent part of a request, longest silent first. */
    private final LinkedHashSet<FrontendConnection> receiving = new LinkedHashSet<>();
    /** Idle connections that have not sent a valid POST request, longest idle first. */
    private final LinkedHashSet<FrontendConnection> unproven = new LinkedHashSet<>();
    /** Idle connections that have sent a valid POST request before, longest idle first. */
    private final LinkedHashSet<FrontendConnection> idle = new LinkedHashSet<>();
    /** Connections in a lingering close, longest closing first. */
    private final LinkedHashSet<FrontendConnection> closing = new LinkedHashSet<>();

    /** Creates an empty set with the limits that {@link #setLimits} replaces. */
    ClientConnections(LongSupplier clock, Deadlines deadlines, Metrics metrics, int maxConnections, int maxExtraConnections) {
        this.clock = clock;
        this.deadlines = deadlines;
        this.metrics = metrics;
        setLimits(maxConnections, maxExtraConnections);
        metrics.registerGauge("client_connections_open", open::size);
    }

    /**
     * Sets the limits.
     *
     * @param max      how many connections are served at once
     * @param maxExtra how many more are accepted, so that their requests are refused and not left waiting
     */
    void setLimits(int max, int maxExtra) {
        maxConnections = max;
        maxExtraConnections = maxExtra;
    }

    /** Returns how many connections are served at once. */
    int maxConnections() {
        return maxConnections;
    }

    boolean isEmpty() {
        return open.isEmpty();
    }

    /** Whether as many connections are open as are served at once. */
    boolean isAtLimit() {
        return activeCount() >= maxConnections;
    }

    /** Returns how many connections are open and not closing. */
    private int activeCount() {
        return open.size() - closing.size();
    }

    /**
     * Returns how many more connections are accepted. Without a limit they would use up the descriptors that backend
     * connections and other parts need.
     */
    @Override public int room() {
        return maxConnections + maxExtraConnections - open.size();
    }

    /** Returns the time up to which arrived input has been read: the start of the event loop's stall, if there is one. */
    @Override public long inputReadUntilMicros() {
        return clock.getAsLong() - deadlines.stallMicros();
    }

    // ---- States

    /** A connection was accepted. */
    void opened(FrontendConnection connection) {
        open.add(connection);
        silent.add(connection);
    }

    /** Part of a request has been received. */
    void receiving(FrontendConnection connection) {
        if (open.contains(connection)) {
            removeFromStates(connection);
            receiving.add(connection);
        }
    }

    /** The connection has neither an open nor a partial request. */
    void idle(FrontendConnection connection) {
        if (open.contains(connection)) {
            removeFromStates(connection);
            (connection.hasSentRequest() ? idle : unproven).add(connection);
        }
    }

    /** The connection has an open request and can't be evicted. */
    void busy(FrontendConnection connection) {
        removeFromStates(connection);
    }

    /** The connection has started a lingering close. */
    void closing(FrontendConnection connection) {
        removeFromStates(connection);
        if (open.contains(connection)) {
            closing.add(connection);
        }
    }

    /** The connection is closed. */
    void closed(FrontendConnection connection) {
        open.remove(connection);
        removeFromStates(connection);
    }

    private void removeFromStates(FrontendConnection connection) {
        silent.remove(connection);
        receiving.remove(connection);
        unproven.remove(connection);
        idle.remove(connection);
        closing.remove(connection);
    }

    // ---- Shutdown

    /** Closes all connections that are between two requests. */
    void closeIdle() {
        List.copyOf(idle).forEach(FrontendConnection::close);
        List.copyOf(unproven).forEach(FrontendConnection::close);
    }

    /** Closes new connections, but only after a silence, as their first request could be on its way when they close. */
    void closeSilent() {
        long readUntil = inputReadUntilMicros();
        List.copyOf(silent).stream().filter(c -> readUntil - c.openedMicros() >= EVICTION_GRACE_MICROS)
            .forEach(FrontendConnection::close);
    }

    /**
     * Refuses incomplete requests.
     *
     * @param includeActive whether also those of which more has come lately or may come
     */
    void refuseIncomplete(boolean includeActive) {
        long readUntil = inputReadUntilMicros();
        List.copyOf(receiving).stream()
            .filter(c -> includeActive || !c.isReceivingInPieces() && readUntil - c.lastReadMicros() >= EVICTION_GRACE_MICROS)
            .forEach(FrontendConnection::refuseIncompleteRequest);
    }

    // ---- Eviction

    /** Closes one connection, if there is one that may be closed, when there are more than are served at once. */
    void evictIfOverLimit() {
        if (activeCount() > maxConnections) {
            evictOne();
        }
    }

    /**
     * Closes connections until only as many are left as are served at once, if so many may be closed. If an accept has failed,
     * the system allows fewer descriptors, and fewer than now are left. If it is urgent, the spans of silence are not waited
     * for: a connection may be closed once its input has been read in a round of the event loop, as the connections that wait
     * may have brought whole requests.
     */
    @Override public void makeRoom(boolean isUrgent, boolean hasFailed) {
        // What was open when room was made last has been read since: the event loop reads between two deadlines.
        long readSince = roomMadeMicros;
        roomMadeMicros = clock.getAsLong();
        int limit = hasFailed ? Math.min(maxConnections, open.size() - ACCEPT_HEADROOM) : maxConnections;
        boolean hasEvicted = true;
        while (hasEvicted && activeCount() > limit) {
            hasEvicted = isUrgent ? evictOneUrgently(readSince) : evictOne();
        }
        if (isUrgent || hasFailed) {
            abortClosing(limit, readSince);
        } else {
            abortClosing(maxConnections + maxExtraConnections - Math.min(ACCEPT_HEADROOM, maxExtraConnections),
                roomMadeMicros - EVICTION_GRACE_WHEN_FULL_MICROS);
        }
    }

    /**
     * Closes the least useful connection, if there is one. Candidates in this order: an idle connection that has not sent a
     * valid request; one that has been silent since it was opened; one that stopped sending in the middle of a request; an
     * idle connection that has sent a valid request, whose client resends a request that was on its way at the close; and a
     * connection that is still receiving a request after {@link #EVICTION_GRACE_RECEIVING_MICROS}.
     *
     * @return whether a connection was closed
     */
    private boolean evictOne() {
        long readUntil = inputReadUntilMicros();
        return evict(readUntil - (room() > 0 ? EVICTION_GRACE_MICROS : EVICTION_GRACE_WHEN_FULL_MICROS),
            readUntil - EVICTION_GRACE_MICROS, readUntil - EVICTION_GRACE_RECEIVING_MICROS, false);
    }

    /** Closes the least useful connection in the same order, with no grace for what was open at a time. */
    private boolean evictOneUrgently(long openSince) {
        return evict(openSince, openSince, openSince, true);
    }

    /**
     * Closes one connection.
     *
     * @param silentSince    new connections may be closed if they were opened before
     * @param stoppedSince   incomplete requests may be refused if nothing has come of them since then
     * @param receivingSince incomplete requests of which more may be coming may be refused if they began before
     * @param abortSilent    whether a silent connection is closed without a lingering close
     * @return whether a connection was closed
     */
    private boolean evict(long silentSince, long stoppedSince, long receivingSince, boolean abortSilent) {
        FrontendConnection victim = firstOrNull(unproven);
        victim = victim == null ? firstSilentSince(silent, silentSince) : victim;
        victim = victim == null ? firstSilentSince(receiving, stoppedSince) : victim;
        victim = victim == null ? firstOrNull(idle) : victim;
        // Otherwise clients that send a byte now and then could occupy all connections.
        victim = victim != null ? victim
            : receiving.stream().filter(c -> c.requestStartMicros() <= receivingSince).findFirst().orElse(null);
        if (victim == null) {
            return false;
        }
        metrics.increment(Count.CLIENT_CONNECTIONS_EVICTED);
        // Sends an answer to a partial request, as its last bytes may be on their way at the close.
        if (receiving.contains(victim)) {
            victim.refuseIncompleteRequest();
        } else if (abortSilent && silent.contains(victim)) {
            abort(victim);
        } else {
            victim.close();
        }
        return true;
    }

    /**
     * Aborts closing connections until no more than a number are open. Otherwise many lingering closes could keep new
     * connections out. A connection whose last answer is not yet handed to the system is left alone for
     * {@link #EVICTION_GRACE_WHEN_FULL_MICROS}.
     *
     * @param closingSince only connections whose close began before are aborted
     */
    private void abortClosing(int limit, long closingSince) {
        for (FrontendConnection connection : List.copyOf(closing)) {
            if (open.size() <= limit || connection.closingMicros() > closingSince) {
                return;
            }
            boolean isOverdue = clock.getAsLong() - connection.closingMicros() >= EVICTION_GRACE_WHEN_FULL_MICROS;
            if (isOverdue || connection.isOutputShutDown()) {
                abort(connection);
            }
        }
    }

    private void abort(FrontendConnection connection) {
        closed(connection);     // counted now, as channelInactive follows later
        connection.abort();
    }

    /**
     * Returns the first connection that is not receiving in pieces and has been silent since a time; null if there is none.
     *
     * @param candidates longest silent first
     */
    private static FrontendConnection firstSilentSince(LinkedHashSet<FrontendConnection> candidates, long sinceMicros) {
        for (FrontendConnection connection : candidates) {
            if (connection.lastReadMicros() > sinceMicros) {
                return null;
            }
            if (!connection.isReceivingInPieces()) {
                return connection;
            }
        }
        return null;
    }

    private static FrontendConnection firstOrNull(LinkedHashSet<FrontendConnection> candidates) {
        return candidates.isEmpty() ? null : candidates.iterator().next();
    }
}

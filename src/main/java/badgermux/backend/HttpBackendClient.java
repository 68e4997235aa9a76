package badgermux.backend;

import badgermux.core.AfterInputExecutor;
import badgermux.core.BackendClient;
import badgermux.core.Deadlines;
import badgermux.core.Engine;
import badgermux.decide.DispatchPolicy;
import badgermux.http.ForwardedRequest;
import badgermux.http.MessageReader;
import badgermux.http.OutboundConnection;
import badgermux.metrics.Metrics;
import badgermux.metrics.Metrics.Count;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.function.LongSupplier;

/** Sends attempts and probes to backends over HTTP, on pooled connections. */
public final class HttpBackendClient implements BackendClient<ForwardedRequest> {
    /** How long a probe may take; a later answer would be out of date. */
    static final long PROBE_TIMEOUT_MICROS = 500_000;
    /** How long a connection stays open after the result while the response has not ended. */
    static final long RESPONSE_END_TIMEOUT_MICROS = 1_000_000;
    /** The part of a backend's idle timeout after which an idle connection is closed, before the backend closes it. */
    private static final double IDLE_TIMEOUT_FRACTION = 0.9;

    /** The address and the idle connections of a listed backend. */
    static final class BackendPool {
        private InetSocketAddress address;
        /** Most recently used first. */
        private final ArrayDeque<PooledConnection> idleConnections = new ArrayDeque<>();

        /** Returns the value of the header Host. */
        String hostHeader() {
            return address.getHostString() + ':' + address.getPort();
        }
    }

    private final EventLoopGroup loop;
    private final AfterInputExecutor afterInput;
    private final Deadlines deadlines;
    private final LongSupplier clock;
    private final Metrics metrics;
    private final Engine<ForwardedRequest> engine;
    private final long connectTimeoutMicros;
    private final long idleTimeoutMicros;
    private int maxConnections;
    private final String probeTarget;
    /** By id of the backend. */
    private final Map<Long, BackendPool> pools = new HashMap<>();
    /** Attempts that can still be aborted, by id of the attempt. */
    private final Map<Long, AttemptExchange> attempts = new HashMap<>();
    /** The idle connections of all backends, longest idle first. */
    private final LinkedHashSet<PooledConnection> idleConnections = new LinkedHashSet<>();
    private int connectionCount;

    /**
     * Creates a client for an engine.
     *
     * @param clock                    the time in microseconds
     * @param connectTimeoutMicros     how long a connection may take to be established
     * @param backendIdleTimeoutMicros how long backends keep idle connections
     * @param maxConnections           limit of the connections to all backends
     * @param probesReturnLoad         whether probes ask for load reports, and not only for the backend's health
     */
    public HttpBackendClient(EventLoopGroup loop, Deadlines deadlines, LongSupplier clock, Metrics metrics,
            Engine<ForwardedRequest> engine, long connectTimeoutMicros, long backendIdleTimeoutMicros, int maxConnections,
            boolean probesReturnLoad) {
        this.loop = loop;
        afterInput = new AfterInputExecutor(loop.next());
        this.deadlines = deadlines;
        this.clock = clock;
        this.metrics = metrics;
        this.engine = engine;
        this.connectTimeoutMicros = connectTimeoutMicros;
        this.maxConnections = maxConnections;
        idleTimeoutMicros = (long) (IDLE_TIMEOUT_FRACTION * backendIdleTimeoutMicros);
        metrics.registerGauge("backend_connections_open", () -> connectionCount);
        probeTarget = probesReturnLoad ? "/load" : "/healthz";
    }

    /** Replaces the limit of the connections to all backends; connections beyond it are closed when they become idle. */
    public void setMaxConnections(int max) {
        maxConnections = max;
    }

    /** Adds a backend or sets its address. A changed address closes idle connections and withdraws unsent attempts. */
    public void setAddress(long backendId, InetSocketAddress address) {
        BackendPool pool = pools.computeIfAbsent(backendId, key -> new BackendPool());
        if (!address.equals(pool.address)) {
            pool.address = address;
            closeIdleIn(pool);
            withdrawUnsentAttempts(backendId);
        }
    }

    /** Removes a backend that is no longer listed. Attempts that have been sent may end; no new ones start. */
    public void removeBackend(long backendId) {
        closeIdleConnections(backendId);
        withdrawUnsentAttempts(backendId);
        pools.remove(backendId);
    }

    /**
     * Starts an attempt after all input that has arrived by now has been processed. Otherwise an attempt could start after its
     * client has left: when the event loop is late, the client's disconnect may be in the same round of input as the event
     * that caused the attempt (the request, or the outcome of another attempt), and be read after it.
     */
    @Override public void startAttempt(long attemptId, long backendId, ForwardedRequest payload, long deadlineMicros) {
        BackendPool pool = pools.get(backendId);
        if (pool == null) {
            engine.attemptEnded(attemptId, DispatchPolicy.Outcome.CONNECT_FAILED, null, null);
            return;
        }
        AttemptExchange exchange = new AttemptExchange(payload, pool, deadlineMicros, attemptId, this);
        attempts.put(attemptId, exchange);
        afterInput.execute(() -> startExchange(attemptId, exchange));
    }

    private void startExchange(long attemptId, AttemptExchange exchange) {
        if (attempts.get(attemptId) != exchange) {
            return;     // aborted or withdrawn since
        }
        PooledConnection pooled = acquireConnection(exchange.pool());
        if (pooled == null) {
            // MOOT and not a failure, which could eject the backend for this process's lack of connections.
            attempts.remove(attemptId);
            engine.attemptEnded(attemptId, DispatchPolicy.Outcome.MOOT, null, null);
        } else {
            exchange.startOn(pooled);
        }
    }

    @Override public void abort(long attemptId) {
        AttemptExchange exchange = attempts.remove(attemptId);
        if (exchange != null) {
            exchange.abort();
        }
    }

    @Override public boolean withdraw(long attemptId) {
        AttemptExchange exchange = attempts.get(attemptId);
        boolean isUnsent = exchange != null && !exchange.hasStartedWriting();
        if (isUnsent) {
            abort(attemptId);
        }
        return isUnsent;
    }

    /**
     * Withdraws the attempts on a backend that have not been written, so that the policy decides about their requests again.
     * Otherwise a connection that is established late could take an attempt to a backend that is draining, has been removed
     * or has another address.
     */
    public void withdrawUnsentAttempts(long backendId) {
        BackendPool pool = pools.get(backendId);
        attempts.entrySet().stream()
            .filter(entry -> entry.getValue().pool() == pool && !entry.getValue().hasStartedWriting())
            .map(Map.Entry::getKey).toList().forEach(engine::withdraw);
    }

    @Override public void probe(long backendId) {
        BackendPool pool = pools.get(backendId);
        PooledConnection pooled = pool == null ? null : acquireConnection(pool);
        if (pooled == null) {
            engine.probeEnded(backendId, false, null);
            return;
        }
        Deadlines.Deadline timeout = deadlines.scheduleAfter(PROBE_TIMEOUT_MICROS, pooled.connection::close);
        pooled.connection.start(new ProbeExchange(probeTarget, pool.hostHeader(), (isAnswered, report) -> {
            deadlines.cancel(timeout);
            if (isAnswered) {
                releaseConnection(pooled);
            } else {
                // A backend may send a failure response twice; on a reused connection the second would end the next request.
                pooled.connection.close();
            }
            engine.probeEnded(backendId, isAnswered, report);
        }));
    }

    @Override public void closeIdleConnections(long backendId) {
        BackendPool pool = pools.get(backendId);
        if (pool != null) {
            closeIdleIn(pool);
        }
    }

    Engine<ForwardedRequest> engine() {
        return engine;
    }

    long nowMicros() {
        return clock.getAsLong();
    }

    /** An attempt has a result or its exchange has ended; it can no longer be aborted. */
    void attemptSettled(long attemptId) {
        attempts.remove(attemptId);
    }

    /** An attempt's request has been written completely; the backend may run it. */
    void requestWritten() {
        metrics.increment(Count.FETCHES_WRITTEN);
    }

    /** Closes the connection unless the timeout is cancelled; a backend may never end a response whose result has come. */
    Deadlines.Deadline startResponseEndTimeout(PooledConnection pooled) {
        return deadlines.scheduleAfter(RESPONSE_END_TIMEOUT_MICROS, pooled.connection::close);
    }

    void cancel(Deadlines.Deadline deadline) {
        deadlines.cancel(deadline);
    }

    /** Returns the most recently used idle connection or a new one; null if the limit is reached or no descriptor is left. */
    private PooledConnection acquireConnection(BackendPool pool) {
        for (PooledConnection pooled = pool.idleConnections.pollFirst(); pooled != null;
                pooled = pool.idleConnections.pollFirst()) {
            idleConnections.remove(pooled);
            deadlines.cancel(pooled.idleTimeout);
            if (pooled.connection.isReusable()) {
                metrics.increment(Count.BACKEND_CONNECTIONS_REUSED);
                return pooled;
            }
        }
        if (connectionCount >= maxConnections && !idleConnections.isEmpty()) {
            idleConnections.iterator().next().connection.close();
        }
        if (connectionCount >= maxConnections) {
            metrics.increment(Count.BACKEND_CONNECTIONS_OVER_CAP);
            return null;
        }
        metrics.increment(Count.BACKEND_CONNECTS);
        connectionCount++;
        PooledConnection pooled = new PooledConnection(pool);
        pooled.connection = new OutboundConnection(loop, deadlines, pool.address, connectTimeoutMicros,
            MessageReader.MAX_BODY_BYTES, () -> connectionClosed(pooled));
        // Without a descriptor the attempt is moot, so that the backend is not ejected for this process's lack of them.
        if (!pooled.connection.hasDescriptor()) {
            metrics.increment(Count.BACKEND_CONNECTIONS_OVER_CAP);
            return null;
        }
        return pooled;
    }

    /** Returns a connection to its pool if it can be reused; closes it if there are too many. */
    void releaseConnection(PooledConnection pooled) {
        if (connectionCount > maxConnections) {
            pooled.connection.close();
        } else if (pooled.connection.isReusable() && idleConnections.add(pooled)) {
            pooled.pool.idleConnections.addFirst(pooled);
            pooled.idleTimeout = deadlines.scheduleAfter(idleTimeoutMicros, pooled.connection::close);
        }
    }

    private void connectionClosed(PooledConnection pooled) {
        connectionCount--;
        deadlines.cancel(pooled.idleTimeout);
        if (idleConnections.remove(pooled)) {
            pooled.pool.idleConnections.remove(pooled);
        }
    }

    private void closeIdleIn(BackendPool pool) {
        new ArrayDeque<>(pool.idleConnections).forEach(pooled -> pooled.connection.close());
    }
}

package badgermux.backend;

import badgermux.core.AfterInputExecutor;
import badgermux.core.Deadlines;
import badgermux.core.Engine;
import badgermux.core.BackendClient;
import badgermux.decide.DispatchPolicy;
import badgermux.http.OutboundConnection;
import badgermux.http.MessageReader;
import badgermux.http.ForwardedRequest;
import badgermux.metrics.Metrics;
import badgermux.metrics.Metrics.Count;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.function.LongSupplier;

/** The backends, their connections, and the attempts and probes on them. */
public final class HttpBackendClient implements BackendClient<ForwardedRequest> {
    /** A probe that takes longer tells nothing any more. */
    static final long PROBE_TIMEOUT_MICROS = 500_000;
    /** How long a connection is kept after its result until the response ends. */
    static final long RESPONSE_END_TIMEOUT_MICROS = 1_000_000;
    /** An idle connection is closed at this part of the time at which the other side may close it. */
    private static final double IDLE_TIMEOUT_FRACTION = 0.9;

    /** A backend that the list has named. */
    static final class BackendPool {
        private InetSocketAddress address;
        private final ArrayDeque<PooledConnection> idleConnections = new ArrayDeque<>();

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
    private final Map<Long, BackendPool> pools = new HashMap<>();
    private final Map<Long, AttemptExchange> attempts = new HashMap<>();
    /** All idle connections, the one that has been so longest first. */
    private final LinkedHashSet<PooledConnection> idleConnections = new LinkedHashSet<>();
    private int connectionCount;

    /**
     * Joins the backends to an engine.
     *
     * @param connectTimeout how long a connection may take to come up
     * @param connectionIdle how long the other side keeps an idle connection at most
     * @param cap            how many connections there may be in all
     * @param reports        whether probes bring load reports
     */
    public HttpBackendClient(EventLoopGroup loop, Deadlines deadlines, LongSupplier clock, Metrics metrics,
            Engine<ForwardedRequest> engine, long connectTimeout, long connectionIdle, int cap, boolean reports) {
        this.loop = loop;
        afterInput = new AfterInputExecutor(loop.next());
        this.deadlines = deadlines;
        this.clock = clock;
        this.metrics = metrics;
        this.engine = engine;
        this.connectTimeoutMicros = connectTimeout;
        this.maxConnections = cap;
        idleTimeoutMicros = (long) (IDLE_TIMEOUT_FRACTION * connectionIdle);
        metrics.registerGauge("backend_connections_open", () -> connectionCount);
        probeTarget = reports ? "/load" : "/healthz";
    }

    /** Bounds how many connections there may be in all from here on; those beyond it end as they become idle. */
    public void setMaxConnections(int most) {
        maxConnections = most;
    }

    /** The list names a backend's address. */
    public void setAddress(long id, InetSocketAddress address) {
        BackendPool backend = pools.computeIfAbsent(id, x -> new BackendPool());
        if (!address.equals(backend.address)) {
            backend.address = address;
            closeIdleIn(backend);
            withdrawUnsentAttempts(id);
        }
    }

    /** The list names a backend no more: what is out there may end, and nothing new begins. */
    public void removeBackend(long id) {
        closeIdleConnections(id);
        withdrawUnsentAttempts(id);
        pools.remove(id);
    }

    /**
     * Starts an attempt once all input that has come by now has been dealt with. Guards against an attempt that begins after
     * its client has left: where the event loop is late, the end of the client's connection lies in the same round of input
     * as whatever caused the attempt (the request itself, another attempt's outcome), and may be read after it.
     */
    @Override public void startAttempt(long attempt, long id, ForwardedRequest payload, long limit) {
        BackendPool backend = pools.get(id);
        if (backend == null) {
            engine.attemptEnded(attempt, DispatchPolicy.Outcome.CONNECT_FAILED, null, null);
            return;
        }
        AttemptExchange exchange = new AttemptExchange(payload, backend, limit, attempt, this);
        attempts.put(attempt, exchange);
        afterInput.execute(() -> startAttempt(attempt, exchange));
    }

    private void startAttempt(long attempt, AttemptExchange exchange) {
        if (attempts.get(attempt) != exchange) {
            return;     // it has been taken back meanwhile
        }
        PooledConnection pooled = acquireConnection(exchange.pool());
        if (pooled == null) {
            // Guards against a backend set aside because we have no connection to spare.
            attempts.remove(attempt);
            engine.attemptEnded(attempt, DispatchPolicy.Outcome.MOOT, null, null);
        } else {
            exchange.startOn(pooled);
        }
    }

    @Override public void abort(long attempt) {
        AttemptExchange exchange = attempts.remove(attempt);
        if (exchange != null) {
            exchange.abort();
        }
    }

    @Override public boolean withdraw(long attempt) {
        AttemptExchange exchange = attempts.get(attempt);
        boolean unsent = exchange != null && !exchange.hasStartedWriting();
        if (unsent) {
            abort(attempt);
        }
        return unsent;
    }

    /**
     * Guards against a connection that comes up late and takes an attempt to a backend that by then drains, is gone or has
     * another address: what has not begun to be written is taken back, and the module decides anew.
     */
    public void withdrawUnsentAttempts(long id) {
        BackendPool backend = pools.get(id);
        attempts.entrySet().stream().filter(e -> e.getValue().pool() == backend && !e.getValue().hasStartedWriting())
            .map(Map.Entry::getKey).toList().forEach(engine::withdraw);
    }

    @Override public void probe(long id) {
        BackendPool backend = pools.get(id);
        PooledConnection pooled = backend == null ? null : acquireConnection(backend);
        if (pooled == null) {
            engine.probeEnded(id, false, null);
            return;
        }
        Deadlines.Deadline limit = deadlines.scheduleAfter(PROBE_TIMEOUT_MICROS, pooled.connection::close);
        pooled.connection.start(new ProbeExchange(probeTarget, backend.hostHeader(), (answered, report) -> {
            deadlines.cancel(limit);
            if (answered) {
                releaseConnection(pooled);
            } else {
                // Guards against such an answer that comes twice: the second would end the request that goes out here next.
                pooled.connection.close();
            }
            engine.probeEnded(id, answered, report);
        }));
    }

    @Override public void closeIdleConnections(long id) {
        BackendPool backend = pools.get(id);
        if (backend != null) {
            closeIdleIn(backend);
        }
    }

    Engine<ForwardedRequest> engine() {
        return engine;
    }

    long now() {
        return clock.getAsLong();
    }

    /** An attempt's exchange is over, or its result is in: nothing more is to be aborted. */
    void attemptSettled(long attempt) {
        attempts.remove(attempt);
    }

    /** An attempt's last byte has left: the backend may run it. */
    void requestWritten() {
        metrics.increment(Count.FETCHES_WRITTEN);
    }

    /** Guards against a backend that gives its result and never ends its response. */
    Deadlines.Deadline startResponseEndTimeout(PooledConnection pooled) {
        return deadlines.scheduleAfter(RESPONSE_END_TIMEOUT_MICROS, pooled.connection::close);
    }

    void cancel(Deadlines.Deadline deadline) {
        deadlines.cancel(deadline);
    }

    /** An idle connection, the one used last first, or a new one; null where all that may be open are busy. */
    private PooledConnection acquireConnection(BackendPool backend) {
        for (PooledConnection pooled = backend.idleConnections.pollFirst(); pooled != null; pooled = backend.idleConnections.pollFirst()) {
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
        PooledConnection pooled = new PooledConnection(backend);
        pooled.connection = new OutboundConnection(loop, deadlines, backend.address, connectTimeoutMicros,
            MessageReader.MAX_BODY_BYTES, () -> connectionClosed(pooled));
        // Guards against a backend set aside because the platform has no descriptor left for us.
        if (!pooled.connection.hasDescriptor()) {
            metrics.increment(Count.BACKEND_CONNECTIONS_OVER_CAP);
            return null;
        }
        return pooled;
    }

    /** Keeps a connection for later, if it can be. */
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

    private void closeIdleIn(BackendPool backend) {
        new ArrayDeque<>(backend.idleConnections).forEach(pooled -> pooled.connection.close());
    }
}

package badgermux.backend;

import badgermux.core.AfterInput;
import badgermux.core.Deadlines;
import badgermux.core.Engine;
import badgermux.core.Outbound;
import badgermux.decide.Dispatch;
import badgermux.http.ClientConnection;
import badgermux.http.MessageReader;
import badgermux.http.Relay;
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
public final class Backends implements Outbound<Relay> {
    /** A probe that takes longer tells nothing any more. */
    static final long PROBE_LIMIT = 500_000;
    /** How long a connection is kept after its result until the response ends. */
    static final long TAIL_LIMIT = 1_000_000;
    /** An idle connection is closed at this part of the time at which the other side may close it. */
    private static final double IDLE_PART = 0.9;

    /** A backend that the list has named. */
    static final class Backend {
        private InetSocketAddress address;
        private final ArrayDeque<Pooled> idle = new ArrayDeque<>();

        String host() {
            return address.getHostString() + ':' + address.getPort();
        }
    }

    private final EventLoopGroup loop;
    private final AfterInput afterInput;
    private final Deadlines deadlines;
    private final LongSupplier clock;
    private final Metrics metrics;
    private final Engine<Relay> engine;
    private final long connectTimeout;
    private final long idleLimit;
    private int cap;
    private final String probeTarget;
    private final Map<Long, Backend> backends = new HashMap<>();
    private final Map<Long, AttemptExchange> attempts = new HashMap<>();
    /** All idle connections, the one that has been so longest first. */
    private final LinkedHashSet<Pooled> idle = new LinkedHashSet<>();
    private int connections;

    /**
     * Joins the backends to an engine.
     *
     * @param connectTimeout how long a connection may take to come up
     * @param connectionIdle how long the other side keeps an idle connection at most
     * @param cap            how many connections there may be in all
     * @param reports        whether probes bring load reports
     */
    public Backends(EventLoopGroup loop, Deadlines deadlines, LongSupplier clock, Metrics metrics,
            Engine<Relay> engine, long connectTimeout, long connectionIdle, int cap, boolean reports) {
        this.loop = loop;
        afterInput = new AfterInput(loop.next());
        this.deadlines = deadlines;
        this.clock = clock;
        this.metrics = metrics;
        this.engine = engine;
        this.connectTimeout = connectTimeout;
        this.cap = cap;
        idleLimit = (long) (IDLE_PART * connectionIdle);
        metrics.level("backend_connections_open", () -> connections);
        probeTarget = reports ? "/load" : "/healthz";
    }

    /** Bounds how many connections there may be in all from here on; those beyond it end as they become idle. */
    public void limit(int most) {
        cap = most;
    }

    /** The list names a backend's address. */
    public void locate(long id, InetSocketAddress address) {
        Backend backend = backends.computeIfAbsent(id, x -> new Backend());
        if (!address.equals(backend.address)) {
            backend.address = address;
            closeIdle(backend);
            takeBack(id);
        }
    }

    /** The list names a backend no more: what is out there may end, and nothing new begins. */
    public void forget(long id) {
        release(id);
        takeBack(id);
        backends.remove(id);
    }

    /**
     * Starts an attempt once all input that has come by now has been dealt with. Guards against an attempt that begins after
     * its client has left: where the event loop is late, the end of the client's connection lies in the same round of input
     * as whatever caused the attempt (the request itself, another attempt's outcome), and may be read after it.
     */
    @Override public void attempt(long attempt, long id, Relay payload, long limit) {
        Backend backend = backends.get(id);
        if (backend == null) {
            engine.ended(attempt, Dispatch.Outcome.CONNECT_FAILED, null, null);
            return;
        }
        AttemptExchange exchange = new AttemptExchange(payload, backend, limit, attempt, this);
        attempts.put(attempt, exchange);
        afterInput.execute(() -> begin(attempt, exchange));
    }

    private void begin(long attempt, AttemptExchange exchange) {
        if (attempts.get(attempt) != exchange) {
            return;     // it has been taken back meanwhile
        }
        Pooled pooled = connect(exchange.backend());
        if (pooled == null) {
            // Guards against a backend set aside because we have no connection to spare.
            attempts.remove(attempt);
            engine.ended(attempt, Dispatch.Outcome.MOOT, null, null);
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
        boolean unsent = exchange != null && !exchange.isBegun();
        if (unsent) {
            abort(attempt);
        }
        return unsent;
    }

    /**
     * Guards against a connection that comes up late and takes an attempt to a backend that by then drains, is gone or has
     * another address: what has not begun to be written is taken back, and the module decides anew.
     */
    public void takeBack(long id) {
        Backend backend = backends.get(id);
        attempts.entrySet().stream().filter(e -> e.getValue().backend() == backend && !e.getValue().isBegun())
            .map(Map.Entry::getKey).toList().forEach(engine::withdraw);
    }

    @Override public void probe(long id) {
        Backend backend = backends.get(id);
        Pooled pooled = backend == null ? null : connect(backend);
        if (pooled == null) {
            engine.probed(id, false, null);
            return;
        }
        Deadlines.Deadline limit = deadlines.after(PROBE_LIMIT, pooled.connection::close);
        pooled.connection.start(new ProbeExchange(probeTarget, backend.host(), (answered, report) -> {
            deadlines.cancel(limit);
            if (answered) {
                put(pooled);
            } else {
                // Guards against such an answer that comes twice: the second would end the request that goes out here next.
                pooled.connection.close();
            }
            engine.probed(id, answered, report);
        }));
    }

    @Override public void release(long id) {
        Backend backend = backends.get(id);
        if (backend != null) {
            closeIdle(backend);
        }
    }

    Engine<Relay> engine() {
        return engine;
    }

    long now() {
        return clock.getAsLong();
    }

    /** An attempt's exchange is over, or its result is in: nothing more is to be aborted. */
    void settled(long attempt) {
        attempts.remove(attempt);
    }

    /** An attempt's last byte has left: the backend may run it. */
    void written() {
        metrics.add(Count.FETCHES_WRITTEN);
    }

    /** Guards against a backend that gives its result and never ends its response. */
    Deadlines.Deadline limitTail(Pooled pooled) {
        return deadlines.after(TAIL_LIMIT, pooled.connection::close);
    }

    void cancel(Deadlines.Deadline deadline) {
        deadlines.cancel(deadline);
    }

    /** An idle connection, the one used last first, or a new one; null where all that may be open are busy. */
    private Pooled connect(Backend backend) {
        for (Pooled pooled = backend.idle.pollFirst(); pooled != null; pooled = backend.idle.pollFirst()) {
            idle.remove(pooled);
            deadlines.cancel(pooled.idleLimit);
            if (pooled.connection.isReusable()) {
                metrics.add(Count.BACKEND_CONNECTIONS_REUSED);
                return pooled;
            }
        }
        if (connections >= cap && !idle.isEmpty()) {
            idle.iterator().next().connection.close();
        }
        if (connections >= cap) {
            metrics.add(Count.BACKEND_CONNECTIONS_OVER_CAP);
            return null;
        }
        metrics.add(Count.BACKEND_CONNECTS);
        connections++;
        Pooled pooled = new Pooled(backend);
        pooled.connection = new ClientConnection(loop, deadlines, backend.address, connectTimeout,
            MessageReader.MAX_BODY, () -> closed(pooled));
        // Guards against a backend set aside because the platform has no descriptor left for us.
        if (!pooled.connection.isOpened()) {
            metrics.add(Count.BACKEND_CONNECTIONS_OVER_CAP);
            return null;
        }
        return pooled;
    }

    /** Keeps a connection for later, if it can be. */
    void put(Pooled pooled) {
        if (connections > cap) {
            pooled.connection.close();
        } else if (pooled.connection.isReusable() && idle.add(pooled)) {
            pooled.backend.idle.addFirst(pooled);
            pooled.idleLimit = deadlines.after(idleLimit, pooled.connection::close);
        }
    }

    private void closed(Pooled pooled) {
        connections--;
        deadlines.cancel(pooled.idleLimit);
        if (idle.remove(pooled)) {
            pooled.backend.idle.remove(pooled);
        }
    }

    private void closeIdle(Backend backend) {
        new ArrayDeque<>(backend.idle).forEach(pooled -> pooled.connection.close());
    }
}

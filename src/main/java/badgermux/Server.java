package badgermux;

import badgermux.backend.Backends;
import badgermux.cli.Commands.ServeOptions;
import badgermux.config.Config;
import badgermux.config.ConfigException;
import badgermux.core.Clock;
import badgermux.core.Deadlines;
import badgermux.core.Engine;
import badgermux.decide.Dispatch;
import badgermux.decide.Dispatcher;
import badgermux.director.Director;
import badgermux.front.Front;
import badgermux.http.Relay;
import badgermux.metrics.Metrics;
import badgermux.metrics.Metrics.Count;
import badgermux.zone.ZonePolicy;
import io.netty.channel.ChannelFuture;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/** Joins the parts of one real dispatcher on its event loop; rereads its configuration on SIGHUP, ends on SIGTERM. */
final class Server {
    /** Descriptors that are no connections: files, the selector, the listeners, the director, some over. */
    private static final int MOST_SPARE = 48, LEAST_SPARE = 24;
    /** How many operators' calls may be open at once. */
    private static final int MOST_CALLERS = 64, FEWEST_CALLERS = 12;
    /** The part of all memory that bodies may hold until their reqs are answered: 12 MB of 192. */
    private static final int HELD_PART = 16;

    private final MultiThreadIoEventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Clock clock = new Clock();
    private final CountDownLatch started = new CountDownLatch(1);
    private final CountDownLatch quiet = new CountDownLatch(1);
    private final Map<String, String> environment;
    private final ServeOptions options;
    private Metrics metrics;
    private Deadlines deadlines;
    private Operators operators;
    private OnCall onCall;
    private Future<?> alarm;
    private Front front;
    private Director director;

    private Server(Map<String, String> environment, ServeOptions options) {
        this.environment = environment;
        this.options = options;
    }

    /** Serves until SIGTERM has been dealt with. */
    static void run(Map<String, String> environment) throws ConfigException, InterruptedException {
        new Server(environment, null).serve();
    }

    /** The same, with what the command line adds. */
    static void run(Map<String, String> environment, ServeOptions options)
            throws ConfigException, InterruptedException {
        new Server(environment, options).serve();
    }

    private void serve() throws ConfigException, InterruptedException {
        // First of all: SIGHUP ends a process that says nothing of it.
        Hangup.handle(this::reload);
        Config config = Config.read(environment);
        metrics = new Metrics(config.settings().classes.stream().map(Dispatch.JobClass::name).toList());
        deadlines = new Deadlines(clock::now, this::alarm, metrics);
        onCall = config.admin() == null ? null
            : new OnCall(config.name(), config.settings().coldFor, environment.get("TMPDIR"), loop, clock);
        operators = options == null ? null : new Operators(options, loop, clock::now);
        ZonePolicy zones = operators == null ? null : operators.zones(config.zones(), config.settings());
        try {
            await("GW_LISTEN (listen)", loop.submit(() -> start(config, zones)).get());
            if (onCall != null) {
                ChannelFuture bound = loop.submit(() -> onCall.listen(config.admin())).get();
                await("GW_ADMIN (admin)", bound);
                Logger.info("operators call on {}", bound.channel().localAddress());
            }
            Runtime.getRuntime().addShutdownHook(new Thread(this::end, "end"));
            Logger.info("{} listens on {}", config.name(), front.address());
        } catch (ExecutionException e) {
            throw new ConfigException("settings: " + e.getCause().getMessage());
        }
        started.countDown();
        quiet.await();
    }

    private static void await(String what, ChannelFuture bound) throws ConfigException, InterruptedException {
        if (!bound.await().isSuccess()) {
            throw new ConfigException(what + " can't be bound: " + bound.cause().getMessage());
        }
    }

    private ChannelFuture start(Config config, ZonePolicy zones) {
        Dispatch.Settings settings = config.settings();
        // Clients with reqs hold a third at most, and each open req may need a backend: the rest leads there.
        int clients = config.sockets() / 3 + config.sockets() / 32;
        int overCap = Math.min(64, config.sockets() / 8);
        int callers = onCall == null ? 0 : Math.max(FEWEST_CALLERS, Math.min(MOST_CALLERS, config.sockets() / 16));
        int spare = Math.max(LEAST_SPARE, Math.min(MOST_SPARE, config.sockets() / 8));
        int toBackends = config.sockets() - spare - clients - overCap - callers;
        Engine<Relay> engine = new Engine<>(clock::now, deadlines, metrics, settings.maxAttempts);
        Backends backends = new Backends(loop, deadlines, clock::now, metrics, engine, config.connectTimeout(),
            settings.connectionIdle, toBackends, settings.reports == Dispatch.ReportMode.ON_PROBE);
        director = new Director(loop, deadlines, clock, metrics, engine, backends, config.director(),
            config.known(), config.zones(), config.kinds(), zones == null ? null : zones::guard,
            onCall == null ? null : onCall.hands());
        front = new Front(clock::now, deadlines, metrics, engine, settings, director::isListed, clients, overCap,
            ((long) config.memoryMb() << 20) / HELD_PART, operators == null ? null : operators.gate(metrics));
        engine.join(new Dispatcher(settings, config.seed(), engine, zones), backends, director::watch);
        director.start();
        if (operators != null) {
            operators.listen(deadlines, metrics);
        }
        if (onCall != null) {
            onCall.join(director, front, deadlines, metrics, callers);
        }
        return front.listen(loop, config.listen());
    }

    /**
     * Runs on a thread of its own for each signal, one after another: the event loop reads no files. A file that can't
     * be used changes nothing.
     */
    private synchronized void reload() {
        try {
            started.await();
            InetSocketAddress at = Config.reread(environment).director();
            loop.execute(() -> {
                metrics.add(Count.RELOADS);
                Logger.info("configuration reread: the director is at {}:{}", at.getHostString(), at.getPort());
                director.moveTo(at);
            });
        } catch (ConfigException | RuntimeException e) {
            loop.execute(() -> metrics.add(Count.RELOADS_REJECTED));
            Logger.warn("the new configuration is not used: {}", e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void alarm(long at) {
        if (alarm != null) {
            alarm.cancel(false);
        }
        alarm = loop.schedule(deadlines::runDue, Math.max(0, at - clock.now()), TimeUnit.MICROSECONDS);
    }

    /** The process goes on until this returns: once all that was taken is answered. */
    private void end() {
        loop.execute(() -> front.drain(() -> {
            if (operators != null) {
                operators.close();
            }
            if (onCall != null) {
                onCall.close();
            }
            System.out.print(metrics.text());
            System.out.flush();
            quiet.countDown();
        }));
        try {
            quiet.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

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
import badgermux.discovery.Discovery;
import badgermux.discovery.ListDecoder;
import badgermux.front.Front;
import badgermux.http.Relay;
import badgermux.log.AsideWriter;
import badgermux.metrics.Metrics;
import badgermux.metrics.Metrics.Count;
import badgermux.zone.ZonePolicy;
import io.netty.channel.ChannelFuture;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tinylog.Logger;

/** Joins the parts of one real dispatcher on its event loop; rereads its configuration on SIGHUP, ends on SIGTERM. */
final class Server {
    /** The part of all memory that bodies may hold until their requests are answered: 12 MB of 192. */
    private static final int HELD_PART = 16;
    /** How long the end waits for its counters, and then its log, to be written, in milliseconds. */
    private static final long PRINTING = 200;

    private final MultiThreadIoEventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Clock clock = new Clock();
    private final CountDownLatch started = new CountDownLatch(1);
    private final CountDownLatch quiet = new CountDownLatch(1);
    private final Map<String, String> environment;
    private final ServeOptions options;
    private Metrics metrics;
    private Deadlines deadlines;
    private AdminService adminService;
    private OperatorConsole console;
    private LearnedStateStore learnedState;
    private Future<?> alarm;
    /** The counters, as the end has them. */
    private volatile String printed = "";
    private Front front;
    private Discovery discovery;
    /** Whether SIGTERM has come, on the event loop. */
    private boolean ended;

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
        SighupHandler.handle(this::reload);
        Config config = Config.read(environment);
        ServerSocketChannel held = config.inherits() ? inherited() : null;
        metrics = new Metrics(config.settings().classes.stream().map(Dispatch.JobClass::name).toList());
        deadlines = new Deadlines(clock::now, this::alarm, metrics);
        console = config.admin() == null ? null
            : new OperatorConsole(config.name(), config.settings().coldFor, environment.get("TMPDIR"), loop, clock,
                config.fingerprint());
        adminService = options == null ? null : new AdminService(options, loop, clock::now);
        ZonePolicy zones = adminService == null ? null : adminService.zones(config.zones(), config.settings());
        // An upgrade's process is told by the one that still serves.
        learnedState = new LearnedStateStore(config.inherits() ? null : environment.get("TMPDIR"), config);
        CompletableFuture<ChannelFuture> front = new CompletableFuture<>();
        // Before clients are let in: what they hand in is answered, however soon SIGTERM comes.
        Runtime.getRuntime().addShutdownHook(new Thread(this::end, "end"));
        loop.execute(() -> begin(config, zones, held, front));
        try {
            serve(config, front);
        } catch (ConfigException e) {
            quiet.countDown();      // there is nothing to end
            throw e;
        }
        started.countDown();
        quiet.await();
    }

    private void serve(Config config, CompletableFuture<ChannelFuture> front) throws ConfigException, InterruptedException {
        try {
            await("GW_LISTEN (listen)", front.get());
            if (console != null) {
                ChannelFuture bound = loop.submit(() -> console.listen(config.admin())).get();
                await("GW_ADMIN (admin)", bound);
                Logger.info("operators call on {}", bound.channel().localAddress());
            }
            Logger.info("{} listens on {}", config.name(), this.front.address());
        } catch (ExecutionException e) {
            throw new ConfigException("settings: " + e.getCause().getMessage());
        }
    }

    /** The socket that is held for us. */
    private static ServerSocketChannel inherited() throws ConfigException {
        try {
            if (System.inheritedChannel() instanceof ServerSocketChannel held) {
                return held;
            }
        } catch (IOException e) {
            throw new ConfigException("GW_SOCKET_FD: descriptor 0 can't be inherited: " + e.getMessage());
        }
        throw new ConfigException("GW_SOCKET_FD: descriptor 0 is no socket that listens");
    }

    private static void await(String what, ChannelFuture bound) throws ConfigException, InterruptedException {
        if (!bound.await().isSuccess()) {
            throw new ConfigException(what + " can't be bound: " + bound.cause().getMessage());
        }
    }

    /** Asks the process before this one first, where there may be one; then all is made and clients are let in. */
    private void begin(Config config, ZonePolicy zones, ServerSocketChannel held, CompletableFuture<ChannelFuture> front) {
        Consumer<ListDecoder.Listing> start = known -> {
            try {
                front.complete(start(config, zones, held, known));
            } catch (RuntimeException e) {
                front.completeExceptionally(e);
            }
        };
        if (console == null || held == null) {
            start.accept(config.known());
        } else {
            console.upgrade().follow(deadlines, listing ->
                start.accept(listing == null ? config.known() : ListDecoder.Listing.newer(config.known(), listing)));
        }
    }

    private ChannelFuture start(Config config, ZonePolicy zones, ServerSocketChannel held, ListDecoder.Listing known) {
        if (ended) {
            throw new IllegalStateException("ended before clients were let in");
        }
        Dispatch.Settings settings = config.settings();
        DescriptorBudget budget = DescriptorBudget.of(config.sockets(), console != null);
        Engine<Relay> engine = new Engine<>(clock::now, deadlines, metrics, settings.maxAttempts);
        Backends backends = new Backends(loop, deadlines, clock::now, metrics, engine, config.connectTimeout(),
            settings.connectionIdle, budget.toBackends(), settings.reports == Dispatch.ReportMode.ON_PROBE);
        discovery = new Discovery(loop, deadlines, clock, metrics, engine, backends, config.discovery(),
            known, config.zones(), config.kinds(), zones == null ? null : zones::guard,
            console == null ? null : console.cordons(), settings.listPushed);
        front = new Front(clock::now, deadlines, metrics, engine, settings, discovery::isListed, budget.clients(),
            budget.overCap(), ((long) config.memoryMb() << 20) / HELD_PART,
            adminService == null ? null : adminService.gate(metrics));
        engine.join(new Dispatcher(settings, config.seed(), engine, zones), backends, discovery::watch);
        discovery.start();
        learnedState.join(engine, deadlines);
        if (adminService != null) {
            adminService.listen(deadlines, metrics);
        }
        ChannelFuture listening = held == null ? front.listen(loop, config.listen())
            : front.listen(loop, held, console == null || !console.upgrade().follows());
        if (console != null) {
            console.join(discovery, front, backends, engine, deadlines, metrics, config.sockets());
        }
        return listening;
    }

    /**
     * Runs on a thread of its own for each signal, one after another: the event loop reads no files. A file that can't
     * be used changes nothing.
     */
    private synchronized void reload() {
        try {
            started.await();
            InetSocketAddress at = Config.reread(environment).discovery();
            loop.execute(() -> {
                metrics.add(Count.RELOADS);
                Logger.info("configuration reread: the director is at {}:{}", at.getHostString(), at.getPort());
                discovery.moveTo(at);
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
        long toldAt = clock.now();      // first of all: the kill counts from here
        try {
            if (quiet.getCount() > 0) {
                loop.execute(() -> drain(toldAt));
                quiet.await();
                // Guards against an end that waits for those who read what it prints: the answers are out.
                Thread printer = new Thread(() -> {
                    System.out.print(printed);
                    System.out.flush();
                }, "printer");
                printer.setDaemon(true);
                printer.start();
                printer.join(PRINTING);
            }
            AsideWriter.finish(PRINTING);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void drain(long toldAt) {
        if (ended) {
            return;
        }
        ended = true;
        if (console != null && front != null) {
            console.upgrade().ending();
        }
        if (front == null) {
            quiet.countDown();      // nobody was let in yet, and nobody is from here on
        } else {
            front.drain(toldAt, this::drained);
        }
    }

    private void drained() {
        if (adminService != null) {
            adminService.close();
        }
        if (console != null) {
            console.close();
        }
        printed = metrics.text();
        learnedState.end(deadlines, quiet::countDown);
    }
}

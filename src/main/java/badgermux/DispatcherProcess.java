package badgermux;

import badgermux.backend.HttpBackendClient;
import badgermux.cli.Commands.ServeOptions;
import badgermux.config.Config;
import badgermux.config.ConfigException;
import badgermux.core.Clock;
import badgermux.core.Deadlines;
import badgermux.core.Engine;
import badgermux.decide.DispatchPolicy;
import badgermux.decide.DefaultDispatchPolicy;
import badgermux.discovery.DiscoveryClient;
import badgermux.discovery.BackendListCodec;
import badgermux.front.Frontend;
import badgermux.http.ForwardedRequest;
import badgermux.log.AsynchronousWriter;
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
final class DispatcherProcess {
    /** The part of all memory that bodies may hold until their requests are answered: 12 MB of 192. */
    private static final int BODY_MEMORY_DIVISOR = 16;
    /** How long the end waits for its counters, and then its log, to be written, in milliseconds. */
    private static final long OUTPUT_TIMEOUT_MILLIS = 200;

    private final MultiThreadIoEventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Clock clock = new Clock();
    private final CountDownLatch startupComplete = new CountDownLatch(1);
    private final CountDownLatch shutdownComplete = new CountDownLatch(1);
    private final Map<String, String> environment;
    private final ServeOptions options;
    private Metrics metrics;
    private Deadlines deadlines;
    private AdminService adminService;
    private OperatorConsole console;
    private LearnedStateStore learnedState;
    private Future<?> alarm;
    /** The counters, as the end has them. */
    private volatile String finalMetrics = "";
    private Frontend front;
    private DiscoveryClient discovery;
    /** Whether SIGTERM has come, on the event loop. */
    private boolean shuttingDown;

    private DispatcherProcess(Map<String, String> environment, ServeOptions options) {
        this.environment = environment;
        this.options = options;
    }

    /** Serves until SIGTERM has been dealt with. */
    static void run(Map<String, String> environment) throws ConfigException, InterruptedException {
        new DispatcherProcess(environment, null).serve();
    }

    /** The same, with what the command line adds. */
    static void run(Map<String, String> environment, ServeOptions options)
            throws ConfigException, InterruptedException {
        new DispatcherProcess(environment, options).serve();
    }

    private void serve() throws ConfigException, InterruptedException {
        // First of all: SIGHUP ends a process that says nothing of it.
        SighupHandler.handle(this::reload);
        Config config = Config.read(environment);
        ServerSocketChannel held = config.inheritsSocket() ? inheritedSocket() : null;
        metrics = new Metrics(config.settings().classes.stream().map(DispatchPolicy.RequestClass::name).toList());
        deadlines = new Deadlines(clock::nowMicros, this::alarm, metrics);
        console = config.adminAddress() == null ? null
            : new OperatorConsole(config.name(), config.settings().warmUpMicros, environment.get("TMPDIR"), loop, clock,
                config.settingsFingerprint());
        adminService = options == null ? null : new AdminService(options, loop, clock::nowMicros);
        ZonePolicy zones = adminService == null ? null : adminService.zones(config.zoneNames(), config.settings());
        // An upgrade's process is told by the one that still serves.
        learnedState = new LearnedStateStore(config.inheritsSocket() ? null : environment.get("TMPDIR"), config);
        CompletableFuture<ChannelFuture> front = new CompletableFuture<>();
        // Before clients are let in: what they hand in is answered, however soon SIGTERM comes.
        Runtime.getRuntime().addShutdownHook(new Thread(this::shutDown, "end"));
        loop.execute(() -> takeOverAndStart(config, zones, held, front));
        try {
            serve(config, front);
        } catch (ConfigException e) {
            shutdownComplete.countDown();      // there is nothing to end
            throw e;
        }
        startupComplete.countDown();
        shutdownComplete.await();
    }

    private void serve(Config config, CompletableFuture<ChannelFuture> front) throws ConfigException, InterruptedException {
        try {
            awaitBound("GW_LISTEN (listen)", front.get());
            if (console != null) {
                ChannelFuture bound = loop.submit(() -> console.listen(config.adminAddress())).get();
                awaitBound("GW_ADMIN (admin)", bound);
                Logger.info("operators call on {}", bound.channel().localAddress());
            }
            Logger.info("{} listens on {}", config.name(), this.front.address());
        } catch (ExecutionException e) {
            throw new ConfigException("settings: " + e.getCause().getMessage());
        }
    }

    /** The socket that is held for us. */
    private static ServerSocketChannel inheritedSocket() throws ConfigException {
        try {
            if (System.inheritedChannel() instanceof ServerSocketChannel held) {
                return held;
            }
        } catch (IOException e) {
            throw new ConfigException("GW_SOCKET_FD: descriptor 0 can't be inherited: " + e.getMessage());
        }
        throw new ConfigException("GW_SOCKET_FD: descriptor 0 is no socket that listens");
    }

    private static void awaitBound(String what, ChannelFuture bound) throws ConfigException, InterruptedException {
        if (!bound.await().isSuccess()) {
            throw new ConfigException(what + " can't be bound: " + bound.cause().getMessage());
        }
    }

    /** Asks the process before this one first, where there may be one; then all is made and clients are let in. */
    private void takeOverAndStart(Config config, ZonePolicy zones, ServerSocketChannel held, CompletableFuture<ChannelFuture> front) {
        Consumer<BackendListCodec.BackendList> start = known -> {
            try {
                front.complete(startComponents(config, zones, held, known));
            } catch (RuntimeException e) {
                front.completeExceptionally(e);
            }
        };
        if (console == null || held == null) {
            start.accept(config.cachedList());
        } else {
            console.handover().takeOverFromPrevious(deadlines, listing ->
                start.accept(listing == null ? config.cachedList() : BackendListCodec.BackendList.newer(config.cachedList(), listing)));
        }
    }

    private ChannelFuture startComponents(Config config, ZonePolicy zones, ServerSocketChannel held, BackendListCodec.BackendList known) {
        if (shuttingDown) {
            throw new IllegalStateException("ended before clients were let in");
        }
        DispatchPolicy.Settings settings = config.settings();
        DescriptorBudget budget = DescriptorBudget.of(config.maxDescriptors(), console != null);
        Engine<ForwardedRequest> engine = new Engine<>(clock::nowMicros, deadlines, metrics, settings.maxAttempts);
        HttpBackendClient backends = new HttpBackendClient(loop, deadlines, clock::nowMicros, metrics, engine, config.connectTimeoutMicros(),
            settings.idleTimeoutMicros, budget.backendConnections(), settings.reportMode == DispatchPolicy.ReportMode.ON_PROBE);
        discovery = new DiscoveryClient(loop, deadlines, clock, metrics, engine, backends, config.discoveryAddress(),
            known, config.zoneNames(), config.kindNames(), zones == null ? null : zones::keepUnlistedBackends,
            console == null ? null : console.cordons(), settings.listPushed);
        front = new Frontend(clock::nowMicros, deadlines, metrics, engine, settings, discovery::hasList, budget.clientConnections(),
            budget.excessClientConnections(), ((long) config.memoryMb() << 20) / BODY_MEMORY_DIVISOR,
            adminService == null ? null : adminService.gate(metrics));
        engine.connect(new DefaultDispatchPolicy(settings, config.seed(), engine, zones), backends, discovery::watch);
        discovery.start();
        learnedState.attach(engine, deadlines);
        if (adminService != null) {
            adminService.listen(deadlines, metrics);
        }
        ChannelFuture listening = held == null ? front.listen(loop, config.listenAddress())
            : front.listen(loop, held, console == null || !console.handover().hasPrevious());
        if (console != null) {
            console.attach(discovery, front, backends, engine, deadlines, metrics, config.maxDescriptors());
        }
        return listening;
    }

    /**
     * Runs on a thread of its own for each signal, one after another: the event loop reads no files. A file that can't
     * be used changes nothing.
     */
    private synchronized void reload() {
        try {
            startupComplete.await();
            InetSocketAddress at = Config.reload(environment).discoveryAddress();
            loop.execute(() -> {
                metrics.increment(Count.RELOADS);
                Logger.info("configuration reread: the director is at {}:{}", at.getHostString(), at.getPort());
                discovery.switchTo(at);
            });
        } catch (ConfigException | RuntimeException e) {
            loop.execute(() -> metrics.increment(Count.RELOADS_REJECTED));
            Logger.warn("the new configuration is not used: {}", e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void alarm(long at) {
        if (alarm != null) {
            alarm.cancel(false);
        }
        alarm = loop.schedule(deadlines::runDue, Math.max(0, at - clock.nowMicros()), TimeUnit.MICROSECONDS);
    }

    /** The process goes on until this returns: once all that was taken is answered. */
    private void shutDown() {
        long toldAt = clock.nowMicros();      // first of all: the kill counts from here
        try {
            if (shutdownComplete.getCount() > 0) {
                loop.execute(() -> drain(toldAt));
                shutdownComplete.await();
                // Guards against an end that waits for those who read what it prints: the answers are out.
                Thread printer = new Thread(() -> {
                    System.out.print(finalMetrics);
                    System.out.flush();
                }, "printer");
                printer.setDaemon(true);
                printer.start();
                printer.join(OUTPUT_TIMEOUT_MILLIS);
            }
            AsynchronousWriter.awaitWritten(OUTPUT_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void drain(long toldAt) {
        if (shuttingDown) {
            return;
        }
        shuttingDown = true;
        if (console != null && front != null) {
            console.handover().ending();
        }
        if (front == null) {
            shutdownComplete.countDown();      // nobody was let in yet, and nobody is from here on
        } else {
            front.drain(toldAt, this::onDrained);
        }
    }

    private void onDrained() {
        if (adminService != null) {
            adminService.close();
        }
        if (console != null) {
            console.close();
        }
        finalMetrics = metrics.text();
        learnedState.saveAtExit(deadlines, shutdownComplete::countDown);
    }
}

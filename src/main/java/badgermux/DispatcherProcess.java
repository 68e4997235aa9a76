package badgermux;

import badgermux.backend.HttpBackendClient;
import badgermux.cli.Commands.ServeOptions;
import badgermux.config.Config;
import badgermux.config.ConfigException;
import badgermux.core.Clock;
import badgermux.core.Deadlines;
import badgermux.core.Engine;
import badgermux.decide.DefaultDispatchPolicy;
import badgermux.decide.DispatchPolicy;
import badgermux.discovery.BackendListCodec;
import badgermux.discovery.DiscoveryClient;
import badgermux.front.Frontend;
import badgermux.http.ForwardedRequest;
import badgermux.log.AsynchronousWriter;
import badgermux.metrics.Metrics;
import badgermux.metrics.Metrics.Count;
import badgermux.upgrade.SettingsReplication;
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

/**
 * Runs one dispatcher: creates its components on one event loop, reloads the configuration on SIGHUP and shuts down on
 * SIGTERM.
 */
final class DispatcherProcess {
    /** What clients send and have not read may take the memory limit divided by this: 12 MB of 192 MB. */
    private static final int CLIENT_MEMORY_DIVISOR = 16;
    /** How long the shutdown waits for the metrics, then for the files, and then for the log, to be written. */
    private static final long OUTPUT_TIMEOUT_MILLIS = 200;

    private final MultiThreadIoEventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Clock clock = new Clock();
    private final CountDownLatch startupComplete = new CountDownLatch(1);
    private final CountDownLatch shutdownComplete = new CountDownLatch(1);
    private final Map<String, String> environment;
    /** The options of the command line; null where there are none. */
    private final ServeOptions options;
    private Metrics metrics;
    private Deadlines deadlines;
    private AdminService adminService;
    private SettingsReplication settingsReplication;
    /** Why this process can't take over from the previous one; null if it can. */
    private volatile String takeoverFailure;
    private OperatorConsole console;
    private LearnedStateStore learnedState;
    /** The task on the event loop that runs the next deadlines; null before the first is scheduled. */
    private Future<?> alarm;
    /** The metrics as of the end of the drain, for standard output. */
    private volatile String finalMetrics = "";
    private Frontend frontend;
    private DiscoveryClient discovery;
    /** Whether SIGTERM was received. Used on the event loop only. */
    private boolean shuttingDown;

    private DispatcherProcess(Map<String, String> environment, ServeOptions options) {
        this.environment = environment;
        this.options = options;
    }

    /** Serves until the shutdown that SIGTERM starts is complete. */
    static void run(Map<String, String> environment) throws ConfigException, InterruptedException {
        new DispatcherProcess(environment, null).serve();
    }

    /** Serves with the options of the command line until the shutdown that SIGTERM starts is complete. */
    static void run(Map<String, String> environment, ServeOptions options)
            throws ConfigException, InterruptedException {
        new DispatcherProcess(environment, options).serve();
    }

    private void serve() throws ConfigException, InterruptedException {
        // Comes before everything else: without a handler, SIGHUP terminates the process.
        SighupHandler.handle(this::reload);
        Config config = Config.read(environment);
        ServerSocketChannel inherited = config.inheritsSocket() ? inheritedSocket() : null;
        metrics = new Metrics(config.settings().classes.stream().map(DispatchPolicy.RequestClass::name).toList());
        deadlines = new Deadlines(clock::nowMicros, this::scheduleAlarm, metrics);
        adminService = options == null ? null : new AdminService(options, loop, clock::nowMicros, this::failTakeover);
        settingsReplication = new SettingsReplication(deadlines, adminService);
        if (adminService != null) {
            adminService.setReplication(settingsReplication);
        }
        console = config.adminAddress() == null ? null
            : new OperatorConsole(config.name(), config.settings().warmUpMicros, environment.get("TMPDIR"), loop, clock,
                config.settingsFingerprint(), settingsReplication,
                () -> adminService == null ? null : adminService.warning());
        ZonePolicy zones = adminService == null ? null : adminService.zonePolicy(config.zoneNames(), config.settings());
        // In a hot restart the previous process sends its learned state, so the file is not read.
        learnedState = new LearnedStateStore(config.inheritsSocket() ? null : environment.get("TMPDIR"), config);
        CompletableFuture<ChannelFuture> bound = new CompletableFuture<>();
        // Before clients can connect: every request accepted is answered, however soon SIGTERM arrives.
        Runtime.getRuntime().addShutdownHook(new Thread(this::shutDown, "end"));
        loop.execute(() -> takeOverAndStart(config, zones, inherited, bound));
        try {
            awaitListeners(config, bound);
        } catch (ConfigException e) {
            shutdownComplete.countDown();      // startup failed, so the shutdown hook must not drain
            throw e;
        }
        startupComplete.countDown();
        shutdownComplete.await();
        if (takeoverFailure != null) {
            throw new ConfigException(takeoverFailure);
        }
    }

    /** Ends this process, which has not begun to serve; the previous one goes on. */
    private void failTakeover(String reason) {
        takeoverFailure = "the settings of the previous process can't be used: " + reason;
        shutdownComplete.countDown();
    }

    private void awaitListeners(Config config, CompletableFuture<ChannelFuture> frontendBound)
            throws ConfigException, InterruptedException {
        try {
            awaitBound("GW_LISTEN (listen)", frontendBound.get());
            if (console != null) {
                ChannelFuture bound = loop.submit(() -> console.listen(config.adminAddress())).get();
                awaitBound("GW_ADMIN (admin)", bound);
                Logger.info("operators call on {}", bound.channel().localAddress());
            }
            Logger.info("{} listens on {}", config.name(), frontend.address());
        } catch (ExecutionException e) {
            throw new ConfigException("settings: " + e.getCause().getMessage());
        }
    }

    /** Returns the listening socket that the parent process passed as descriptor 0. */
    private static ServerSocketChannel inheritedSocket() throws ConfigException {
        try {
            if (System.inheritedChannel() instanceof ServerSocketChannel inherited) {
                return inherited;
            }
        } catch (IOException e) {
            throw new ConfigException("GW_SOCKET_FD: failed to inherit descriptor 0: " + e.getMessage());
        }
        throw new ConfigException("GW_SOCKET_FD: descriptor 0 is not a listening socket");
    }

    private static void awaitBound(String setting, ChannelFuture bound) throws ConfigException, InterruptedException {
        if (!bound.await().isSuccess()) {
            throw new ConfigException(setting + ": failed to bind: " + bound.cause().getMessage());
        }
    }

    /** Asks the previous process, if there may be one, to hand over; then creates all components and starts to serve. */
    private void takeOverAndStart(Config config, ZonePolicy zones, ServerSocketChannel inherited,
            CompletableFuture<ChannelFuture> bound) {
        Consumer<BackendListCodec.BackendList> start = cachedList -> {
            try {
                bound.complete(startComponents(config, zones, inherited, cachedList));
            } catch (RuntimeException e) {
                bound.completeExceptionally(e);
            }
        };
        if (console == null || inherited == null) {
            start.accept(config.cachedList());
        } else {
            console.handover().takeOverFromPrevious(deadlines, previousList -> {
                if (previousList != null) {
                    start.accept(BackendListCodec.BackendList.newer(config.cachedList(), previousList));
                } else {
                    reloadSettings(bound, () -> start.accept(config.cachedList()));
                }
            });
        }
    }

    /** Reads the settings again, which a process that has ended since may have changed after this one read them. */
    private void reloadSettings(CompletableFuture<ChannelFuture> bound, Runnable start) {
        if (adminService == null) {
            start.run();
            return;
        }
        adminService.reload(failure -> {
            if (failure == null) {
                start.run();
            } else {
                bound.completeExceptionally(new IllegalStateException(failure));
            }
        });
    }

    private ChannelFuture startComponents(Config config, ZonePolicy zones, ServerSocketChannel inherited,
            BackendListCodec.BackendList cachedList) {
        if (shuttingDown) {
            throw new IllegalStateException("shut down before clients could connect");
        }
        DispatchPolicy.Settings settings = config.settings();
        settings.holdsUntilListConfirmed = true;
        DescriptorBudget budget = DescriptorBudget.of(config.maxDescriptors(), console != null);
        Engine<ForwardedRequest> engine = new Engine<>(clock::nowMicros, deadlines, metrics, settings.maxAttempts,
            settings.rejectedMayHaveRun);
        HttpBackendClient backends = new HttpBackendClient(loop, deadlines, clock::nowMicros, metrics, engine,
            config.connectTimeoutMicros(), settings.idleTimeoutMicros, budget.backendConnections(),
            settings.reportMode == DispatchPolicy.ReportMode.ON_PROBE);
        discovery = new DiscoveryClient(loop, deadlines, clock, metrics, engine, backends, config.discoveryAddress(),
            cachedList, config.zoneNames(), config.kindNames(), zones == null ? null : zones::keepUnlistedBackends,
            console == null ? null : console.cordons(), settings.listPushed, config.seed());
        frontend = new Frontend(clock::nowMicros, deadlines, metrics, engine, settings, discovery::hasUsableList,
            budget.clientConnections(), budget.excessClientConnections(),
            ((long) config.memoryMb() << 20) / CLIENT_MEMORY_DIVISOR,
            adminService == null ? null : adminService.requestValidator(metrics));
        engine.connect(new DefaultDispatchPolicy(settings, config.seed(), engine, zones), backends, discovery::watch);
        discovery.start();
        learnedState.attach(engine, deadlines);
        if (adminService != null) {
            adminService.listen(deadlines, metrics);
        }
        ChannelFuture listening = inherited == null ? frontend.listen(loop, config.listenAddress())
            : frontend.listen(loop, inherited, console == null || !console.handover().hasPrevious(),
                console == null ? 0 : console.handover().storedQueuedSinceMicros());
        if (console != null) {
            console.attach(discovery, frontend, backends, engine, deadlines, metrics, config.maxDescriptors());
        }
        return listening;
    }

    /**
     * Reloads the configuration. Runs on a separate thread, one signal after another, because the event loop must not
     * read files. A configuration that is not valid changes nothing.
     */
    private synchronized void reload() {
        try {
            startupComplete.await();
            InetSocketAddress address = Config.reload(environment).discoveryAddress();
            loop.execute(() -> {
                metrics.increment(Count.RELOADS);
                Logger.info("Configuration reloaded, discovery address is {}:{}", address.getHostString(), address.getPort());
                discovery.switchTo(address);
            });
        } catch (ConfigException | RuntimeException e) {
            loop.execute(() -> metrics.increment(Count.RELOADS_REJECTED));
            Logger.warn("Configuration reload rejected: {}", e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void scheduleAlarm(long atMicros) {
        if (alarm != null) {
            alarm.cancel(false);
        }
        alarm = loop.schedule(deadlines::runDue, Math.max(0, atMicros - clock.nowMicros()), TimeUnit.MICROSECONDS);
    }

    /** Shutdown hook: returns, and lets the process exit, once every accepted request is answered. */
    private void shutDown() {
        long signalledAtMicros = clock.nowMicros();      // first, since the time until SIGKILL counts from here
        try {
            if (shutdownComplete.getCount() > 0) {
                loop.execute(() -> drain(signalledAtMicros));
                shutdownComplete.await();
                // On a daemon thread with a timeout: a reader that does not drain the pipe must not block the exit.
                Thread printer = new Thread(() -> {
                    System.out.print(finalMetrics);
                    System.out.flush();
                }, "printer");
                printer.setDaemon(true);
                printer.start();
                printer.join(OUTPUT_TIMEOUT_MILLIS);
            }
            if (console != null) {
                console.awaitWritten(OUTPUT_TIMEOUT_MILLIS);
            }
            AsynchronousWriter.awaitWritten(OUTPUT_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void drain(long signalledAtMicros) {
        if (shuttingDown) {
            return;
        }
        shuttingDown = true;
        settingsReplication.stop();
        if (console != null && frontend != null) {
            console.handover().stopTakeovers();
        }
        if (frontend == null) {
            shutdownComplete.countDown();      // no client has connected, and none can from here on
        } else {
            frontend.drain(signalledAtMicros, this::onDrained);
            if (console != null) {
                console.handover().storeQueuedSince();
            }
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

package badgermux;

import badgermux.backend.Backends;
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
import io.netty.channel.ChannelFuture;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/** Joins the parts of one real dispatcher on its event loop, and ends it on SIGTERM. */
final class Server {
    /** Descriptors that are no connections of the front or to backends: files, the selector, the director, some over. */
    private static final int SPARE_DESCRIPTORS = 48;
    /** What bodies may hold until their reqs are answered. */
    private static final long MAX_HELD = 12 << 20;

    private final MultiThreadIoEventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Clock clock = new Clock();
    private final Metrics metrics = new Metrics();
    private final Deadlines deadlines = new Deadlines(clock::now, this::alarm, metrics);
    private final CountDownLatch quiet = new CountDownLatch(1);
    private Future<?> alarm;
    private Front front;

    private Server() { }

    /** Serves until SIGTERM has been dealt with. */
    static void run(Config config) throws ConfigException, InterruptedException {
        new Server().serve(config);
    }

    private void serve(Config config) throws ConfigException, InterruptedException {
        try {
            ChannelFuture bound = loop.submit(() -> start(config)).get().await();
            if (!bound.isSuccess()) {
                throw new ConfigException("GW_LISTEN (listen) can't be bound: " + bound.cause().getMessage());
            }
            Runtime.getRuntime().addShutdownHook(new Thread(this::end, "end"));
            Logger.info("{} listens on {}", config.name(), bound.channel().localAddress());
        } catch (ExecutionException e) {
            throw new ConfigException("settings: " + e.getCause().getMessage());
        }
        quiet.await();
    }

    private ChannelFuture start(Config config) {
        Dispatch.Settings settings = config.settings();
        // Clients with reqs hold a third at most, and each open req may need a backend: the rest leads there.
        int clients = config.sockets() / 3 + config.sockets() / 32;
        int overCap = Math.min(64, config.sockets() / 8);
        int toBackends = config.sockets() - SPARE_DESCRIPTORS - clients - overCap;
        Engine<Relay> engine = new Engine<>(clock::now, deadlines, metrics, settings.maxAttempts);
        Backends backends = new Backends(loop, deadlines, clock::now, metrics, engine, config.connectTimeout(),
            settings.connectionIdle, toBackends, settings.reports == Dispatch.ReportMode.ON_PROBE);
        Director director = new Director(loop, deadlines, clock, metrics, engine, backends, config);
        front = new Front(clock::now, deadlines, metrics, engine, settings, director::isListed, clients, overCap,
            MAX_HELD);
        engine.join(new Dispatcher(settings, config.seed(), engine), backends, director::watch);
        director.start();
        return front.listen(loop, config.listen());
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

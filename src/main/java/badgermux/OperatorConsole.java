package badgermux;

import badgermux.backend.HttpBackendClient;
import badgermux.console.Console;
import badgermux.console.CommandHandler;
import badgermux.core.Clock;
import badgermux.core.Deadlines;
import badgermux.core.Engine;
import badgermux.discovery.DiscoveryClient;
import badgermux.front.Frontend;
import badgermux.cordon.Cordons;
import badgermux.metrics.Metrics;
import badgermux.operator.CordonStore;
import badgermux.upgrade.HandoverLink;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import org.tinylog.Logger;

/** Joins what operators call with what they call for: the console, the runners cordoned, and where those are kept. */
final class OperatorConsole implements CommandHandler {
    /** Keeps a call. */
    private interface CordonUpdate {
        void applyTo(CordonStore folder) throws IOException;
    }

    private final EventLoopGroup loop;
    private final Clock clock;
    private final Cordons cordons;
    private final CordonStore cordonStore;
    /** Files are written here: the event loop waits for no disk. */
    private final ExecutorService writer = Executors.newSingleThreadExecutor(work -> {
        Thread thread = new Thread(work, "out-folder");
        thread.setDaemon(true);
        return thread;
    });
    /** The number of the last call for each runner that a file is being written for. */
    private final Map<String, Long> lastUpdateByBackend = new HashMap<>();
    private final HandoverCoordinator handover;
    private long updateCount;
    private Metrics metrics;
    private DiscoveryClient discovery;
    private Frontend frontend;
    private Console console;

    /**
     * Reads which runners are out.
     *
     * @param name    the dispatcher's: what is kept is kept under it
     * @param coldFor how long a runner that came back is cold
     * @param folder  $TMPDIR; null where nothing can be kept
     * @param fingerprint of all settings
     */
    OperatorConsole(String name, long coldFor, String folder, EventLoopGroup loop, Clock clock, String fingerprint) {
        this.loop = loop;
        this.clock = clock;
        cordons = new Cordons(coldFor);
        Path kept = folder == null || folder.isBlank() ? null
            : Path.of(folder, "badgermux-" + name.replaceAll("[^A-Za-z0-9_.-]", "_"));
        this.cordonStore = openStore(kept, coldFor);
        handover = new HandoverCoordinator(loop, clock, cordons, this.cordonStore == null ? null : kept.resolve("console"), writer,
            fingerprint);
    }

    /** Null where nothing can be kept, which the log says. */
    private CordonStore openStore(Path kept, long coldFor) {
        try {
            if (kept == null) {
                throw new IOException("TMPDIR is not set");
            }
            CordonStore opened = CordonStore.open(kept);
            opened.cordoned().forEach((id, millis) -> cordons.cordon(id, clock.fromUnixMillis(millis)));
            opened.returned(System.currentTimeMillis() - coldFor / 1000).forEach((id, millis) -> cordons.recordAbsence(id,
                new Cordons.Absence(clock.fromUnixMillis(millis[0]), clock.fromUnixMillis(millis[1]))));
            if (!cordons.cordoned().isEmpty()) {
                Logger.info("out by hand: {}", cordons.cordoned().keySet());
            }
            return opened;
        } catch (IOException e) {
            // Guards against a start that fails for it: jobs go before what operators set.
            Logger.warn("runners out by hand are not kept beyond this process: {}", e.toString());
            return null;
        }
    }

    Cordons cordons() {
        return cordons;
    }

    /** The processes before and after this one. */
    HandoverCoordinator handover() {
        return handover;
    }

    /** Called on the event loop before clients are let in. */
    void attach(DiscoveryClient list, Frontend clients, HttpBackendClient runners, Engine<?> engine, Deadlines deadlines, Metrics counts, int sockets) {
        discovery = list;
        frontend = clients;
        metrics = counts;
        console = new Console(loop, deadlines, counts, this, DescriptorBudget.of(sockets, true).consoleConnections());
        handover.attach(list, clients, runners, engine, console, sockets);
    }

    ChannelFuture listen(InetSocketAddress at) {
        ChannelFuture bound = console.listen(at);
        bound.addListener(done -> {
            if (done.isSuccess()) {
                handover.onConsoleListening();
            }
        });
        return bound;
    }

    void close() {
        console.close();
    }

    // ---- What callers reach, on the event loop

    @Override public String notReadyReason() {
        String why = frontend.notReadyReason();
        return why != null ? why : handover.blockedReason();
    }

    @Override public String metricsText() {
        return metrics.dump();
    }

    @Override public void cordon(String id, Consumer<String> told) {
        if (!discovery.names(id) && !cordons.isCordoned(id)) {
            told.accept("no runner has the id " + id);
            return;
        }
        boolean was = cordons.isCordoned(id);
        // At once: what is not sent while the file is written is not missed.
        cordons.cordon(id, clock.nowMicros());
        discovery.republish(id);
        Logger.info("{} is out by hand", id);
        save(id, kept -> kept.cordon(id), (why, last) -> {
            if (why != null && !was && last) {
                cordons.uncordon(id, clock.nowMicros());
                discovery.republish(id);
            } else if (last) {
                handover.broadcast("OUT " + id);
            }
            told.accept(why);
        });
    }

    @Override public void uncordon(String id, Consumer<String> told) {
        if (!cordons.isCordoned(id)) {
            told.accept(discovery.names(id) ? null : "no runner has the id " + id);
            return;
        }
        long since = clock.toUnixMillis(cordons.cordonedSince(id));
        save(id, kept -> kept.uncordon(id, since), (why, last) -> {
            // Guards against a runner in use that a later call has taken out: the last call counts.
            if (why == null && last) {
                long now = clock.nowMicros();
                cordons.uncordon(id, now);
                discovery.republish(id);
                handover.broadcast("BACK " + id + ' ' + clock.toUnixMillis(now));
                Logger.info("{} is back by hand", id);
            }
            told.accept(why);
        });
    }

    @Override public ChannelHandler createHandoverLink(String secret) {
        return handover.createHandoverLink(secret);
    }

    @Override public void startHandover(ChannelHandler by) {
        handover.startHandover((HandoverLink) by);
    }

    /** Told on the event loop why it could not be kept, or null; and whether no later call was for the same runner. */
    private interface SaveListener {
        void onSaved(String why, boolean last);
    }

    private void save(String id, CordonUpdate keeping, SaveListener then) {
        if (cordonStore == null) {
            then.onSaved(null, true);
            return;
        }
        long call = ++updateCount;
        lastUpdateByBackend.put(id, call);
        writer.execute(() -> {
            String why = null;
            try {
                keeping.applyTo(cordonStore);
            } catch (IOException | RuntimeException e) {
                Logger.warn("a call for {} can't be kept: {}", id, e.toString());
                why = "it can't be kept: " + e.getClass().getSimpleName();
            }
            String told = why;
            loop.execute(() -> {
                boolean last = lastUpdateByBackend.remove(id, call);
                then.onSaved(told, last);
            });
        });
    }
}

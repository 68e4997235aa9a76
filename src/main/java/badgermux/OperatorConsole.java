package badgermux;

import badgermux.backend.HttpBackendClient;
import badgermux.console.CommandHandler;
import badgermux.console.Console;
import badgermux.cordon.Cordons;
import badgermux.core.Clock;
import badgermux.core.Deadlines;
import badgermux.core.Engine;
import badgermux.discovery.DiscoveryClient;
import badgermux.front.Frontend;
import badgermux.metrics.Metrics;
import badgermux.operator.CordonStore;
import badgermux.upgrade.HandoverLink;
import badgermux.upgrade.SettingsReplication;
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
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.tinylog.Logger;

/**
 * Carries out the console's commands: applies cordons, stores them on disk, and passes them to the other process of a hot
 * restart.
 */
final class OperatorConsole implements CommandHandler {
    /** A change to the stored cordons. */
    private interface CordonUpdate {
        void applyTo(CordonStore store) throws IOException;
    }

    private final EventLoopGroup loop;
    private final Clock clock;
    private final Cordons cordons;
    /** Null where cordons can't be stored. */
    private final CordonStore cordonStore;
    /** Writes files, because the event loop must not wait for the disk. */
    private final ExecutorService writer = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "out-folder");
        thread.setDaemon(true);
        return thread;
    });
    /** For each backend that has updates not written yet, the number of the last of them. */
    private final Map<String, Long> lastUpdateByBackend = new HashMap<>();
    private final HandoverCoordinator handover;
    private long updateCount;
    private final Supplier<String> warnings;
    private Metrics metrics;
    private DiscoveryClient discovery;
    private Frontend frontend;
    private Console console;

    /**
     * Reads the stored cordons.
     *
     * @param name                the dispatcher's name, part of the name of its folder
     * @param warmUpMicros        how long a backend is cold after it returns from a cordon
     * @param tempFolder          $TMPDIR; null where nothing can be stored
     * @param settingsFingerprint hash of all settings
     * @param settings            replicates what operators have set
     * @param warnings            returns what HEALTH tells beside that this process is ready, or null
     */
    OperatorConsole(String name, long warmUpMicros, String tempFolder, EventLoopGroup loop, Clock clock,
            String settingsFingerprint, SettingsReplication settings, Supplier<String> warnings) {
        this.loop = loop;
        this.warnings = warnings;
        this.clock = clock;
        cordons = new Cordons(warmUpMicros);
        Path folder = tempFolder == null || tempFolder.isBlank() ? null
            : Path.of(tempFolder, "badgermux-" + name.replaceAll("[^A-Za-z0-9_.-]", "_"));
        this.cordonStore = openStore(folder, warmUpMicros);
        handover = new HandoverCoordinator(loop, clock, cordons, this.cordonStore == null ? null : folder.resolve("console"),
            writer, settingsFingerprint, settings);
    }

    /** Opens the store and reads its cordons. Returns null, and logs why, where nothing can be stored. */
    private CordonStore openStore(Path folder, long warmUpMicros) {
        try {
            if (folder == null) {
                throw new IOException("TMPDIR is not set");
            }
            CordonStore opened = CordonStore.open(folder);
            opened.cordoned().forEach((id, sinceMillis) -> cordons.cordon(id, clock.fromUnixMillis(sinceMillis)));
            opened.returned(System.currentTimeMillis() - warmUpMicros / 1000).forEach((id, millisOfCordonAndReturn) ->
                cordons.recordAbsence(id, new Cordons.Absence(clock.fromUnixMillis(millisOfCordonAndReturn[0]),
                    clock.fromUnixMillis(millisOfCordonAndReturn[1]))));
            if (!cordons.cordoned().isEmpty()) {
                Logger.info("Cordoned backends: {}", cordons.cordoned().keySet());
            }
            return opened;
        } catch (IOException e) {
            // Not fatal: serving requests is more important than keeping cordons.
            Logger.warn("Cordons will be lost when this process ends: {}", e.toString());
            return null;
        }
    }

    Cordons cordons() {
        return cordons;
    }

    /** Returns the coordinator of handovers from the previous and to the next process. */
    HandoverCoordinator handover() {
        return handover;
    }

    /** Sets the components that commands use. Called on the event loop before clients can connect. */
    void attach(DiscoveryClient newDiscovery, Frontend newFrontend, HttpBackendClient backends, Engine<?> engine,
            Deadlines deadlines, Metrics newMetrics, int maxDescriptors) {
        discovery = newDiscovery;
        frontend = newFrontend;
        metrics = newMetrics;
        console = new Console(loop, deadlines, newMetrics, this, DescriptorBudget.of(maxDescriptors, true).consoleConnections());
        handover.attach(newDiscovery, newFrontend, backends, engine, console, maxDescriptors);
    }

    ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound = console.listen(address);
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

    /** Waits until all files are written, at most for a time. Called when the process exits, not on the event loop. */
    void awaitWritten(long timeoutMillis) throws InterruptedException {
        writer.shutdown();
        if (!writer.awaitTermination(timeoutMillis, TimeUnit.MILLISECONDS)) {
            Logger.warn("Files were still being written at the exit");
        }
    }

    // ---- Commands, on the event loop

    @Override public String notReadyReason() {
        String reason = frontend.notReadyReason();
        return reason != null ? reason : handover.blockedReason();
    }

    @Override public String warning() {
        return warnings.get();
    }

    @Override public String metricsText() {
        return metrics.dump();
    }

    @Override public void cordon(String id, Consumer<String> onDone) {
        if (!discovery.isListed(id) && !cordons.isCordoned(id)) {
            onDone.accept("no runner has the id " + id);
            return;
        }
        boolean alreadyCordoned = cordons.isCordoned(id);
        // Takes effect before the file is written, so that nothing is sent to the backend meanwhile.
        cordons.cordon(id, clock.nowMicros());
        discovery.republish(id);
        Logger.info("Cordoned backend {}", id);
        save(id, store -> store.cordon(id), (failure, latest) -> {
            // A cordon that could not be stored is undone, unless a later command has changed it.
            if (failure != null && !alreadyCordoned && latest) {
                cordons.uncordon(id, clock.nowMicros());
                discovery.republish(id);
            } else if (latest) {
                handover.broadcast("OUT " + id);
            }
            onDone.accept(failure);
        });
    }

    @Override public void uncordon(String id, Consumer<String> onDone) {
        if (!cordons.isCordoned(id)) {
            onDone.accept(discovery.isListed(id) ? null : "no runner has the id " + id);
            return;
        }
        long cordonedAtMillis = clock.toUnixMillis(cordons.cordonedSince(id));
        save(id, store -> store.uncordon(id, cordonedAtMillis), (failure, latest) -> {
            // Skipped if a later command cordoned the backend again: the latest command wins.
            if (failure == null && latest) {
                long now = clock.nowMicros();
                cordons.uncordon(id, now);
                discovery.republish(id);
                handover.broadcast("BACK " + id + ' ' + clock.toUnixMillis(now));
                Logger.info("Uncordoned backend {}", id);
            }
            onDone.accept(failure);
        });
    }

    @Override public ChannelHandler createHandoverLink(String secret) {
        return handover.createHandoverLink(secret);
    }

    @Override public void startHandover(ChannelHandler link) {
        handover.startHandover((HandoverLink) link);
    }

    /** Called on the event loop after an update was written, or could not be. */
    private interface SaveListener {
        /** {@code failure} is null on success; {@code latest} is false if a later update of the same backend has begun. */
        void onSaved(String failure, boolean latest);
    }

    private void save(String id, CordonUpdate update, SaveListener listener) {
        if (cordonStore == null) {
            listener.onSaved(null, true);
            return;
        }
        long updateNumber = ++updateCount;
        lastUpdateByBackend.put(id, updateNumber);
        writer.execute(() -> {
            String message = null;
            try {
                update.applyTo(cordonStore);
            } catch (IOException | RuntimeException e) {
                Logger.warn("Failed to store the cordon of backend {}: {}", id, e.toString());
                message = "it can't be kept: " + e.getClass().getSimpleName();
            }
            String failure = message;
            loop.execute(() -> {
                boolean latest = lastUpdateByBackend.remove(id, updateNumber);
                listener.onSaved(failure, latest);
            });
        });
    }
}

package badgermux;

import badgermux.admin.AdminDispatcher;
import badgermux.admin.AdminServer;
import badgermux.cli.Commands.ServeOptions;
import badgermux.config.ConfigException;
import badgermux.core.Deadlines;
import badgermux.decide.DispatchPolicy;
import badgermux.front.RequestValidator;
import badgermux.gate.ContractResource;
import badgermux.gate.ZoneResource;
import badgermux.http.Address;
import badgermux.metrics.Metrics;
import badgermux.operator.OperatorSettings;
import badgermux.operator.Snapshot;
import badgermux.operator.SnapshotException;
import badgermux.operator.SnapshotStore;
import badgermux.upgrade.ReplicatedSettings;
import badgermux.upgrade.SettingsReplication;
import badgermux.zone.ZonePolicy;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/**
 * Connects the snapshot, the admin API and the subsystems that operators configure through it. Created only where
 * {@code serve} is started with options.
 */
final class AdminService implements ReplicatedSettings {
    private static final int MIN_TOKEN_CHARS = 16;
    /** The settings thread ends after this time without work. */
    private static final long THREAD_IDLE_SECONDS = 10;
    /** How often a process looks whether the file of the settings has been replaced. */
    private static final long FILE_WATCH_MICROS = 500_000;

    /** Null where the admin API is off. */
    private final InetSocketAddress listenAddress;
    /** The bearer token; null where none is required. */
    private final String token;
    private final EventLoopGroup loop;
    private final ThreadPoolExecutor settingsThread = newSettingsThread();
    /** Whether the settings have a file. */
    private final boolean isStored;
    private final OperatorSettings settings;
    private final AdminDispatcher dispatcher;
    private final ContractResource contractResource;
    private final ZoneResource zoneResource;
    /** Receives the reason where the previous process's settings can't be used. */
    private final Consumer<String> onUnusable;
    /** Null until the admin API is started, and where it is off. */
    private AdminServer server;

    /**
     * Reads the options and the snapshot.
     *
     * @param onUnusable receives, on the event loop, the reason why this process can't take over the settings of the previous
     *                   one
     * @throws ConfigException if an option is invalid, or a file it names can't be used
     */
    AdminService(ServeOptions options, EventLoopGroup loop, LongSupplier clock, Consumer<String> onUnusable)
            throws ConfigException {
        this.loop = loop;
        this.onUnusable = onUnusable;
        listenAddress = options.admin() == null ? null : Address.parse(options.admin());
        if (options.admin() != null && listenAddress == null) {
            throw new ConfigException("--admin must be HOST:PORT, not " + options.admin());
        }
        token = readToken(options.adminTokenFile());
        if (listenAddress != null && token == null && !listenAddress.getAddress().isLoopbackAddress()) {
            throw new ConfigException("--admin-token-file is required unless --admin is a loopback address");
        }
        isStored = options.snapshot() != null;
        try {
            settings = new OperatorSettings(SnapshotStore.open(isStored ? Path.of(options.snapshot()) : null,
                Set.of(ContractResource.SECTION, ZoneResource.SECTION)), loop);
            zoneResource = new ZoneResource(settings, clock);
            contractResource = loadContracts(settings);
        } catch (SnapshotException e) {
            throw new ConfigException("--snapshot: " + e.getMessage());
        } catch (InvalidPathException e) {
            throw new ConfigException("--snapshot is not a valid path");
        }
        settings.add(contractResource);
        settings.add(zoneResource);
        dispatcher = new AdminDispatcher(settingsThread, loop);
        dispatcher.add(ContractResource.SECTION, contractResource);
        dispatcher.add(ZoneResource.SECTION, zoneResource);
    }

    private static ThreadPoolExecutor newSettingsThread() {
        ThreadPoolExecutor executor = new ThreadPoolExecutor(1, 1, THREAD_IDLE_SECONDS, TimeUnit.SECONDS,
            new LinkedBlockingQueue<>(), task -> {
                // A 64 MB stack: compiling a description recurses as deep as it nests.
                Thread thread = new Thread(null, task, "settings", 64 << 20);
                thread.setDaemon(true);
                return thread;
            });
        executor.allowCoreThreadTimeOut(true);
        return executor;
    }

    private ContractResource loadContracts(OperatorSettings loaded) throws SnapshotException {
        try {
            return settingsThread.submit(() -> new ContractResource(loaded)).get();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        } catch (ExecutionException e) {
            if (e.getCause() instanceof SnapshotException cause) {
                throw cause;
            }
            throw new SnapshotException("failed to load: " + e.getCause());
        }
    }

    private static String readToken(String file) throws ConfigException {
        if (file == null) {
            return null;
        }
        try {
            String token = Files.readString(Path.of(file)).strip();
            if (token.length() < MIN_TOKEN_CHARS) {
                throw new ConfigException("--admin-token-file: the token has fewer than " + MIN_TOKEN_CHARS
                    + " characters");
            }
            return token;
        } catch (IOException | InvalidPathException e) {
            throw new ConfigException("--admin-token-file: failed to read " + file);
        }
    }

    /** Returns the policy that limits the use of zones; null where no limits are set. */
    ZonePolicy zonePolicy(List<String> zoneNames, DispatchPolicy.Settings settings) throws ConfigException {
        try {
            return zoneResource.zonePolicy(zoneNames, settings);
        } catch (SnapshotException e) {
            throw new ConfigException("--snapshot: " + e.getMessage());
        }
    }

    /** Returns the validator that checks clients' requests against the loaded contracts. */
    RequestValidator requestValidator(Metrics metrics) {
        return contractResource.contractValidator(loop, metrics);
    }

    /** Sets who gives the settings one owner over a hot restart. To be called before {@link #listen}. */
    void setReplication(SettingsReplication replication) {
        settings.setOwnership(replication);
        dispatcher.setForwarder(replication);
    }

    /** Starts to listen if the admin API is on, and to watch the file. Called on the event loop. */
    void listen(Deadlines deadlines, Metrics metrics) {
        if (listenAddress != null) {
            server = new AdminServer(loop, deadlines, metrics, dispatcher, listenAddress, token);
            server.listen();
        }
        if (isStored) {
            watchFile(deadlines);
        }
    }

    /** Follows a process that this one has no link to and that writes the same file. */
    private void watchFile(Deadlines deadlines) {
        runOnSettingsThread(settings::reloadIfReplaced, failure -> {
            if (failure != null) {
                Logger.error("The stored settings are not used: {}", failure);
            }
            deadlines.scheduleAfter(FILE_WATCH_MICROS, () -> watchFile(deadlines));
        });
    }

    /** Returns what keeps operators from calling the admin API; null if nothing does or it is off. */
    String warning() {
        return server != null && server.isAddressTaken() ? "the admin API can't listen on " + Address.format(listenAddress)
            : null;
    }

    /** Stops accepting connections. */
    void close() {
        if (server != null) {
            server.close();
        }
    }

    // ---- The settings as they are replicated

    @Override public Snapshot current() {
        return settings.current();
    }

    @Override public void encode(Consumer<String> callback) {
        settingsThread.execute(() -> {
            String encoded = settings.current().line();
            loop.execute(() -> callback.accept(encoded));
        });
    }

    @Override public void adopt(String encodedSnapshot, Consumer<String> callback) {
        runOnSettingsThread(() -> settings.adopt(encodedSnapshot), callback);
    }

    @Override public void reload(Consumer<String> callback) {
        runOnSettingsThread(settings::reload, callback);
    }

    private interface SettingsTask {
        void run() throws Exception;
    }

    /** Passes null to the callback, or why the task failed. */
    private void runOnSettingsThread(SettingsTask task, Consumer<String> callback) {
        settingsThread.execute(() -> {
            String failure = null;
            try {
                task.run();
            } catch (SnapshotException e) {
                failure = e.getMessage();
            } catch (Exception | StackOverflowError | OutOfMemoryError e) {
                Logger.error(e, "Exception while taking over settings");
                failure = e.toString();
            }
            String reason = failure;
            loop.execute(() -> callback.accept(reason));
        });
    }

    @Override public void handleForwarded(String encodedCall, Consumer<String> callback) {
        dispatcher.handleForwarded(encodedCall, callback);
    }

    @Override public String adminAddress() {
        return server == null ? null : Address.format(server.address());
    }

    @Override public void onOwnershipPassed(String ownerAddress) {
        InetSocketAddress address = ownerAddress == null ? null : Address.parse(ownerAddress);
        if (server != null && address != null && Address.overlap(address, server.address())) {
            server.close();
        }
    }

    @Override public void onOwnershipTaken() {
        if (server != null) {
            server.listen();
        }
    }

    @Override public void onUnusable(String reason) {
        onUnusable.accept(reason);
    }
}

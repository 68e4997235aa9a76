package badgermux;

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
import badgermux.operator.SnapshotException;
import badgermux.operator.SnapshotStore;
import badgermux.zone.ZonePolicy;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/**
 * Connects the snapshot, the admin API and the subsystems that operators configure through it. Created only where
 * {@code serve} is started with options.
 */
final class AdminService {
    private static final int MIN_TOKEN_CHARS = 16;

    /** Null where the admin API is off. */
    private final InetSocketAddress listenAddress;
    /** The bearer token; null where none is required. */
    private final String token;
    private final EventLoopGroup loop;
    private final ContractResource contractResource;
    private final ZoneResource zoneResource;
    private AdminServer server;

    /**
     * Reads the options and the snapshot.
     *
     * @throws ConfigException if an option is invalid, or a file it names can't be used
     */
    AdminService(ServeOptions options, EventLoopGroup loop, LongSupplier clock) throws ConfigException {
        this.loop = loop;
        listenAddress = options.admin() == null ? null : Address.parse(options.admin());
        if (options.admin() != null && listenAddress == null) {
            throw new ConfigException("--admin must be HOST:PORT, not " + options.admin());
        }
        token = readToken(options.adminTokenFile());
        if (listenAddress != null && token == null && !listenAddress.getAddress().isLoopbackAddress()) {
            throw new ConfigException("--admin-token-file is required unless --admin is a loopback address");
        }
        try {
            SnapshotStore store = SnapshotStore.open(options.snapshot() == null ? null : Path.of(options.snapshot()),
                Set.of(ContractResource.SECTION, ZoneResource.SECTION));
            zoneResource = new ZoneResource(store, loop, clock);
            contractResource = runWithDeepStack(() -> new ContractResource(store, loop));
        } catch (SnapshotException e) {
            throw new ConfigException("--snapshot: " + e.getMessage());
        } catch (InvalidPathException e) {
            throw new ConfigException("--snapshot is not a valid path");
        }
    }

    /** Runs the task on a thread with a 64 MB stack: compiling recurses as deep as the descriptions nest. */
    private static ContractResource runWithDeepStack(java.util.concurrent.Callable<ContractResource> task)
            throws SnapshotException {
        FutureTask<ContractResource> future = new FutureTask<>(task);
        new Thread(null, future, "snapshot", 64 << 20).start();
        try {
            return future.get();
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

    /** Starts to listen if the admin API is on. Called on the event loop. */
    void listen(Deadlines deadlines, Metrics metrics) {
        if (listenAddress == null) {
            return;
        }
        server = new AdminServer(loop, deadlines, metrics, token);
        server.add(ContractResource.SECTION, contractResource);
        server.add(ZoneResource.SECTION, zoneResource);
        ChannelFuture bound = server.listen(listenAddress);
        bound.addListener(done -> {
            if (done.isSuccess()) {
                Logger.info("the admin API listens on {}", bound.channel().localAddress());
            } else {
                Logger.error("Failed to bind the admin API to {}: {}", listenAddress, done.cause().getMessage());
            }
        });
    }

    /** Stops accepting connections. */
    void close() {
        if (server != null) {
            server.close();
        }
    }
}

package badgermux;

import badgermux.admin.AdminServer;
import badgermux.cli.Commands.ServeOptions;
import badgermux.config.ConfigException;
import badgermux.core.Deadlines;
import badgermux.front.RequestValidator;
import badgermux.decide.DispatchPolicy;
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

/** Joins what operators set: the snapshot, the admin API and the subsystems behind it. A plain start has none of it. */
final class AdminService {
    private static final int MIN_TOKEN_CHARS = 16;

    private final InetSocketAddress listenAddress;
    private final String token;
    private final EventLoopGroup loop;
    private final ContractResource contractResource;
    private final ZoneResource zones;
    private AdminServer server;

    /** Reads the options and the snapshot; what can't be used ends the start. */
    AdminService(ServeOptions options, EventLoopGroup loop, LongSupplier clock) throws ConfigException {
        this.loop = loop;
        listenAddress = options.admin() == null ? null : Address.parse(options.admin());
        if (options.admin() != null && listenAddress == null) {
            throw new ConfigException("--admin is no host:port: " + options.admin());
        }
        token = token(options.adminTokenFile());
        if (listenAddress != null && token == null && !listenAddress.getAddress().isLoopbackAddress()) {
            throw new ConfigException("--admin-token-file is needed where --admin is no loopback address");
        }
        try {
            SnapshotStore store = SnapshotStore.open(options.snapshot() == null ? null : Path.of(options.snapshot()),
                Set.of(ContractResource.SECTION, ZoneResource.SECTION));
            zones = new ZoneResource(store, loop, clock);
            contractResource = runWithDeepStack(() -> new ContractResource(store, loop));
        } catch (SnapshotException e) {
            throw new ConfigException("--snapshot: " + e.getMessage());
        } catch (InvalidPathException e) {
            throw new ConfigException("--snapshot is no path");
        }
    }

    /** Compiling goes as deep as descriptions nest: on a stack of its own. */
    private static ContractResource runWithDeepStack(java.util.concurrent.Callable<ContractResource> work)
            throws SnapshotException {
        FutureTask<ContractResource> task = new FutureTask<>(work);
        new Thread(null, task, "snapshot", 64 << 20).start();
        try {
            return task.get();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        } catch (ExecutionException e) {
            if (e.getCause() instanceof SnapshotException told) {
                throw told;
            }
            throw new SnapshotException("it can't be used: " + e.getCause());
        }
    }

    private static String token(String file) throws ConfigException {
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
            throw new ConfigException("--admin-token-file can't be read: " + file);
        }
    }

    /** What limits the module by zones; null where nothing is set. */
    ZonePolicy zones(List<String> names, DispatchPolicy.Settings settings) throws ConfigException {
        try {
            return zones.zonePolicy(names, settings);
        } catch (SnapshotException e) {
            throw new ConfigException("--snapshot: " + e.getMessage());
        }
    }

    RequestValidator gate(Metrics metrics) {
        return contractResource.contractValidator(loop, metrics);
    }

    /** Begins to listen, if it is to; on the event loop. */
    void listen(Deadlines deadlines, Metrics metrics) {
        if (listenAddress == null) {
            return;
        }
        server = new AdminServer(loop, deadlines, metrics, token);
        server.add(ContractResource.SECTION, contractResource);
        server.add(ZoneResource.SECTION, zones);
        ChannelFuture bound = server.listen(listenAddress);
        bound.addListener(done -> {
            if (done.isSuccess()) {
                Logger.info("the admin API listens on {}", bound.channel().localAddress());
            } else {
                Logger.error("the admin API can't listen on {}: {}", listenAddress, done.cause().getMessage());
            }
        });
    }

    void close() {
        if (server != null) {
            server.close();
        }
    }
}

package badgermux.admin;

import badgermux.core.Deadlines;
import badgermux.http.MessageEncoder;
import badgermux.http.MessageHead;
import badgermux.metrics.Metrics;
import badgermux.metrics.Metrics.Count;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * The HTTP server of the admin API. Its connections run on the event loop, which reads requests and writes responses; the
 * {@link AdminDispatcher} has them handled. Where its address is taken, as by the previous process of a hot restart, it tries
 * again until it has it.
 */
public final class AdminServer {
    /** The size limit of a request body, which may be a set of descriptions in JSON. */
    static final int MAX_BODY_BYTES = 40 << 20;
    /** A connection on which no complete request arrives in this time is closed. */
    static final long REQUEST_TIMEOUT_MICROS = 30_000_000;
    private static final int MAX_CONNECTIONS = 8;
    /** The requests that may wait for the one that is handled. */
    private static final int MAX_QUEUED_REQUESTS = 8;
    /** How long the server waits before it tries again to listen. */
    private static final long LISTEN_RETRY_MICROS = 50_000;

    private final Deadlines deadlines;
    private final Metrics metrics;
    private final EventLoopGroup loop;
    /** SHA-256 of the bearer token; null where none is required. */
    private final byte[] tokenDigest;
    private final AdminDispatcher dispatcher;
    private final InetSocketAddress address;
    /** The listening channel, or the one that is being bound; null while the server does not listen. */
    private Channel listener;
    private Deadlines.Deadline listenRetry;
    private boolean isListening;
    /** Whether the last try to listen has failed. */
    private boolean isAddressTaken;
    private int openConnections;
    private int pendingRequests;

    /**
     * Creates a server that does not listen yet.
     *
     * @param address the address to listen on
     * @param token   the bearer token that requests need; null where none is required
     */
    public AdminServer(EventLoopGroup loop, Deadlines deadlines, Metrics metrics, AdminDispatcher dispatcher,
            InetSocketAddress address, String token) {
        this.loop = loop;
        this.deadlines = deadlines;
        this.metrics = metrics;
        this.dispatcher = dispatcher;
        this.address = address;
        this.tokenDigest = token == null ? null : digest(token);
        metrics.registerGauge("admin_listening", () -> isListening ? 1 : 0);
    }

    /** Starts to listen, and tries again until that succeeds or {@link #close} is called. Does nothing if it listens. */
    public void listen() {
        deadlines.cancel(listenRetry);
        if (listener != null) {
            return;
        }
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
            // Accepts one connection per read, so that each is counted before the next is accepted.
            .option(ChannelOption.RECVBUF_ALLOCATOR, new ServerChannelRecvByteBufAllocator())
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new ConnectionInitializer()).bind(address);
        Channel channel = bound.channel();
        listener = channel;
        bound.addListener(done -> onBound(channel, done.cause()));
    }

    private void onBound(Channel channel, Throwable failure) {
        if (channel != listener) {
            channel.close();    // close() was called meanwhile
            return;
        }
        if (failure == null) {
            isListening = true;
            isAddressTaken = false;
            Logger.info("the admin API listens on {}", channel.localAddress());
            return;
        }
        listener = null;
        listenRetry = deadlines.scheduleAfter(LISTEN_RETRY_MICROS, this::listen);
        if (!isAddressTaken) {
            isAddressTaken = true;
            Logger.warn("Failed to bind the admin API to {}, which is tried again: {}", address, failure.getMessage());
        }
    }

    private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {
        @Override protected void initChannel(SocketChannel channel) {
            if (openConnections >= MAX_CONNECTIONS) {
                channel.close();
                return;
            }
            openConnections++;
            channel.closeFuture().addListener(closed -> openConnections--);
            channel.pipeline().addLast(new AdminConnection(AdminServer.this, channel));
        }
    }

    /** Stops accepting connections; those that are open stay. */
    public void close() {
        deadlines.cancel(listenRetry);
        if (listener != null) {
            listener.close();
        }
        listener = null;
        isListening = false;
        isAddressTaken = false;
    }

    /** Whether the server is to listen and can't have its address. */
    public boolean isAddressTaken() {
        return isAddressTaken;
    }

    /** Returns the address that the server listens on; the configured one while it does not listen. */
    public InetSocketAddress address() {
        return isListening ? (InetSocketAddress) listener.localAddress() : address;
    }

    Deadlines deadlines() {
        return deadlines;
    }

    /** Checks a request by its head, before its body is read. Returns the refusal; null where the request is allowed. */
    AdminResponse checkHead(MessageHead head) {
        metrics.increment(Count.ADMIN_CALLS);
        AdminResponse refusal = null;
        if (head.get("Host") == null) {
            refusal = AdminResponse.problem(400, "Host is missing");
        } else if (head.get("Origin") != null) {
            // A web page in an operator's browser must not send requests on their behalf.
            refusal = AdminResponse.problem(403, "calls from web pages are not taken");
        } else if (tokenDigest != null && !isAuthorized(head.get("Authorization"))) {
            refusal = AdminResponse.problem(401, "a bearer token is needed");
        }
        if (refusal != null) {
            metrics.increment(Count.ADMIN_CALLS_REFUSED);
        }
        return refusal;
    }

    /** Compares digests in constant time, so that the duration reveals nothing about the token. */
    private boolean isAuthorized(String authorization) {
        return authorization != null && authorization.regionMatches(true, 0, "Bearer ", 0, 7)
            && MessageDigest.isEqual(tokenDigest, digest(authorization.substring(7).strip()));
    }

    private static byte[] digest(String text) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Handles a request. Called on the event loop; a malformed target or an unknown resource is refused at once, and anything
     * else is passed to the dispatcher.
     *
     * @param body     the body in pieces
     * @param callback receives the response on the event loop
     */
    void handle(String method, String target, String ifMatch, List<byte[]> body, Consumer<AdminResponse> callback) {
        int queryStart = target.indexOf('?');
        List<String> path = new ArrayList<>();
        Map<String, String> query = new HashMap<>();
        try {
            for (String segment : (queryStart < 0 ? target : target.substring(0, queryStart)).substring(1).split("/")) {
                path.add(URLDecoder.decode(segment.replace("+", "%2B"), StandardCharsets.UTF_8));
            }
            for (String pair : queryStart < 0 ? new String[0] : target.substring(queryStart + 1).split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(URLDecoder.decode(parts[0], StandardCharsets.UTF_8),
                    parts.length < 2 ? "" : URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
            }
        } catch (IllegalArgumentException e) {
            callback.accept(AdminResponse.problem(400, "the target is malformed"));
            return;
        }
        if (path.size() < 2 || !path.get(0).equals("v1") || !dispatcher.has(path.get(1))) {
            callback.accept(AdminResponse.problem(404, "there are /v1/" + String.join(", /v1/", dispatcher.resourceNames())));
            return;
        }
        if (pendingRequests > MAX_QUEUED_REQUESTS) {
            callback.accept(AdminResponse.problem(503, "too many calls wait"));
            return;
        }
        pendingRequests++;
        // Joined by the dispatcher's thread: copying a body of megabytes would block the event loop for too long.
        dispatcher.handle(path.get(1), () -> new AdminRequest(method, List.copyOf(path.subList(2, path.size())), query, ifMatch,
            join(body)), !method.equals("GET"), response -> {
                pendingRequests--;
                callback.accept(response);
            });
    }

    private static byte[] join(List<byte[]> pieces) {
        ByteArrayOutputStream joined = new ByteArrayOutputStream(pieces.stream().mapToInt(piece -> piece.length).sum());
        pieces.forEach(joined::writeBytes);
        return joined.toByteArray();
    }

    static io.netty.buffer.ByteBuf encode(AdminResponse response, boolean keepAlive) {
        return MessageEncoder.response(response.status(), response.status() < 300 ? "OK" : "Refused", response.headers(),
            response.body(), keepAlive);
    }
}

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
import java.util.TreeMap;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * The HTTP server of the admin API. Its connections run on the event loop, which reads requests and writes responses; a
 * separate thread handles the requests one after another.
 */
public final class AdminServer {
    /** The size limit of a request body, which may be a set of descriptions in JSON. */
    static final int MAX_BODY_BYTES = 40 << 20;
    /** A connection on which no complete request arrives in this time is closed. */
    static final long REQUEST_TIMEOUT_MICROS = 30_000_000;
    private static final int MAX_CONNECTIONS = 8;
    private static final int MAX_QUEUED_REQUESTS = 8;

    private final Deadlines deadlines;
    private final Metrics metrics;
    private final EventLoopGroup loop;
    /** SHA-256 of the bearer token; null where none is required. */
    private final byte[] tokenDigest;
    private final Map<String, Resource> resources = new TreeMap<>();
    private final ThreadPoolExecutor executor;
    private Channel listener;
    private int openConnections;

    /**
     * Creates a server that does not listen yet.
     *
     * @param token the bearer token that requests need; null where none is required
     */
    public AdminServer(EventLoopGroup loop, Deadlines deadlines, Metrics metrics, String token) {
        this.loop = loop;
        this.deadlines = deadlines;
        this.metrics = metrics;
        this.tokenDigest = token == null ? null : digest(token);
        executor = new ThreadPoolExecutor(1, 1, 10, TimeUnit.SECONDS, new ArrayBlockingQueue<>(MAX_QUEUED_REQUESTS), task -> {
            // A 64 MB stack: compiling a description recurses as deep as it nests.
            Thread thread = new Thread(null, task, "admin", 64 << 20);
            thread.setDaemon(true);
            return thread;
        });
        executor.allowCoreThreadTimeOut(true);
    }

    /** Adds the resource under {@code /v1/NAME}. Must be called before the server listens. */
    public void add(String name, Resource resource) {
        resources.put(name, resource);
    }

    /** Starts to listen on an address. */
    public ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
            // Accepts one connection per read, so that each is counted before the next is accepted.
            .option(ChannelOption.RECVBUF_ALLOCATOR, new ServerChannelRecvByteBufAllocator())
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new ChannelInitializer<SocketChannel>() {
                @Override protected void initChannel(SocketChannel channel) {
                    if (openConnections >= MAX_CONNECTIONS) {
                        channel.close();
                    } else {
                        openConnections++;
                        channel.closeFuture().addListener(closed -> openConnections--);
                        channel.pipeline().addLast(new AdminConnection(AdminServer.this, channel));
                    }
                }
            }).bind(address);
        listener = bound.channel();
        return bound;
    }

    /** Stops accepting connections. */
    public void close() {
        if (listener != null) {
            listener.close();
        }
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
     * else is handled on the admin thread.
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
        Resource resource = path.size() < 2 || !path.get(0).equals("v1") ? null : resources.get(path.get(1));
        if (resource == null) {
            callback.accept(AdminResponse.problem(404, "there are /v1/" + String.join(", /v1/", resources.keySet())));
            return;
        }
        try {
            executor.execute(() -> {
                // Joined on this thread: copying a body of megabytes would block the event loop for too long.
                AdminResponse response = execute(resource, new AdminRequest(method,
                    List.copyOf(path.subList(2, path.size())), query, ifMatch, join(body)));
                loop.execute(() -> callback.accept(response));
            });
        } catch (RejectedExecutionException e) {
            callback.accept(AdminResponse.problem(503, "too many calls wait"));
        }
    }

    private static byte[] join(List<byte[]> pieces) {
        ByteArrayOutputStream joined = new ByteArrayOutputStream(pieces.stream().mapToInt(piece -> piece.length).sum());
        pieces.forEach(joined::writeBytes);
        return joined.toByteArray();
    }

    private static AdminResponse execute(Resource resource, AdminRequest request) {
        try {
            return resource.handle(request);
        } catch (Exception | StackOverflowError e) {
            Logger.error(e, "Exception while handling an admin request");
            return AdminResponse.problem(500, "the call failed; the log says why");
        } catch (OutOfMemoryError e) {
            return AdminResponse.problem(507, "there is not enough memory for it");
        }
    }

    static io.netty.buffer.ByteBuf encode(AdminResponse response, boolean keepAlive) {
        return MessageEncoder.response(response.status(), response.status() < 300 ? "OK" : "Refused", response.headers(),
            response.body(), keepAlive);
    }
}

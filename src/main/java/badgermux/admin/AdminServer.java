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
 * Where operators call: a listener of its own on the event loop, which reads calls and writes answers. What they ask for
 * is carried out by one other thread, one call after another.
 */
public final class AdminServer {
    /** The longest body of a call, in bytes: a set of descriptions, wrapped in JSON. */
    static final int MAX_BODY_BYTES = 40 << 20;
    /** A call must have come whole within this time, in microseconds. */
    static final long REQUEST_TIMEOUT_MICROS = 30_000_000;
    private static final int MAX_CONNECTIONS = 8, MAX_QUEUED_REQUESTS = 8;

    private final Deadlines deadlines;
    private final Metrics metrics;
    private final EventLoopGroup loop;
    private final byte[] tokenDigest;
    private final Map<String, Resource> resources = new TreeMap<>();
    private final ThreadPoolExecutor executor;
    private Channel listener;
    private int openConnections;

    /** {@code token} is null where none is asked for. */
    public AdminServer(EventLoopGroup loop, Deadlines deadlines, Metrics metrics, String token) {
        this.loop = loop;
        this.deadlines = deadlines;
        this.metrics = metrics;
        this.tokenDigest = token == null ? null : digest(token);
        executor = new ThreadPoolExecutor(1, 1, 10, TimeUnit.SECONDS, new ArrayBlockingQueue<>(MAX_QUEUED_REQUESTS), work -> {
            // Descriptions nest deep, and what compiles them goes down with them.
            Thread thread = new Thread(null, work, "admin", 64 << 20);
            thread.setDaemon(true);
            return thread;
        });
        executor.allowCoreThreadTimeOut(true);
    }

    /** Adds what answers under {@code /v1/NAME}; before it listens. */
    public void add(String name, Resource resource) {
        resources.put(name, resource);
    }

    public ChannelFuture listen(InetSocketAddress at) {
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
            // Guards against a batch that is accepted whole before the first of it is counted: one after another.
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
            }).bind(at);
        listener = bound.channel();
        return bound;
    }

    /** Takes no more calls. */
    public void close() {
        if (listener != null) {
            listener.close();
        }
    }

    Deadlines deadlines() {
        return deadlines;
    }

    /** What a head says against its call before any of its body is read; null for nothing. */
    AdminResponse checkHead(MessageHead head) {
        metrics.increment(Count.ADMIN_CALLS);
        AdminResponse reply = null;
        if (head.get("Host") == null) {
            reply = AdminResponse.problem(400, "Host is missing");
        } else if (head.get("Origin") != null) {
            // Guards against a page in an operator's browser that calls in their name.
            reply = AdminResponse.problem(403, "calls from web pages are not taken");
        } else if (tokenDigest != null && !isAuthorized(head.get("Authorization"))) {
            reply = AdminResponse.problem(401, "a bearer token is needed");
        }
        if (reply != null) {
            metrics.increment(Count.ADMIN_CALLS_REFUSED);
        }
        return reply;
    }

    /** Compared as digests in constant time: how long it takes tells nothing of the token. */
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

    /** Has a call carried out, its body in pieces; {@code then} is told on the event loop. */
    void handle(String method, String target, String ifMatch, List<byte[]> body, Consumer<AdminResponse> then) {
        int question = target.indexOf('?');
        List<String> path = new ArrayList<>();
        Map<String, String> query = new HashMap<>();
        try {
            for (String part : (question < 0 ? target : target.substring(0, question)).substring(1).split("/")) {
                path.add(URLDecoder.decode(part.replace("+", "%2B"), StandardCharsets.UTF_8));
            }
            for (String pair : question < 0 ? new String[0] : target.substring(question + 1).split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(URLDecoder.decode(parts[0], StandardCharsets.UTF_8),
                    parts.length < 2 ? "" : URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
            }
        } catch (IllegalArgumentException e) {
            then.accept(AdminResponse.problem(400, "the target is malformed"));
            return;
        }
        Resource resource = path.size() < 2 || !path.get(0).equals("v1") ? null : resources.get(path.get(1));
        if (resource == null) {
            then.accept(AdminResponse.problem(404, "there are /v1/" + String.join(", /v1/", resources.keySet())));
            return;
        }
        try {
            executor.execute(() -> {
                // Joined here: a body of megabytes takes longer to copy than the event loop may stand still.
                AdminResponse reply = execute(resource, new AdminRequest(method, List.copyOf(path.subList(2, path.size())), query,
                    ifMatch, join(body)));
                loop.execute(() -> then.accept(reply));
            });
        } catch (RejectedExecutionException e) {
            then.accept(AdminResponse.problem(503, "too many calls wait"));
        }
    }

    private static byte[] join(List<byte[]> pieces) {
        ByteArrayOutputStream whole = new ByteArrayOutputStream(pieces.stream().mapToInt(p -> p.length).sum());
        pieces.forEach(whole::writeBytes);
        return whole.toByteArray();
    }

    private static AdminResponse execute(Resource resource, AdminRequest call) {
        try {
            return resource.handle(call);
        } catch (Exception | StackOverflowError e) {
            Logger.error(e, "exception in an admin call");
            return AdminResponse.problem(500, "the call failed; the log says why");
        } catch (OutOfMemoryError e) {
            return AdminResponse.problem(507, "there is not enough memory for it");
        }
    }

    static io.netty.buffer.ByteBuf encode(AdminResponse reply, boolean keepAlive) {
        return MessageEncoder.response(reply.status(), reply.status() < 300 ? "OK" : "Refused", reply.headers(), reply.body(),
            keepAlive);
    }
}

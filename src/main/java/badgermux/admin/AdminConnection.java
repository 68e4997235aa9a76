package badgermux.admin;

import badgermux.core.Deadlines;
import badgermux.http.InvalidMessageException;
import badgermux.http.MessageEncoder;
import badgermux.http.MessageHead;
import badgermux.http.MessageReader;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/** An operator's connection. It handles one request at a time; pipelined input is not read before the response is sent. */
final class AdminConnection extends ChannelInboundHandlerAdapter implements MessageReader.Listener {
    private final AdminServer server;
    private final SocketChannel channel;
    private final MessageReader reader = new MessageReader(false, AdminServer.MAX_BODY_BYTES, this);
    private final ByteBuf input = io.netty.buffer.Unpooled.buffer(1024);
    private Deadlines.Deadline timeout;
    private MessageHead head;
    private List<byte[]> body = new ArrayList<>();
    private AdminResponse refusal;
    private boolean requestPending;
    private boolean closing;

    AdminConnection(AdminServer server, SocketChannel channel) {
        this.server = server;
        this.channel = channel;
    }

    @Override public void channelActive(ChannelHandlerContext ctx) {
        timeout = server.deadlines().scheduleAfter(AdminServer.REQUEST_TIMEOUT_MICROS, channel::close);
    }

    @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf in = (ByteBuf) message;
        if (!closing) {
            input.discardReadBytes().writeBytes(in);
        }
        in.release();
        process();
    }

    private void process() {
        try {
            while (!requestPending && !closing && input.isReadable() && reader.read(input)) {
                handleRequest();
            }
        } catch (InvalidMessageException e) {
            respond(AdminResponse.problem(e.status(), e.getMessage()), false);
        }
        channel.config().setAutoRead(!requestPending);
    }

    @Override public void onHead(MessageHead newHead) throws InvalidMessageException {
        head = newHead;
        refusal = server.checkHead(newHead);
        if (refusal != null && refusal.status() != 404) {
            // Responds before the body is read, so that an unauthorized client can't send a large one.
            respond(refusal, false);
        } else if (newHead.hasListItem("Expect", "100-continue")) {
            channel.writeAndFlush(MessageEncoder.message("HTTP/1.1 100 Continue\r\n", new byte[0]));
        }
    }

    @Override public void onBody(byte[] bytes) {
        if (!closing) {
            body.add(bytes);
        }
    }

    private void handleRequest() throws InvalidMessageException {
        if (closing) {
            return;
        }
        String[] requestLine = head.requestLine();
        if (!requestLine[1].startsWith("/")) {
            throw new InvalidMessageException(400, "the target is no path");
        }
        List<byte[]> content = body;
        body = new ArrayList<>();
        boolean keepAlive = head.isKeepAlive();
        requestPending = true;
        server.deadlines().cancel(timeout);
        server.handle(requestLine[0], requestLine[1], head.get("If-Match"), content, response -> {
            requestPending = false;
            respond(response, keepAlive);
        });
    }

    private void respond(AdminResponse response, boolean keepAlive) {
        if (closing) {
            return;
        }
        var written = channel.writeAndFlush(AdminServer.encode(response, keepAlive));
        server.deadlines().cancel(timeout);
        if (keepAlive) {
            timeout = server.deadlines().scheduleAfter(AdminServer.REQUEST_TIMEOUT_MICROS, channel::close);
            process();
            return;
        }
        closing = true;
        // Keeps reading to notice the other side's close at once; otherwise the connection would count until its timeout.
        channel.config().setAutoRead(true);
        input.clear().capacity(0);
        // Lets the other side close first, for a second: an immediate close might reset the connection before the response
        // is read.
        written.addListener(done -> channel.shutdownOutput()).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        timeout = server.deadlines().scheduleAfter(1_000_000, channel::close);
    }

    @Override public void channelInactive(ChannelHandlerContext ctx) {
        closing = true;
        server.deadlines().cancel(timeout);
    }

    @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}

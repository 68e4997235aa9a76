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

/** An operator's connection: one call at a time; what is sent ahead of an answer is not read until then. */
final class AdminConnection extends ChannelInboundHandlerAdapter implements MessageReader.Listener {
    private final AdminServer server;
    private final SocketChannel channel;
    private final MessageReader reader = new MessageReader(false, AdminServer.MAX_BODY_BYTES, this);
    private final ByteBuf pending = io.netty.buffer.Unpooled.buffer(1024);
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
            pending.discardReadBytes().writeBytes(in);
        }
        in.release();
        process();
    }

    private void process() {
        try {
            while (!requestPending && !closing && pending.isReadable() && reader.read(pending)) {
                handleRequest();
            }
        } catch (InvalidMessageException e) {
            respond(AdminResponse.problem(e.status(), e.getMessage()), false);
        }
        channel.config().setAutoRead(!requestPending);
    }

    @Override public void onHead(MessageHead came) throws InvalidMessageException {
        head = came;
        refusal = server.checkHead(came);
        if (refusal != null && refusal.status() != 404) {
            // Guards against a stranger's body: it is not even read.
            respond(refusal, false);
        } else if (came.hasListItem("Expect", "100-continue")) {
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
        String[] line = head.requestLine();
        if (!line[1].startsWith("/")) {
            throw new InvalidMessageException(400, "the target is no path");
        }
        List<byte[]> content = body;
        body = new ArrayList<>();
        boolean keepAlive = head.isKeepAlive();
        requestPending = true;
        server.deadlines().cancel(timeout);
        server.handle(line[0], line[1], head.get("If-Match"), content, reply -> {
            requestPending = false;
            respond(reply, keepAlive);
        });
    }

    private void respond(AdminResponse reply, boolean keepAlive) {
        if (closing) {
            return;
        }
        var written = channel.writeAndFlush(AdminServer.encode(reply, keepAlive));
        server.deadlines().cancel(timeout);
        if (keepAlive) {
            timeout = server.deadlines().scheduleAfter(AdminServer.REQUEST_TIMEOUT_MICROS, channel::close);
            process();
            return;
        }
        closing = true;
        // Guards against connections that count as open until their time is up: the other side's end is read at once.
        channel.config().setAutoRead(true);
        pending.clear().capacity(0);
        // The other side is heard out for a moment, lest a reset eats the answer on its way.
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

package badgermux.admin;

import badgermux.core.Deadlines;
import badgermux.http.BadMessage;
import badgermux.http.Bytes;
import badgermux.http.Head;
import badgermux.http.MessageReader;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/** An operator's connection: one call at a time; what is sent ahead of an answer is not read until then. */
final class AdminConnection extends ChannelInboundHandlerAdapter implements MessageReader.Sink {
    private final AdminServer server;
    private final SocketChannel channel;
    private final MessageReader reader = new MessageReader(false, AdminServer.MAX_BODY, this);
    private final ByteBuf pending = io.netty.buffer.Unpooled.buffer(1024);
    private Deadlines.Deadline limit;
    private Head head;
    private List<byte[]> body = new ArrayList<>();
    private Reply refusal;
    private boolean busy;
    private boolean ended;

    AdminConnection(AdminServer server, SocketChannel channel) {
        this.server = server;
        this.channel = channel;
    }

    @Override public void channelActive(ChannelHandlerContext ctx) {
        limit = server.deadlines().after(AdminServer.WHOLE_WITHIN, channel::close);
    }

    @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf in = (ByteBuf) message;
        if (!ended) {
            pending.discardReadBytes().writeBytes(in);
        }
        in.release();
        process();
    }

    private void process() {
        try {
            while (!busy && !ended && pending.isReadable() && reader.read(pending)) {
                call();
            }
        } catch (BadMessage e) {
            reply(Reply.problem(e.status(), e.getMessage()), false);
        }
        channel.config().setAutoRead(!busy);
    }

    @Override public void head(Head came) throws BadMessage {
        head = came;
        refusal = server.refuses(came);
        if (refusal != null && refusal.status() != 404) {
            // Guards against a stranger's body: it is not even read.
            reply(refusal, false);
        } else if (came.has("Expect", "100-continue")) {
            channel.writeAndFlush(Bytes.message("HTTP/1.1 100 Continue\r\n", new byte[0]));
        }
    }

    @Override public void body(byte[] bytes) {
        if (!ended) {
            body.add(bytes);
        }
    }

    private void call() throws BadMessage {
        if (ended) {
            return;
        }
        String[] line = head.requestLine();
        if (!line[1].startsWith("/")) {
            throw new BadMessage(400, "the target is no path");
        }
        List<byte[]> content = body;
        body = new ArrayList<>();
        boolean keepAlive = head.keepsAlive();
        busy = true;
        server.deadlines().cancel(limit);
        server.handle(line[0], line[1], head.get("If-Match"), content, reply -> {
            busy = false;
            reply(reply, keepAlive);
        });
    }

    private void reply(Reply reply, boolean keepAlive) {
        if (ended) {
            return;
        }
        var written = channel.writeAndFlush(AdminServer.encode(reply, keepAlive));
        server.deadlines().cancel(limit);
        if (keepAlive) {
            limit = server.deadlines().after(AdminServer.WHOLE_WITHIN, channel::close);
            process();
            return;
        }
        ended = true;
        // Guards against connections that count as open until their time is up: the other side's end is read at once.
        channel.config().setAutoRead(true);
        pending.clear().capacity(0);
        // The other side is heard out for a moment, lest a reset eats the answer on its way.
        written.addListener(done -> channel.shutdownOutput()).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        limit = server.deadlines().after(1_000_000, channel::close);
    }

    @Override public void channelInactive(ChannelHandlerContext ctx) {
        ended = true;
        server.deadlines().cancel(limit);
    }

    @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}

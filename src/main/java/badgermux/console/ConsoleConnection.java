package badgermux.console;

import badgermux.core.Deadlines;
import badgermux.metrics.Metrics.Count;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.tinylog.Logger;

/** An operator's connection: one line, in whatever pieces it comes, and its answer. */
final class ConsoleConnection extends ChannelInboundHandlerAdapter {
    private final Console console;
    private final SocketChannel channel;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(32);
    private Deadlines.Deadline limit;
    private boolean called;
    private boolean answered;

    ConsoleConnection(Console console, SocketChannel channel) {
        this.console = console;
        this.channel = channel;
    }

    @Override public void channelActive(ChannelHandlerContext ctx) {
        limit = console.deadlines().after(Console.WHOLE_WITHIN, this::tooLate);
        console.opened(this);
    }

    private void tooLate() {
        console.metrics().add(Count.CONSOLE_CALLERS_SILENT);
        close();
    }

    @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf in = (ByteBuf) message;
        // What comes behind a call is read and forgotten: a close with bytes unread would eat the answer on its way.
        while (!called && in.isReadable()) {
            byte b = in.readByte();
            if (b == '\n' || line.size() > ConsoleCommand.MAX_LINE) {
                call();
            } else {
                line.write(b);
            }
        }
        in.release();
    }

    @Override public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            if (!called && line.size() > 0) {
                call();     // the end of input ends a line, too
            } else if (!called || answered) {
                close();
            }
        }
    }

    private void call() {
        called = true;
        byte[] bytes = line.toByteArray();
        int length = bytes.length > 0 && bytes[bytes.length - 1] == '\r' ? bytes.length - 1 : bytes.length;
        try {
            ConsoleCommand call = ConsoleCommand.parse(Arrays.copyOf(bytes, length));
            console.metrics().add(Count.CONSOLE_CALLS);
            switch (call.word()) {
                case HEALTH -> tell(console.handler().notReady(), "ready");
                case DUMP -> answer("200 figures follow\n" + console.handler().figures() + "EOF\n");
                case OFFLINE -> console.handler().takeOut(call.id(), why -> tell(why, "out: " + call.id()));
                case TAKEOVER -> takeOver(call.id());
                case ONLINE -> console.handler().putBack(call.id(), why -> tell(why, "back: " + call.id()));
            }
        } catch (ConsoleCommand.MalformedCommand e) {
            tell(e.getMessage(), null);
        }
    }

    private void takeOver(String secret) {
        ChannelHandler next = console.handler().takeOver(secret);
        if (next == null) {
            tell("that is not the secret of this process", null);
            return;
        }
        console.deadlines().cancel(limit);
        console.closed(this);
        channel.pipeline().replace(this, "link", next);
        console.handler().takenOver(next);
    }

    private void tell(String no, String yes) {
        if (no != null) {
            console.metrics().add(Count.CONSOLE_CALLS_REFUSED);
        }
        answer(no == null ? "200 " + yes + "\n" : "400 " + no + "\n");
    }

    private void answer(String text) {
        answered = true;
        console.deadlines().cancel(limit);
        console.leaves(this);
        limit = console.deadlines().after(Console.LINGER, this::close);
        channel.writeAndFlush(Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.US_ASCII)))
            .addListener(ChannelFutureListener.CLOSE_ON_FAILURE)
            .addListener(done -> {
                // Guards against a reset that overtakes the answer: the caller closes first, or has a second for it.
                if (channel.isInputShutdown()) {
                    close();
                } else {
                    channel.shutdownOutput();
                }
            });
    }

    void close() {
        channel.close();
    }

    @Override public void channelInactive(ChannelHandlerContext ctx) {
        console.deadlines().cancel(limit);
        console.closed(this);
    }

    @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            console.metrics().add(Count.EXCEPTIONS);
            Logger.error(cause, "exception on an operator's connection");
        }
        ctx.close();
    }
}

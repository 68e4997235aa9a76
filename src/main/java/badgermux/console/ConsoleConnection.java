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
    private Deadlines.Deadline timeout;
    private boolean commandReceived;
    private boolean answered;

    ConsoleConnection(Console console, SocketChannel channel) {
        this.console = console;
        this.channel = channel;
    }

    @Override public void channelActive(ChannelHandlerContext ctx) {
        timeout = console.deadlines().scheduleAfter(Console.COMMAND_TIMEOUT_MICROS, this::onTimeout);
        console.onOpened(this);
    }

    private void onTimeout() {
        console.metrics().increment(Count.CONSOLE_CALLERS_SILENT);
        close();
    }

    @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf in = (ByteBuf) message;
        // What comes behind a call is read and forgotten: a close with bytes unread would eat the answer on its way.
        while (!commandReceived && in.isReadable()) {
            byte b = in.readByte();
            if (b == '\n' || line.size() > ConsoleCommand.MAX_LINE_BYTES) {
                runCommand();
            } else {
                line.write(b);
            }
        }
        in.release();
    }

    @Override public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            if (!commandReceived && line.size() > 0) {
                runCommand();     // the end of input ends a line, too
            } else if (!commandReceived || answered) {
                close();
            }
        }
    }

    private void runCommand() {
        commandReceived = true;
        byte[] bytes = line.toByteArray();
        int length = bytes.length > 0 && bytes[bytes.length - 1] == '\r' ? bytes.length - 1 : bytes.length;
        try {
            ConsoleCommand call = ConsoleCommand.parse(Arrays.copyOf(bytes, length));
            console.metrics().increment(Count.CONSOLE_CALLS);
            switch (call.verb()) {
                case HEALTH -> replyStatus(console.handler().notReadyReason(), "ready");
                case DUMP -> reply("200 figures follow\n" + console.handler().metricsText() + "EOF\n");
                case OFFLINE -> console.handler().cordon(call.argument(), why -> replyStatus(why, "out: " + call.argument()));
                case TAKEOVER -> becomeHandoverLink(call.argument());
                case ONLINE -> console.handler().uncordon(call.argument(), why -> replyStatus(why, "back: " + call.argument()));
            }
        } catch (ConsoleCommand.MalformedCommandException e) {
            replyStatus(e.getMessage(), null);
        }
    }

    private void becomeHandoverLink(String secret) {
        ChannelHandler next = console.handler().createHandoverLink(secret);
        if (next == null) {
            replyStatus("that is not the secret of this process", null);
            return;
        }
        console.deadlines().cancel(timeout);
        console.onClosed(this);
        channel.pipeline().replace(this, "link", next);
        console.handler().startHandover(next);
    }

    private void replyStatus(String no, String yes) {
        if (no != null) {
            console.metrics().increment(Count.CONSOLE_CALLS_REFUSED);
        }
        reply(no == null ? "200 " + yes + "\n" : "400 " + no + "\n");
    }

    private void reply(String text) {
        answered = true;
        console.deadlines().cancel(timeout);
        console.onAnswered(this);
        timeout = console.deadlines().scheduleAfter(Console.LINGER_MICROS, this::close);
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
        console.deadlines().cancel(timeout);
        console.onClosed(this);
    }

    @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            console.metrics().increment(Count.EXCEPTIONS);
            Logger.error(cause, "exception on an operator's connection");
        }
        ctx.close();
    }
}

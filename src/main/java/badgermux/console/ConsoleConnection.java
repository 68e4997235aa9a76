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

/** An operator's connection: reads one command line, which may arrive in pieces, and sends the reply. */
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
        // Input after the command is read and discarded: closing a socket with unread input resets it and may lose the reply.
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
                runCommand();     // the end of input also ends a line
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
            ConsoleCommand command = ConsoleCommand.parse(Arrays.copyOf(bytes, length));
            console.metrics().increment(Count.CONSOLE_CALLS);
            switch (command.verb()) {
                case HEALTH -> replyHealth(console.handler());
                case DUMP -> reply("200 figures follow\n" + console.handler().metricsText() + "EOF\n");
                case OFFLINE -> console.handler().cordon(command.argument(),
                    failure -> replyStatus(failure, "out: " + command.argument()));
                case TAKEOVER -> becomeHandoverLink(command.argument());
                case ONLINE -> console.handler().uncordon(command.argument(),
                    failure -> replyStatus(failure, "back: " + command.argument()));
            }
        } catch (ConsoleCommand.MalformedCommandException e) {
            replyStatus(e.getMessage(), null);
        }
    }

    private void becomeHandoverLink(String secret) {
        ChannelHandler link = console.handler().createHandoverLink(secret);
        if (link == null) {
            replyStatus("that is not the secret of this process", null);
            return;
        }
        console.deadlines().cancel(timeout);
        console.onClosed(this);
        channel.pipeline().replace(this, "link", link);
        console.handler().startHandover(link);
    }

    private void replyHealth(CommandHandler handler) {
        String warning = handler.warning();
        replyStatus(handler.notReadyReason(), warning == null ? "ready" : "ready, but " + warning);
    }

    /** Replies 400 with the failure, or 200 with {@code success} where the failure is null. */
    private void replyStatus(String failure, String success) {
        if (failure != null) {
            console.metrics().increment(Count.CONSOLE_CALLS_REFUSED);
        }
        reply(failure == null ? "200 " + success + "\n" : "400 " + failure + "\n");
    }

    private void reply(String text) {
        answered = true;
        console.deadlines().cancel(timeout);
        console.onAnswered(this);
        timeout = console.deadlines().scheduleAfter(Console.LINGER_MICROS, this::close);
        channel.writeAndFlush(Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.US_ASCII)))
            .addListener(ChannelFutureListener.CLOSE_ON_FAILURE)
            .addListener(done -> {
                // Lets the other side close first, for a second: an immediate close might reset the connection before the
                // reply is read.
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
            Logger.error(cause, "Exception on a console connection");
        }
        ctx.close();
    }
}

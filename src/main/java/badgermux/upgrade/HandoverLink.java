package badgermux.upgrade;

import badgermux.core.Deadlines;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * The connection between two processes of one dispatcher, lines both ways. It ends with either process, and is ended
 * where the other falls silent: each side says something ten times a second.
 */
public final class HandoverLink extends ChannelInboundHandlerAdapter {
    /** Who is told of it, on the event loop. */
    public interface Listener {
        /** A line has come. */
        void onLine(HandoverLink link, String line);

        /** It has ended, in whatever way; told once. */
        void onClosed(HandoverLink link);
    }

    /** How often each side says something. */
    public static final long HEARTBEAT_MICROS = 100_000;
    /** One that says nothing for so long is taken for dead: many beats, since its core may be shared. */
    public static final long SILENCE_TIMEOUT_MICROS = 1_500_000;
    /** A list of thousands of runners fits. */
    private static final int MAX_LINE_BYTES = 4 << 20;

    private final Deadlines deadlines;
    private final Listener listener;
    private final ByteArrayOutputStream lineBuffer = new ByteArrayOutputStream();
    private ChannelHandlerContext context;
    private Deadlines.Deadline silenceTimeout;
    private boolean closed;

    /** Made before its connection is up; it counts as silent from here on. */
    public HandoverLink(Deadlines deadlines, Listener end) {
        this.deadlines = deadlines;
        this.listener = end;
        silenceTimeout = deadlines.scheduleAfter(SILENCE_TIMEOUT_MICROS, this::close);
    }

    @Override public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /** Sends a line; one to a connection that has ended is dropped. */
    public void send(String line) {
        if (!closed && context != null && context.channel().isActive()) {
            context.writeAndFlush(Unpooled.wrappedBuffer((line + "\n").getBytes(StandardCharsets.UTF_8)));
        }
    }

    /** Ends it from this side. */
    public void close() {
        if (context != null) {
            context.close();
        }
        notifyClosed();
    }

    private void notifyClosed() {
        if (!closed) {
            closed = true;
            deadlines.cancel(silenceTimeout);
            listener.onClosed(this);
        }
    }

    @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf in = (ByteBuf) message;
        deadlines.cancel(silenceTimeout);
        silenceTimeout = closed ? null : deadlines.scheduleAfter(SILENCE_TIMEOUT_MICROS, this::close);
        while (in.isReadable() && !closed) {
            byte b = in.readByte();
            if (b == '\n') {
                String line = lineBuffer.toString(StandardCharsets.UTF_8);
                lineBuffer.reset();
                listener.onLine(this, line);
            } else if (lineBuffer.size() < MAX_LINE_BYTES) {
                lineBuffer.write(b);
            } else {
                close();
            }
        }
        in.release();
    }

    @Override public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            close();
        }
    }

    @Override public void channelInactive(ChannelHandlerContext ctx) {
        notifyClosed();
    }

    @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        close();
    }
}

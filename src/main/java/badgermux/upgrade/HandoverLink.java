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
 * The connection between two processes of one dispatcher, which send each other lines of text. The owner of each side sends a
 * line every {@link #HEARTBEAT_MICROS} as a heartbeat; a link on which the other side is silent for too long is closed.
 */
public final class HandoverLink extends ChannelInboundHandlerAdapter implements SettingsReplication.Link {
    /** Receives the events of a link, on the event loop. */
    public interface Listener {
        /** Called for each line received, without its line end. */
        void onLine(HandoverLink link, String line);

        /** Called once when the link is closed, by either side or by an error. */
        void onClosed(HandoverLink link);
    }

    /** The interval at which the owner of each side sends a heartbeat. */
    public static final long HEARTBEAT_MICROS = 100_000;
    /** A silent link is closed after this time: many heartbeats, since the other process may be slowed by sharing a core. */
    public static final long SILENCE_TIMEOUT_MICROS = 1_500_000;
    /** Large enough for a list of thousands of backends. */
    private static final int MAX_LINE_BYTES = 4 << 20;

    private final Deadlines deadlines;
    private final Listener listener;
    private final ByteArrayOutputStream lineBuffer = new ByteArrayOutputStream();
    private ChannelHandlerContext context;
    private Deadlines.Deadline silenceTimeout;
    private boolean closed;

    /** Creates the link before its connection is established; the silence timeout starts here. */
    public HandoverLink(Deadlines deadlines, Listener listener) {
        this.deadlines = deadlines;
        this.listener = listener;
        silenceTimeout = deadlines.scheduleAfter(SILENCE_TIMEOUT_MICROS, this::close);
    }

    @Override public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /** Sends a line. Does nothing if the link is closed. */
    @Override public void send(String line) {
        if (!closed && context != null && context.channel().isActive()) {
            context.writeAndFlush(Unpooled.wrappedBuffer((line + "\n").getBytes(StandardCharsets.UTF_8)));
        }
    }

    /** Closes the connection, if it was established, and notifies the listener unless it was notified before. */
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

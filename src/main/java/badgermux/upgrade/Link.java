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
public final class Link extends ChannelInboundHandlerAdapter {
    /** Who is told of it, on the event loop. */
    public interface End {
        /** A line has come. */
        void line(Link link, String line);

        /** It has ended, in whatever way; told once. */
        void ended(Link link);
    }

    /** How often each side says something. */
    public static final long BEAT = 100_000;
    /** One that says nothing for so long is taken for dead: many beats, since its core may be shared. */
    public static final long SILENT = 1_500_000;
    /** A list of thousands of runners fits. */
    private static final int MAX_LINE = 4 << 20;

    private final Deadlines deadlines;
    private final End end;
    private final ByteArrayOutputStream open = new ByteArrayOutputStream();
    private ChannelHandlerContext context;
    private Deadlines.Deadline silent;
    private boolean ended;

    /** Made before its connection is up; it counts as silent from here on. */
    public Link(Deadlines deadlines, End end) {
        this.deadlines = deadlines;
        this.end = end;
        silent = deadlines.after(SILENT, this::close);
    }

    @Override public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /** Sends a line; one to a connection that has ended is dropped. */
    public void send(String line) {
        if (!ended && context != null && context.channel().isActive()) {
            context.writeAndFlush(Unpooled.wrappedBuffer((line + "\n").getBytes(StandardCharsets.UTF_8)));
        }
    }

    /** Ends it from this side. */
    public void close() {
        if (context != null) {
            context.close();
        }
        over();
    }

    private void over() {
        if (!ended) {
            ended = true;
            deadlines.cancel(silent);
            end.ended(this);
        }
    }

    @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf in = (ByteBuf) message;
        deadlines.cancel(silent);
        silent = ended ? null : deadlines.after(SILENT, this::close);
        while (in.isReadable() && !ended) {
            byte b = in.readByte();
            if (b == '\n') {
                String line = open.toString(StandardCharsets.UTF_8);
                open.reset();
                end.line(this, line);
            } else if (open.size() < MAX_LINE) {
                open.write(b);
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
        over();
    }

    @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        close();
    }
}

package badgermux.scale;

import badgermux.http.InvalidMessageException;
import badgermux.http.MessageHead;
import badgermux.http.MessageReader;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;

/** A connection accepted by a hollow backend or by discovery. Reports each complete request with its size in bytes. */
abstract class HttpServerConnection extends ChannelInboundHandlerAdapter implements MessageReader.Listener {
    private static final int NO_LINGER = 0;

    private final MessageReader reader = new MessageReader(false, MessageReader.MAX_BODY_BYTES, this);
    private Channel channel;
    private MessageHead head;
    private long bytes;

    /** Called on the event loop of the connection for each complete request. */
    abstract void onRequest(MessageHead head, long bytes);

    /** Called when the connection has closed. */
    abstract void onClosed();

    /** Sends bytes; has no effect if the connection has closed. */
    final ChannelFuture write(ByteBuf message) {
        return channel.writeAndFlush(message);
    }

    /** Closes the connection with a TCP reset. */
    final void reset() {
        channel.config().setOption(ChannelOption.SO_LINGER, NO_LINGER);
        channel.close();
    }

    /** Stops reading: the peer gets no further responses, and its connection stays open. */
    final void stopReading() {
        channel.config().setAutoRead(false);
    }

    @Override public final void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    @Override public final void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf in = (ByteBuf) message;
        try {
            while (in.isReadable()) {
                int before = in.readableBytes();
                boolean complete = reader.read(in);
                bytes += before - in.readableBytes();
                if (complete) {
                    long size = bytes;
                    bytes = 0;
                    onRequest(head, size);
                }
            }
        } catch (InvalidMessageException e) {
            reset();
        } finally {
            in.release();
        }
    }

    @Override public final void onHead(MessageHead next) {
        head = next;
    }

    @Override public final void onBody(byte[] part) { }

    @Override public final void channelInactive(ChannelHandlerContext ctx) {
        onClosed();
    }

    @Override public final void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();    // the peer has reset the connection
    }
}

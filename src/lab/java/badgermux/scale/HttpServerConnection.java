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

/** A connection that a stand-in accepted: it tells of whole requests, and with how many bytes each came. */
abstract class HttpServerConnection extends ChannelInboundHandlerAdapter implements MessageReader.Listener {
    private static final int NO_LINGER = 0;

    private final MessageReader reader = new MessageReader(false, MessageReader.MAX_BODY_BYTES, this);
    private Channel channel;
    private MessageHead head;
    private long bytes;

    /** A request is whole; called on the connection's event loop. */
    abstract void onRequest(MessageHead head, long bytes);

    /** The connection has ended. */
    abstract void onClosed();

    /** Sends bytes; the connection may have ended. */
    final ChannelFuture write(ByteBuf message) {
        return channel.writeAndFlush(message);
    }

    final void reset() {
        channel.config().setOption(ChannelOption.SO_LINGER, NO_LINGER);
        channel.close();
    }

    /** Stops reading: who is at the other end hears nothing more, and its connection stays open. */
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
                boolean whole = reader.read(in);
                bytes += before - in.readableBytes();
                if (whole) {
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
        ctx.close();    // the other end has reset it
    }
}

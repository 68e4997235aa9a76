package badgermux.front;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Handles failures of a listener to accept, mostly for lack of a descriptor. It keeps them from Netty's own handler, which
 * would stop accepting for a second, during which requests on connections in the socket's queue lie unread, and would then
 * resume even if the frontend has stopped accepting.
 */
final class AcceptFailureHandler extends ChannelInboundHandlerAdapter {
    private final Runnable pauseAccepting;

    /**
     * Creates a handler for a listener's pipeline.
     *
     * @param pauseAccepting stops accepting for a short time; called on the event loop
     */
    AcceptFailureHandler(Runnable pauseAccepting) {
        this.pauseAccepting = pauseAccepting;
    }

    @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        pauseAccepting.run();
    }
}

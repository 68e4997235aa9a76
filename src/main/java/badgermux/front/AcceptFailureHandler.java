package badgermux.front;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Takes the failures of a listener, mostly for want of a descriptor, from Netty's own handler behind it, which would stop
 * accepting for a whole second, in which requests that the system let in lie unread, and go on accepting then whatever the
 * front wants.
 */
final class AcceptFailureHandler extends ChannelInboundHandlerAdapter {
    private final Runnable pauseAccepting;

    /**
     * Makes one for a listener.
     *
     * @param pause stops accepting for a moment; called on the event loop
     */
    AcceptFailureHandler(Runnable pause) {
        this.pauseAccepting = pause;
    }

    @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        pauseAccepting.run();
    }
}

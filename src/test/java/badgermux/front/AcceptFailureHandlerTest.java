package badgermux.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

/** Tests that failures to accept do not reach Netty's own handler. */
class AcceptFailureHandlerTest {
    @Test void acceptFailurePausesAcceptingAndIsNotPassedOn() {
        AtomicInteger pauses = new AtomicInteger();
        AtomicReference<Throwable> passedOn = new AtomicReference<>();
        EmbeddedChannel listener = new EmbeddedChannel(new AcceptFailureHandler(pauses::incrementAndGet),
            new ChannelInboundHandlerAdapter() {
                @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                    passedOn.set(cause);
                }
            });
        listener.pipeline().fireExceptionCaught(new IOException("Too many open files"));
        assertEquals(1, pauses.get());
        assertNull(passedOn.get(), "the next handler, Netty's, would stop accepting for a second");
        listener.finishAndReleaseAll();
    }
}

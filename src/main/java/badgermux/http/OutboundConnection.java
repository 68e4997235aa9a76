package badgermux.http;

import badgermux.core.AfterInputExecutor;
import badgermux.core.Deadlines;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.tinylog.Logger;

/** A connection that we opened. It carries one exchange at a time, and sends nothing twice. */
public final class OutboundConnection extends ChannelInboundHandlerAdapter implements MessageReader.Listener {
    /** A request and what comes back. */
    public interface Exchange extends MessageReader.Listener {
        ByteBuf createRequest();

        /** The request has left whole: told once, also where nobody waits for what comes back any more. */
        default void onRequestWritten() { }

        /** The response is whole. The connection may be used again by then, if {@link #isReusable}. */
        void onResponseEnded();

        /** The connection failed first, or the response made no sense; {@code written}: the request had left whole. */
        void onConnectionFailed(boolean requestWritten);

        /** All bytes that have come are read, and the response goes on. */
        default void onInputProcessed() { }
    }

    private final Deadlines deadlines;
    private final MessageReader reader;
    private final Runnable onClose;
    private final Channel channel;
    private final AfterInputExecutor afterInput;
    private Deadlines.Deadline connectTimeout;
    private Exchange exchange;
    private boolean isConnected;
    private boolean isRequestWritten;
    private boolean mayBeReused = true;
    private boolean isClosed;

    /** Begins to connect; {@code onClose} is run once, when the connection has ended in whatever way. */
    public OutboundConnection(EventLoopGroup loop, Deadlines deadlines, InetSocketAddress to, long connectTimeout,
            int maxBody, Runnable onClose) {
        this.deadlines = deadlines;
        this.onClose = onClose;
        reader = new MessageReader(true, maxBody, this);
        this.connectTimeout = deadlines.scheduleAfter(connectTimeout, this::close);
        ChannelFuture connecting = new Bootstrap().group(loop).channel(NioSocketChannel.class).handler(this)
            .option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0).connect(to);
        channel = connecting.channel();
        EventLoop owner = loop.next();
        afterInput = new AfterInputExecutor(owner);
        connecting.addListener(done -> {
            // Guards against a socket that could not be opened, for want of descriptors: that is told on another thread.
            if (owner.inEventLoop()) {
                isConnected(done.isSuccess());
            } else {
                owner.execute(() -> isConnected(done.isSuccess()));
            }
        });
    }

    private void isConnected(boolean up) {
        deadlines.cancel(connectTimeout);
        if (up) {
            // Guards against a request written for a client whose end lies in the same round of input as this.
            afterInput.execute(this::writeFirstRequest);
        } else {
            close();
        }
    }

    /** Sends an exchange's request, as soon as the connection is up. */
    public void start(Exchange next) {
        if (exchange != null) {
            throw new IllegalStateException("a second exchange on one connection");
        }
        if (isClosed) {
            next.onConnectionFailed(false);
            return;
        }
        exchange = next;
        isRequestWritten = false;
        if (isConnected) {
            writeRequest();
        }
    }

    private void writeFirstRequest() {
        isConnected = true;
        writeRequest();
    }

    private void writeRequest() {
        Exchange writing = exchange;
        if (writing != null && !isClosed) {
            channel.writeAndFlush(writing.createRequest()).addListener(done -> {
                if (done.isSuccess()) {
                    isRequestWritten |= exchange == writing;
                    writing.onRequestWritten();
                } else {
                    close();
                }
            });
        }
    }

    /** Whether there was a descriptor for it; if not, {@code onClose} is run soon, as for one that does not come up. */
    public boolean hasDescriptor() {
        return channel.isOpen();
    }

    public boolean isReusable() {
        return mayBeReused && !isClosed && exchange == null;
    }

    /** Drops the exchange, of which nothing more is told, and the connection with it. */
    public void abort() {
        exchange = null;
        close();
    }

    /** Closes; an exchange under way is broken by it. */
    public void close() {
        if (isClosed) {
            return;
        }
        isClosed = true;
        deadlines.cancel(connectTimeout);
        // Guards against an exception in place of all that follows: what was never opened can't be closed.
        if (hasDescriptor()) {
            channel.close();
        }
        onClose.run();
        failExchange();
    }

    private void failExchange() {
        Exchange broken = exchange;
        exchange = null;
        if (broken != null) {
            broken.onConnectionFailed(isRequestWritten);
        }
    }

    @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf in = (ByteBuf) message;
        try {
            // Bytes that no request asked for: what follows on this connection can't be trusted.
            if (exchange == null) {
                close();
                return;
            }
            Exchange reading = exchange;
            boolean ended = reader.read(in);
            if (ended && exchange == reading) {
                mayBeReused &= isRequestWritten && !in.isReadable();
                endExchange(reading);
            } else if (exchange == reading) {
                reading.onInputProcessed();
            }
        } catch (InvalidMessageException e) {
            close();
        } finally {
            in.release();
        }
    }

    private void endExchange(Exchange ended) {
        exchange = null;
        if (!mayBeReused) {
            close();
        }
        ended.onResponseEnded();
    }

    @Override public void onHead(MessageHead head) throws InvalidMessageException {
        mayBeReused &= head.isKeepAlive();
        if (exchange != null) {
            exchange.onHead(head);
        }
    }

    @Override public void onBody(byte[] bytes) throws InvalidMessageException {
        // What came before may have had this exchange dropped.
        if (exchange != null) {
            exchange.onBody(bytes);
        }
    }

    @Override public void channelInactive(ChannelHandlerContext ctx) {
        if (!isClosed && exchange != null && reader.endOfInput()) {
            mayBeReused = false;
            endExchange(exchange);
        }
        close();
    }

    @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            Logger.error(cause, "exception on a connection that we opened");
        }
        close();
    }
}

package badgermux.http;

import badgermux.core.AfterInput;
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
public final class ClientConnection extends ChannelInboundHandlerAdapter implements MessageReader.Sink {
    /** A request and what comes back. */
    public interface Exchange extends MessageReader.Sink {
        ByteBuf request();

        /** The request has left whole: told once, also where nobody waits for what comes back any more. */
        default void written() { }

        /** The response is whole. The connection may be used again by then, if {@link #isReusable}. */
        void ended();

        /** The connection failed first, or the response made no sense; {@code written}: the request had left whole. */
        void broken(boolean written);

        /** All bytes that have come are read, and the response goes on. */
        default void progressed() { }
    }

    private final Deadlines deadlines;
    private final MessageReader reader;
    private final Runnable onClose;
    private final Channel channel;
    private final AfterInput afterInput;
    private Deadlines.Deadline connectLimit;
    private Exchange exchange;
    private boolean connected;
    private boolean written;
    private boolean reusable = true;
    private boolean closed;

    /** Begins to connect; {@code onClose} is run once, when the connection has ended in whatever way. */
    public ClientConnection(EventLoopGroup loop, Deadlines deadlines, InetSocketAddress to, long connectTimeout,
            int maxBody, Runnable onClose) {
        this.deadlines = deadlines;
        this.onClose = onClose;
        reader = new MessageReader(true, maxBody, this);
        connectLimit = deadlines.after(connectTimeout, this::close);
        ChannelFuture connecting = new Bootstrap().group(loop).channel(NioSocketChannel.class).handler(this)
            .option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0).connect(to);
        channel = connecting.channel();
        EventLoop owner = loop.next();
        afterInput = new AfterInput(owner);
        connecting.addListener(done -> {
            // Guards against a socket that could not be opened, for want of descriptors: that is told on another thread.
            if (owner.inEventLoop()) {
                connected(done.isSuccess());
            } else {
                owner.execute(() -> connected(done.isSuccess()));
            }
        });
    }

    private void connected(boolean up) {
        deadlines.cancel(connectLimit);
        if (up) {
            // Guards against a request written for a client whose end lies in the same round of input as this.
            afterInput.execute(this::writeFirst);
        } else {
            close();
        }
    }

    /** Sends an exchange's request, as soon as the connection is up. */
    public void start(Exchange next) {
        if (exchange != null) {
            throw new IllegalStateException("a second exchange on one connection");
        }
        if (closed) {
            next.broken(false);
            return;
        }
        exchange = next;
        written = false;
        if (connected) {
            write();
        }
    }

    private void writeFirst() {
        connected = true;
        write();
    }

    private void write() {
        Exchange writing = exchange;
        if (writing != null && !closed) {
            channel.writeAndFlush(writing.request()).addListener(done -> {
                if (done.isSuccess()) {
                    written |= exchange == writing;
                    writing.written();
                } else {
                    close();
                }
            });
        }
    }

    /** Whether there was a descriptor for it; if not, {@code onClose} is run soon, as for one that does not come up. */
    public boolean isOpened() {
        return channel.isOpen();
    }

    public boolean isReusable() {
        return reusable && !closed && exchange == null;
    }

    /** Drops the exchange, of which nothing more is told, and the connection with it. */
    public void abort() {
        exchange = null;
        close();
    }

    /** Closes; an exchange under way is broken by it. */
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        deadlines.cancel(connectLimit);
        // Guards against an exception in place of all that follows: what was never opened can't be closed.
        if (isOpened()) {
            channel.close();
        }
        onClose.run();
        breakOff();
    }

    private void breakOff() {
        Exchange broken = exchange;
        exchange = null;
        if (broken != null) {
            broken.broken(written);
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
                reusable &= written && !in.isReadable();
                end(reading);
            } else if (exchange == reading) {
                reading.progressed();
            }
        } catch (BadMessage e) {
            close();
        } finally {
            in.release();
        }
    }

    private void end(Exchange ended) {
        exchange = null;
        if (!reusable) {
            close();
        }
        ended.ended();
    }

    @Override public void head(Head head) throws BadMessage {
        reusable &= head.keepsAlive();
        if (exchange != null) {
            exchange.head(head);
        }
    }

    @Override public void body(byte[] bytes) throws BadMessage {
        // What came before may have had this exchange dropped.
        if (exchange != null) {
            exchange.body(bytes);
        }
    }

    @Override public void channelInactive(ChannelHandlerContext ctx) {
        if (!closed && exchange != null && reader.endOfInput()) {
            reusable = false;
            end(exchange);
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

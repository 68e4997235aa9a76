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

/** A connection that this process opens. It carries one exchange at a time and never sends a request twice. */
public final class OutboundConnection extends ChannelInboundHandlerAdapter
        implements ExchangeConnection, MessageReader.Listener {
    private final Deadlines deadlines;
    private final MessageReader reader;
    private final Runnable onClose;
    private final Channel channel;
    private final AfterInputExecutor afterInput;
    private Deadlines.Deadline connectTimeout;
    /** Null while the connection is idle. */
    private Exchange exchange;
    private boolean isConnected;
    private boolean isRequestWritten;
    private boolean mayBeReused = true;
    private boolean isClosed;

    /**
     * Starts to connect.
     *
     * @param connectTimeoutMicros how long connecting may take
     * @param maxBodyBytes         the longest body of a response
     * @param onClose              run once, when the connection is closed or could not be established
     */
    public OutboundConnection(EventLoopGroup loop, Deadlines deadlines, InetSocketAddress address, long connectTimeoutMicros,
            int maxBodyBytes, Runnable onClose) {
        this.deadlines = deadlines;
        this.onClose = onClose;
        reader = new MessageReader(true, maxBodyBytes, this);
        connectTimeout = deadlines.scheduleAfter(connectTimeoutMicros, this::close);
        ChannelFuture connecting = new Bootstrap().group(loop).channel(NioSocketChannel.class).handler(this)
            .option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0).connect(address);
        channel = connecting.channel();
        EventLoop owner = loop.next();
        afterInput = new AfterInputExecutor(owner);
        connecting.addListener(done -> {
            // Netty reports on another thread that a socket could not be opened for lack of a descriptor.
            if (owner.inEventLoop()) {
                connectEnded(done.isSuccess());
            } else {
                owner.execute(() -> connectEnded(done.isSuccess()));
            }
        });
    }

    private void connectEnded(boolean isSuccess) {
        deadlines.cancel(connectTimeout);
        if (isSuccess) {
            // Writes after this round of input, in which the disconnect of the request's client may be read.
            afterInput.execute(this::writeFirstRequest);
        } else {
            close();
        }
    }

    @Override public void start(Exchange next) {
        if (exchange != null) {
            throw new IllegalStateException("connection already has an exchange");
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

    @Override public boolean hasDescriptor() {
        return channel.isOpen();
    }

    @Override public boolean isReusable() {
        return mayBeReused && !isClosed && exchange == null;
    }

    @Override public void abort() {
        exchange = null;
        close();
    }

    @Override public void close() {
        if (isClosed) {
            return;
        }
        isClosed = true;
        deadlines.cancel(connectTimeout);
        // Closing a channel that was never opened would throw and skip the rest.
        if (hasDescriptor()) {
            channel.close();
        }
        onClose.run();
        failExchange();
    }

    private void failExchange() {
        Exchange failed = exchange;
        exchange = null;
        if (failed != null) {
            failed.onConnectionFailed(isRequestWritten);
        }
    }

    @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf in = (ByteBuf) message;
        try {
            // Input without a request: later responses on this connection could not be assigned to their requests.
            if (exchange == null) {
                close();
                return;
            }
            Exchange reading = exchange;
            boolean isComplete = reader.read(in);
            if (isComplete && exchange == reading) {
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
        // Processing the input before may have aborted the exchange.
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
            Logger.error(cause, "Unexpected exception on an outbound connection");
        }
        close();
    }
}

package badgermux.front;

import badgermux.core.Deadlines;
import badgermux.http.InvalidMessageException;
import badgermux.http.MessageEncoder;
import badgermux.http.MessageHead;
import badgermux.http.MessageReader;
import badgermux.metrics.Metrics.Count;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.SocketChannel;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.tinylog.Logger;

/** A client's connection. Serves one request at a time and gives each its final answer. */
final class FrontendConnection extends ChannelInboundHandlerAdapter
        implements MessageReader.Listener, ClientMemory.Holder, PipelinedRequestQueue.Connection {
    /** How long a connection may be silent before its first request or within a request. */
    static final long READ_TIMEOUT_MICROS = 2_000_000;
    /** How long a request may take from its first byte to its last. */
    static final long REQUEST_READ_TIMEOUT_MICROS = 8_000_000;
    /** How long a client may take to read an answer, as far as it does not fit into the system's buffers. */
    static final long ANSWER_READ_TIMEOUT_MICROS = REQUEST_READ_TIMEOUT_MICROS;
    /** Bytes of a request that come this long after the previous ones were sent separately: the client is still sending. */
    private static final long SEPARATE_SEND_GAP_MICROS = 20_000;
    /** A wait to be accepted that needs no account: less than a round of the event loop takes. */
    private static final long NEGLIGIBLE_WAIT_MICROS = 1_000;
    /** How long a closing connection is still read after this side has been shut down. */
    static final long LINGER_MICROS = 500_000;
    /** How many bytes are discarded behind the last request of a connection before it is closed or aborted. */
    private static final long MAX_DISCARDED_BYTES = 1 << 20;
    /** Initial capacity of the buffer of unread input. */
    private static final int INITIAL_BUFFER_BYTES = 1024;
    /** How many bytes may follow a queued request: clients send one request at a time. */
    static final int MAX_PIPELINED_BYTES = 1 << 20;
    /** How long a client that has sent too much is left its open request before it is rejected. */
    private static final long EXCESS_INPUT_GRACE_MICROS = READ_TIMEOUT_MICROS;

    private final Frontend frontend;
    private final SocketChannel channel;
    private final MessageReader reader = new MessageReader(false, MessageReader.MAX_BODY_BYTES, this);
    private final ByteBuf unreadInput = Unpooled.buffer(INITIAL_BUFFER_BYTES);
    private final long openedMicros;
    /** The earliest time at which the connection can have arrived in the listening socket's queue. */
    private final long earliestArrivalMicros;
    /** Null if no part of a request has been received. */
    private ClientRequest receivingRequest;
    /** The complete request behind the current one; null if there is none. */
    private ClientRequest queuedRequest;
    /** The request that is being served; null if there is none. */
    private ClientRequest currentRequest;
    private Deadlines.Deadline readTimeout;
    private long lastReadMicros;
    /**
     * The earliest time at which the last input can have arrived: before {@link #lastReadMicros} if the event loop stalled, or
     * if the connection waited to be accepted.
     */
    private long arrivalMicros;
    /** Whether input that is read now may have arrived while the connection waited to be accepted. */
    private boolean mayReadQueuedInput;
    /** Whether the connection waited to be accepted, so that the client of its first request may have disconnected. */
    private boolean wasAcceptedLate;
    private ChannelFuture lastWrite;
    private boolean isReceivingInPieces;
    /** Whether the last request of the connection has been received: input behind it is not read as a request. */
    private boolean isInputEnded;
    private long discardedBytes;
    /** What the client is told that has sent too much, behind the answer to its open request; null if it has not. */
    private String excessInputMessage;
    private long closingMicros;
    private boolean hasSentRequest;
    private boolean isProcessing;
    /** Whether a request waits for its turn in the queue of pipelined requests. */
    private boolean isInRequestQueue;
    private boolean keepAlive = true;
    private boolean isClosing;
    /** Whether this side is closing the connection between two requests, and nothing has arrived since. */
    private boolean mayCrossRequest;
    private boolean isClosed;

    /**
     * Creates a handler for an accepted connection.
     *
     * @param earliestArrivalMicros the earliest time at which the connection can have arrived in the listening socket's queue
     */
    FrontendConnection(Frontend frontend, SocketChannel channel, long earliestArrivalMicros) {
        this.frontend = frontend;
        this.channel = channel;
        this.earliestArrivalMicros = earliestArrivalMicros;
        openedMicros = frontend.nowMicros();
        lastReadMicros = openedMicros;
    }

    /** Returns when the connection was accepted. */
    long openedMicros() {
        return openedMicros;
    }

    /** Returns when input was last read; before the first input, when the connection was accepted. */
    long lastReadMicros() {
        return lastReadMicros;
    }

    /** Returns when the first byte of the partial request was read; without one, {@link #lastReadMicros()}. */
    long requestStartMicros() {
        return receivingRequest == null ? lastReadMicros : receivingRequest.startMicros();
    }

    /** Whether the partial request has come in separate pieces, so that its client is still sending. */
    boolean isReceivingInPieces() {
        return isReceivingInPieces;
    }

    /** Whether a valid POST request has been received; it never is on connections of misbehaving clients. */
    boolean hasSentRequest() {
        return hasSentRequest;
    }

    @Override public void channelActive(ChannelHandlerContext ctx) {
        readTimeout = frontend.deadlines().scheduleAfter(READ_TIMEOUT_MICROS, this::readTimedOut);
        wasAcceptedLate = frontend.connections().isAtLimit()
            || openedMicros - earliestArrivalMicros > ClientRequest.LATE_ACCEPT_WAIT_MICROS;
        if (openedMicros - earliestArrivalMicros > NEGLIGIBLE_WAIT_MICROS) {
            mayReadQueuedInput = true;
            channel.eventLoop().execute(
                () -> frontend.deadlines().scheduleAfterNextRound(() -> mayReadQueuedInput = false));
        }
        lastWrite = channel.newSucceededFuture();
        frontend.connectionOpened(this);
    }

    @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf in = (ByteBuf) message;
        if (isClosing || isInputEnded) {
            discard(in);
            return;
        }
        long now = frontend.nowMicros();
        isReceivingInPieces |= receivingRequest != null && now - lastReadMicros > SEPARATE_SEND_GAP_MICROS;
        lastReadMicros = now;
        // The client's deadline counts from its last byte, which may have arrived before this read.
        long readArrivalMicros = frontend.connections().inputReadUntilMicros();
        if (mayReadQueuedInput) {
            readArrivalMicros = Math.min(readArrivalMicros, earliestArrivalMicros);
        }
        // Input from earlier reads that waits behind a queued request arrived no later than then.
        arrivalMicros = unreadInput.isReadable() ? Math.min(arrivalMicros, readArrivalMicros) : readArrivalMicros;
        unreadInput.discardSomeReadBytes().writeBytes(in);
        in.release();
        processInput(!isInRequestQueue);
    }

    /** The turn of this connection in the queue of pipelined requests has come. */
    @Override public void takeQueuedRequest() {
        isInRequestQueue = false;
        try {
            processInput(true);
        } catch (RuntimeException e) {
            failUnexpectedly(e);
        }
    }

    /**
     * Reads and discards input that is not taken for a request. Closing with unread input resets the connection and loses the
     * response on its way; and behind the last request of a client its disconnect is still to be noticed.
     */
    private void discard(ByteBuf in) {
        if (mayCrossRequest) {
            mayCrossRequest = false;
            frontend.metrics().increment(Count.CLIENT_CLOSES_CROSSED);
        }
        discardedBytes += in.readableBytes();
        in.release();
        if (discardedBytes <= MAX_DISCARDED_BYTES) {
            return;
        }
        if (isClosing) {
            abort();
        } else {
            rejectExcessInput("too much is sent behind the last request");
        }
    }

    private void closeAfterExcessInput() {
        sendErrorAndClose(413, "Rejected", excessInputMessage);
    }

    /**
     * Rejects the connection of a client that has sent too much. Its input is discarded from here on, but an open request is left
     * its time to be answered: work that is cancelled may keep a backend busy, which would cost other clients their answers
     * whenever such a client comes again.
     */
    private void rejectExcessInput(String message) {
        if (excessInputMessage != null) {
            return;
        }
        if (currentRequest == null) {
            reject(413, message);
            return;
        }
        frontend.metrics().increment(Count.BAD_MESSAGES);
        excessInputMessage = message;
        isInputEnded = true;
        discardInput();
        frontend.deadlines().cancel(readTimeout);
        readTimeout = frontend.deadlines().scheduleAfter(EXCESS_INPUT_GRACE_MICROS, this::closeAfterExcessInput);
    }

    /**
     * Reads the input and takes one request at most; a further one waits for its turn in the queue of pipelined requests. The
     * next request is read while the current one is served, so that an invalid message is rejected at once and not after the
     * current request.
     *
     * @param mayTakeRequest whether a request may be taken
     */
    private void processInput(boolean mayTakeRequest) {
        if (isClosed || isClosing) {
            return;
        }
        isProcessing = true;
        try {
            readNextRequest();
            if (mayTakeRequest && isRequestReady()) {
                currentRequest = queuedRequest;
                queuedRequest = null;
                updateMemory();
                handleRequest();
                readNextRequest();
            }
        } catch (InvalidMessageException e) {
            reject(e.status(), e.getMessage());
        } finally {
            isProcessing = false;
        }
        inputProcessed();
    }

    /** Updates what depends on the input and the requests, and has the next request wait for its turn. */
    private void inputProcessed() {
        if (!unreadInput.isReadable()) {
            unreadInput.clear().capacity(isClosing || isClosed ? 0 : INITIAL_BUFFER_BYTES);
        }
        if (!isClosed && !isClosing && excessInputMessage == null) {
            updateState();
            limitPipelining();
        }
        if (isRequestReady() && !isInRequestQueue) {
            isInRequestQueue = true;
            frontend.pipelinedRequests().add(this);
        }
        updateMemory();
    }

    /** Whether a complete request waits that may be taken now. The answer to the one before it has to be written first. */
    private boolean isRequestReady() {
        return !isClosed && !isClosing && queuedRequest != null && currentRequest == null && lastWrite.isDone();
    }

    /**
     * Rejects pipelined input beyond the limit. Reading is never suspended instead, because a client's disconnect is only
     * noticed when all that the client sent before has been read.
     */
    private void limitPipelining() {
        if (unreadInput.readableBytes() > MAX_PIPELINED_BYTES) {
            rejectExcessInput("too much is sent ahead of an answer");
        }
    }

    private void readNextRequest() throws InvalidMessageException {
        if (isClosed || isClosing || queuedRequest != null || !unreadInput.isReadable()) {
            return;
        }
        if (receivingRequest == null) {
            receivingRequest = new ClientRequest(frontend, this, lastReadMicros);
        }
        if (reader.read(unreadInput)) {
            receivingRequest.completed(arrivalMicros);
            queuedRequest = receivingRequest;
            receivingRequest = null;
            isReceivingInPieces = false;
            // RFC 9112, 9.6: nothing behind a request that ends the connection is taken for a request.
            if (!queuedRequest.head().isKeepAlive()) {
                isInputEnded = true;
                discardedBytes += unreadInput.readableBytes();
                unreadInput.clear();
            }
        }
    }

    /** Reports the state to the frontend, and starts or cancels the read timeout. */
    private void updateState() {
        boolean isPartial = receivingRequest != null && !reader.isBetweenMessages();
        if (!isPartial) {
            receivingRequest = null;
        }
        boolean isBusy = currentRequest != null || queuedRequest != null;
        if (isPartial || !isBusy && !hasSentRequest) {
            if (readTimeout == null) {
                readTimeout = frontend.deadlines().scheduleAfter(READ_TIMEOUT_MICROS, this::readTimedOut);
            }
        } else {
            frontend.deadlines().cancel(readTimeout);
            readTimeout = null;
        }
        if (isBusy) {
            frontend.connections().busy(this);
        } else if (isPartial) {
            frontend.connections().receiving(this);
        } else {
            frontend.connections().idle(this);
        }
    }

    /** Closes a connection that has sent nothing or only a part of a request in time. */
    private void readTimedOut() {
        long untilMicros = receivingRequest == null ? 0
            : Math.min(lastReadMicros + READ_TIMEOUT_MICROS, receivingRequest.startMicros() + REQUEST_READ_TIMEOUT_MICROS);
        if (untilMicros > frontend.nowMicros()) {
            readTimeout = frontend.deadlines().scheduleAt(untilMicros, this::readTimedOut);     // still receiving
            return;
        }
        readTimeout = null;
        if (receivingRequest == null) {
            frontend.metrics().increment(Count.CLIENT_CONNECTIONS_SILENT);
            close();
        } else {
            reject(408, "the request did not come whole in time");
        }
    }

    @Override public void onHead(MessageHead head) {
        receivingRequest.setHead(head);
        if (currentRequest == null && head.hasListItem("Expect", "100-continue")) {
            channel.writeAndFlush(MessageEncoder.message("HTTP/1.1 100 Continue\r\n", new byte[0]));
        }
    }

    @Override public void onBody(byte[] bytes) {
        receivingRequest.addBody(bytes);
    }

    private void handleRequest() throws InvalidMessageException {
        if (isClosing) {
            return;     // had to give way to other connections
        }
        MessageHead head = currentRequest.head();
        String[] line = head.requestLine();
        keepAlive = !isInputEnded;
        // RFC 9112, 3.2: a request without Host is invalid.
        if (head.get("Host") == null) {
            throw new InvalidMessageException(400, "Host is missing");
        }
        switch (line[0]) {
            case "POST" -> currentRequest.take(line[0], line[1]);
            case "GET" -> handleGet(line[1]);
            default -> throw new InvalidMessageException(405, "every req comes by POST");
        }
    }

    /** Whether the connection waited to be accepted, and no request on it has waited for the client's disconnect since. */
    boolean wasAcceptedLate() {
        return wasAcceptedLate;
    }

    /** The current request waits for the client's disconnect. */
    void awaitDisconnect() {
        wasAcceptedLate = false;
    }

    /** The current request is a valid POST request. */
    void validRequestReceived() {
        hasSentRequest = true;
    }

    /** Closes the connection behind the answer to the current request. */
    void closeAfterAnswer() {
        keepAlive = false;
    }

    /** Answers operators' requests for readiness and metrics. */
    private void handleGet(String target) {
        if (target.equals("/healthz")) {
            sendAnswer(currentRequest, frontend.isReady() ? 200 : 503, frontend.isReady() ? "OK" : "Not Ready", "", new byte[0]);
        } else if (target.equals("/metrics")) {
            sendAnswer(currentRequest, 200, "OK", "Content-Type: text/plain\r\n",
                frontend.metrics().text().getBytes(StandardCharsets.UTF_8));
        } else {
            sendAnswer(currentRequest, 404, "Not Found", "", new byte[0]);
        }
    }

    /** Sends the final answer to a request; does nothing if it has ended before. */
    void sendAnswer(ClientRequest request, int status, String reason, String headers, byte[] content) {
        if (request.isEnded()) {
            return;
        }
        request.end();
        currentRequest = null;
        // A queued request is answered before the connection closes.
        keepAlive &= !frontend.closesAfterAnswer() || queuedRequest != null;
        ChannelFuture written =
            channel.writeAndFlush(MessageEncoder.response(status, reason, headers, content, keepAlive));
        // Otherwise a client whose response could not be written would go on waiting.
        written.addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        lastWrite = written;
        if (!keepAlive) {
            lingeringClose(written);
            return;
        }
        if (excessInputMessage != null) {
            closeAfterExcessInput();
            return;
        }
        if (!written.isDone()) {
            awaitAnswerRead(written);
        }
        if (!isProcessing) {
            inputProcessed();
        }
    }

    /** Waits for the client to read an answer; no further request is taken until then. */
    private void awaitAnswerRead(ChannelFuture written) {
        Deadlines.Deadline timeout = frontend.deadlines().scheduleAfter(ANSWER_READ_TIMEOUT_MICROS, this::abort);
        written.addListener(done -> {
            frontend.deadlines().cancel(timeout);
            if (done.isSuccess() && !isClosed && !isClosing) {
                inputProcessed();
            }
        });
    }

    /** Rejects invalid input and closes the connection; a request that is still open gets no other answer. */
    private void reject(int status, String message) {
        frontend.metrics().increment(Count.BAD_MESSAGES);
        sendErrorAndClose(status, "Rejected", message);
    }

    /** Refuses a request that has been received in part and closes the connection; the client may use another process. */
    void refuseIncompleteRequest() {
        sendErrorAndClose(503, "Service Unavailable", "the request came too slowly for this process to wait for its end");
    }

    private void sendErrorAndClose(int status, String reason, String message) {
        abandonCurrentRequest();
        keepAlive = false;
        lingeringClose(channel.writeAndFlush(MessageEncoder.response(status, reason, "", (message + "\n")
            .getBytes(StandardCharsets.UTF_8), false)));
    }

    private void abandonCurrentRequest() {
        ClientRequest abandoned = currentRequest;
        currentRequest = null;
        if (abandoned != null) {
            abandoned.abandon();
        }
    }

    /**
     * Closes the connection from this side: waits for the last write, shuts down the output, and then still reads for a
     * limited time and number of bytes. Closing with unread input, in the kernel or here, would reset the connection and lose
     * the response on its way. Input that is read from here on is discarded; the client sees the end of the stream and
     * sends its request again.
     */
    private void lingeringClose(ChannelFuture written) {
        isClosing = true;
        closingMicros = frontend.nowMicros();
        discardInput();
        frontend.deadlines().cancel(readTimeout);
        readTimeout = frontend.deadlines().scheduleAfter(READ_TIMEOUT_MICROS, this::abort);
        frontend.connections().closing(this);
        written.addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        updateMemoryWhenWritten(written);
        written.addListener(done -> {
            if (done.isSuccess() && !isClosed) {
                channel.shutdownOutput();
                frontend.deadlines().cancel(readTimeout);
                readTimeout = frontend.deadlines().scheduleAfter(LINGER_MICROS, this::abort);
            }
        });
    }

    /** Whether this side has sent everything, so that the system delivers it even if the connection is aborted. */
    boolean isOutputShutDown() {
        return channel.isOutputShutdown();
    }

    /** Returns when the lingering close started; 0 before. */
    long closingMicros() {
        return closingMicros;
    }

    private void discardInput() {
        for (ClientRequest discarded : new ClientRequest[] {receivingRequest, queuedRequest}) {
            if (discarded != null) {
                discarded.abandon();
            }
        }
        receivingRequest = null;
        queuedRequest = null;
        unreadInput.clear().capacity(0);
        updateMemory();
    }

    // ---- Memory

    private void updateMemory() {
        frontend.clientMemory().update(this, isClosed ? 0 : heldBytes());
    }

    /** Reports the memory of an answer as free once its last byte has been handed to the system. */
    private void updateMemoryWhenWritten(ChannelFuture written) {
        if (!written.isDone()) {
            written.addListener(done -> updateMemory());
        }
    }

    /** Returns the bytes of the input, the requests and the answers on this connection; 0 where only initial buffers are held. */
    private long heldBytes() {
        return unreadInputBytes() + reader.heldBytes() + unsentBytes()
            + heldBytes(receivingRequest) + heldBytes(queuedRequest) + heldBytes(currentRequest);
    }

    private static long heldBytes(ClientRequest request) {
        return request == null ? 0 : request.heldBytes();
    }

    private long unreadInputBytes() {
        return unreadInput.isReadable() ? unreadInput.capacity() : 0;
    }

    /** Returns the bytes of answers that the client has not read and the system has not taken. */
    private long unsentBytes() {
        ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
        return unsent == null ? 0 : unsent.totalPendingWriteBytes();
    }

    @Override public long releasableBytes() {
        if (isClosed) {
            return 0;
        }
        return heldBytes() - heldBytes(currentRequest);
    }

    /** Gives up, in this order: answers that are not read, input ahead of an answer, a partial body, a partial head. */
    @Override public void releaseMemory() {
        if (isClosing || unsentBytes() > 0) {
            isClosing = true;
            abandonCurrentRequest();
            discardInput();
            abort();
            frontend.clientMemory().update(this, 0);
        } else if (queuedRequest != null) {
            rejectExcessInput("too much is sent ahead of an answer");
        } else if (receivingRequest != null && receivingRequest.receivedBodyBytes() > 0) {
            receivingRequest.dropBody();
            updateMemory();
        } else {
            refuseIncompleteRequest();
        }
    }

    /** Starts a lingering close, unless one has started or the connection is closed. */
    void close() {
        if (!isClosed && !isClosing) {
            keepAlive = false;
            mayCrossRequest = hasSentRequest && currentRequest == null;
            // Waits for the last write, as shutting down the output discards what has not been sent.
            lingeringClose(lastWrite);
        }
    }

    /** Closes at once and discards all input. */
    void abort() {
        channel.close();
    }

    /** Ends the current request when the client disconnects, also while the request waits for its answer. */
    @Override public void channelInactive(ChannelHandlerContext ctx) {
        isClosed = true;
        frontend.connections().closed(this);
        frontend.deadlines().cancel(readTimeout);
        abandonCurrentRequest();
        discardInput();
    }

    @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException) {
            abort();
            return;
        }
        failUnexpectedly(cause);
    }

    /** Ends the current request and the connection after an exception; the client still gets an answer. */
    private void failUnexpectedly(Throwable cause) {
        frontend.metrics().increment(Count.EXCEPTIONS);
        Logger.error(cause, "Unexpected exception on a client connection");
        if (isClosed || isClosing) {
            abort();
        } else {
            sendErrorAndClose(500, "Internal Server Error", "an exception");
        }
    }
}

package badgermux.front;

import badgermux.core.ResponseListener;
import badgermux.core.Deadlines;
import badgermux.http.InvalidMessageException;
import badgermux.http.MessageEncoder;
import badgermux.http.MessageHead;
import badgermux.http.MessageReader;
import badgermux.http.ForwardedRequest;
import badgermux.http.ResponseContract;
import badgermux.metrics.Metrics.Count;
import badgermux.metrics.Metrics.Ending;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.tinylog.Logger;

/** A client's connection: one request at a time, each with its final answer. */
final class FrontendConnection extends ChannelInboundHandlerAdapter implements MessageReader.Listener, ResponseListener {
    /** A connection that owes the rest of a request, or its first one, is heard out so long from the last byte on. */
    static final long READ_TIMEOUT_MICROS = 2_000_000;
    /** A request must have come whole within this time of its first byte, however it goes on coming. */
    static final long REQUEST_READ_TIMEOUT_MICROS = 8_000_000;
    /** Bytes that come so long after others were sent apart: nobody's who left half a request behind. */
    private static final long SEPARATE_SEND_GAP_MICROS = 20_000;
    /**
     * A client's end may come this much behind its request where both waited for us to let it in. Half of the 0.1 s after
     * which no attempt may begin for a client that has left; the other half is for the way here.
     */
    static final long LATE_ACCEPT_WAIT_MICROS = 50_000;
    /** A connection that we end is heard out for so long, and for so many bytes more, before it is cut off. */
    static final long LINGER_MICROS = 500_000;
    private static final long MAX_LINGER_BYTES = 1 << 20;
    /** What the buffer of bytes not read yet holds before it has to grow. */
    private static final int INITIAL_BUFFER_BYTES = 1024;
    /** So much may be sent behind a whole request that waits itself: clients send one at a time. */
    static final int MAX_PIPELINED_BYTES = 1 << 20;

    /** A request that is being read, or waits behind one that is not answered yet. */
    private static final class IncomingRequest {
        private final long startMicros;
        /** When its last byte came; deadlines count from there. */
        private long completeMicros;
        private MessageHead head;
        private ByteArrayOutputStream body = new ByteArrayOutputStream(0);
        private int reservedBytes;
        private boolean isBodyDropped;

        IncomingRequest(long beganAt) {
            this.startMicros = beganAt;
        }
    }

    private final Frontend frontend;
    private final SocketChannel channel;
    private final MessageReader reader = new MessageReader(false, MessageReader.MAX_BODY_BYTES, this);
    private final ByteBuf unreadInput = Unpooled.buffer(INITIAL_BUFFER_BYTES);
    private final long openedMicros;
    private IncomingRequest receivingRequest;
    private IncomingRequest queuedRequest;
    private IncomingRequest currentRequest;
    private Deadlines.Deadline readTimeout;
    private String openRequestId;
    private ResponseContract responseContract;
    private long request;
    private long lastReadMicros;
    /** When what was read last may have come: before {@link #lastReadMicros}, where the event loop stood still. */
    private long arrivalMicros;
    /** Whether its first request may be from a client that has left: it waited to be let in. */
    private boolean wasAcceptedLate;
    private ChannelFuture lastWrite;
    private boolean isReceivingInPieces;
    private long lingerBytes;
    private long closingMicros;
    private int pipelinedBytes;
    private boolean hasSentRequest;
    private boolean isAwaitingAnswer;
    private boolean isProcessing;
    private boolean keepAlive = true;
    private boolean isClosing;
    private boolean isClosed;

    FrontendConnection(Frontend front, SocketChannel channel) {
        this.frontend = front;
        this.channel = channel;
        openedMicros = front.now();
        lastReadMicros = openedMicros;
    }

    /** When it was opened. */
    long openedMicros() {
        return openedMicros;
    }

    /** When its last byte came; when it was opened, before that. */
    long lastReadMicros() {
        return lastReadMicros;
    }

    /** When the request that it has begun began to come. */
    long requestStartMicros() {
        return receivingRequest == null ? lastReadMicros : receivingRequest.startMicros;
    }

    /** Whether the request that it has begun goes on coming in pieces. */
    boolean isReceivingInPieces() {
        return isReceivingInPieces;
    }

    /** Whether a request was taken from it: a bad client's connections never get that far. */
    boolean hasSentRequest() {
        return hasSentRequest;
    }

    @Override public void channelActive(ChannelHandlerContext ctx) {
        readTimeout = frontend.deadlines().scheduleAfter(READ_TIMEOUT_MICROS, this::readTimedOut);
        wasAcceptedLate = frontend.mayAcceptLate();
        lastWrite = channel.newSucceededFuture();
        frontend.connectionOpened(this);
    }

    @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf in = (ByteBuf) message;
        if (isClosing) {
            // Guards against a reset that eats the error on its way: what still comes is read, but for a bounded time.
            lingerBytes += in.readableBytes();
            in.release();
            if (lingerBytes > MAX_LINGER_BYTES) {
                abort();
            }
            return;
        }
        long now = frontend.now();
        isReceivingInPieces |= receivingRequest != null && now - lastReadMicros > SEPARATE_SEND_GAP_MICROS;
        lastReadMicros = now;
        // Guards against a deadline that starts late: the client counts from its last byte, not from our reading.
        arrivalMicros = now - frontend.deadlines().stallMicros();
        unreadInput.discardReadBytes().writeBytes(in);
        in.release();
        processInput();
    }

    /**
     * Reads request after request; an answer given at once does not come back in here. One request is read ahead of its
     * turn, so that what is no request is rejected now and not once the request before it has its answer.
     */
    private void processInput() {
        if (isProcessing) {
            return;
        }
        isProcessing = true;
        try {
            while (!isClosed && !isClosing && keepAlive && (queuedRequest != null && !isAwaitingAnswer || unreadInput.isReadable())) {
                if (queuedRequest != null && !isAwaitingAnswer) {
                    currentRequest = queuedRequest;
                    queuedRequest = null;
                    isAwaitingAnswer = true;
                    request();
                } else if (queuedRequest != null) {
                    break;
                } else {
                    readRequest();
                }
            }
        } catch (InvalidMessageException e) {
            reject(e.status(), e.getMessage());
        } finally {
            isProcessing = false;
        }
        if (!unreadInput.isReadable()) {
            unreadInput.clear().capacity(INITIAL_BUFFER_BYTES);
        }
        if (!isClosed && !isClosing) {
            updateState();
            limitPipelining();
        }
    }

    /**
     * Guards against a heap full of what clients send ahead, and against a client that has left unnoticed: its end lies
     * behind all that it sent, so reading is never off. What is beyond the bounds ends the connection.
     */
    private void limitPipelining() {
        int now = queuedRequest == null ? 0 : unreadInput.readableBytes();
        if (now > MAX_PIPELINED_BYTES || !frontend.reserveBodyBytes(now - pipelinedBytes)) {
            reject(413, "too much is sent ahead of an answer");
        } else {
            pipelinedBytes = now;
        }
    }

    private void readRequest() throws InvalidMessageException {
        if (receivingRequest == null) {
            receivingRequest = new IncomingRequest(lastReadMicros);
        }
        if (reader.read(unreadInput)) {
            receivingRequest.completeMicros = arrivalMicros;
            queuedRequest = receivingRequest;
            receivingRequest = null;
            isReceivingInPieces = false;
        }
    }

    /** What the connection waits for from here, and for how long. */
    private void updateState() {
        boolean partial = receivingRequest != null && !reader.isBetweenMessages();
        if (!partial) {
            receivingRequest = null;
        }
        if (partial || !isAwaitingAnswer && !hasSentRequest) {
            if (readTimeout == null) {
                readTimeout = frontend.deadlines().scheduleAfter(READ_TIMEOUT_MICROS, this::readTimedOut);
            }
        } else {
            frontend.deadlines().cancel(readTimeout);
            readTimeout = null;
        }
        if (isAwaitingAnswer) {
            frontend.connectionBusy(this);
        } else if (partial) {
            frontend.receivingConnections(this);
        } else {
            frontend.connectionIdle(this);
        }
    }

    /** Guards against connections held by those who say nothing, or half of something. */
    private void readTimedOut() {
        long until = receivingRequest == null ? 0 : Math.min(lastReadMicros + READ_TIMEOUT_MICROS, receivingRequest.startMicros + REQUEST_READ_TIMEOUT_MICROS);
        if (until > frontend.now()) {
            readTimeout = frontend.deadlines().scheduleAt(until, this::readTimedOut);     // it goes on coming
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

    @Override public void onHead(MessageHead came) {
        receivingRequest.head = came;
        if (!isAwaitingAnswer && came.hasListItem("Expect", "100-continue")) {
            channel.writeAndFlush(MessageEncoder.message("HTTP/1.1 100 Continue\r\n", new byte[0]));
        }
    }

    /** Where bodies have no room, the rest of this one is read all the same: an answer before its end may be missed. */
    @Override public void onBody(byte[] bytes) {
        receivingRequest.isBodyDropped = receivingRequest.isBodyDropped || !frontend.reserveBodyBytes(bytes.length);
        if (receivingRequest.isBodyDropped) {
            releaseBody(receivingRequest);
            receivingRequest.body.reset();
        } else {
            receivingRequest.reservedBytes += bytes.length;
            receivingRequest.body.writeBytes(bytes);
        }
    }

    private void request() throws InvalidMessageException {
        String[] line = currentRequest.head.requestLine();
        keepAlive = currentRequest.head.isKeepAlive();
        // RFC 9112, 3.2: a request without it is none.
        if (currentRequest.head.get("Host") == null) {
            throw new InvalidMessageException(400, "Host is missing");
        }
        switch (line[0]) {
            case "POST" -> handlePost(RequestFields.parse(currentRequest.head, line[0], line[1]), line[0], line[1]);
            case "GET" -> handleGet(line[1]);
            default -> throw new InvalidMessageException(405, "every req comes by POST");
        }
    }

    private void handlePost(RequestFields fields, String method, String target) throws InvalidMessageException {
        int jobClass = frontend.classIndex(fields.className());
        if (jobClass < 0) {
            throw new InvalidMessageException(400, "unknown class");
        }
        if (!fields.hasIdempotencyKey() && frontend.requiresIdempotencyKey(jobClass)) {
            throw new InvalidMessageException(400, "Idempotency-Key is missing");
        }
        // Guards against a request that takes another client's place at the backends: they know a request by its id.
        if (frontend.isRequestOpen(fields.id())) {
            frontend.metrics().increment(Count.IDS_IN_USE);
            throw new InvalidMessageException(409, "X-Request-ID is in use");
        }
        hasSentRequest = true;
        if (frontend.isAtRequestLimit()) {
            frontend.metrics().increment(Count.CLIENT_CONNECTIONS_OVER_CAP);
            keepAlive = false;
            refuse(jobClass);
            return;
        }
        // Guards against a request that is taken so late that it would be open when we are killed.
        if (frontend.isPastFinalAnswers()) {
            refuse(jobClass);
            return;
        }
        if (currentRequest.isBodyDropped) {
            refuse(jobClass);
            return;
        }
        byte[] body = currentRequest.body.toByteArray();
        currentRequest.body = null;
        // From here on its id is in use, also while it is being judged.
        openRequestId = fields.id();
        frontend.registerRequest(openRequestId);
        frontend.connectionBusy(this);
        request = 0;
        if (frontend.requestValidator() == null) {
            submit(fields, jobClass, body);
        } else {
            frontend.requestValidator().validate(method, target, currentRequest.head, body, new PendingValidation(fields, jobClass, body, currentRequest));
        }
    }

    /** Refused here, for want of room: the engine, which counts all other endings, never hears of it. */
    private void refuse(int jobClass) {
        frontend.metrics().recordEnding(Ending.DEFERRED, jobClass);
        onRefused(frontend.retryAfterMicros());
    }

    /** Waits for what the gate says of a request. */
    private final class PendingValidation implements RequestValidator.Callback {
        private final RequestFields fields;
        private final int jobClass;
        private final byte[] body;
        private final IncomingRequest validated;

        PendingValidation(RequestFields fields, int jobClass, byte[] body, IncomingRequest of) {
            this.fields = fields;
            this.jobClass = jobClass;
            this.body = body;
            this.validated = of;
        }

        /** Guards against a verdict on a request whose client has left, or was rejected, meanwhile. */
        private boolean isStale() {
            return isClosed || isClosing || currentRequest != validated;
        }

        @Override public void onAccepted(ResponseContract held) {
            if (!isStale()) {
                responseContract = held;
                submit(fields, jobClass, body);
            } else if (held != null) {
                held.release();
            }
        }

        @Override public void onRejected(int status, String reason, String headers, byte[] content) {
            if (!isStale()) {
                frontend.metrics().recordEnding(Ending.ERRORED, jobClass);
                sendResponse(status, reason, headers, content);
            }
        }

        @Override public void onOverloaded() {
            if (!isStale()) {
                refuse(jobClass);
            }
        }
    }

    private void submit(RequestFields fields, int jobClass, byte[] body) {
        if (!wasAcceptedLate) {
            submit(fields, jobClass, body, true);
            return;
        }
        wasAcceptedLate = false;
        IncomingRequest submitted = currentRequest;
        frontend.deadlines().scheduleAfter(LATE_ACCEPT_WAIT_MICROS, () -> {
            if (!isClosed && !isClosing && currentRequest == submitted) {
                submit(fields, jobClass, body, false);
            }
        });
    }

    private void submit(RequestFields fields, int jobClass, byte[] body, boolean timeKnown) {
        if (frontend.isPastFinalAnswers()) {     // it has been judged for as long as that
            refuse(jobClass);
            return;
        }
        ForwardedRequest relay = new ForwardedRequest(fields.id(), fields.requestLine(), fields.headers(), body, responseContract);
        // Guards against a patience beyond that of its class: the module would take all others for late.
        long patience = Math.min(fields.timeout() > 0 ? fields.timeout() : Long.MAX_VALUE, frontend.classDeadlineMicros(jobClass));
        long taken = frontend.engine().submit(this, relay, jobClass, frontend.tenantIndex(fields.tenant()), fields.slots(),
            currentRequest.completeMicros + patience, timeKnown);
        request = isAwaitingAnswer ? taken : 0;     // it may have its answer by now
    }

    /** What operators ask: whether it is ready, and the counters. */
    private void handleGet(String target) {
        if (target.equals("/healthz")) {
            sendResponse(frontend.isReady() ? 200 : 503, frontend.isReady() ? "OK" : "Not Ready", "", new byte[0]);
        } else if (target.equals("/metrics")) {
            sendResponse(200, "OK", "Content-Type: text/plain\r\n",
                frontend.metrics().text().getBytes(StandardCharsets.UTF_8));
        } else {
            sendResponse(404, "Not Found", "", new byte[0]);
        }
    }

    @Override public void onServed(byte[] result) {
        sendResponse(200, "OK", "", result);
    }

    @Override public void onRefused(long comeBack) {
        String advice = comeBack <= 0 ? "" : "Retry-After: " + formatSeconds(comeBack) + "\r\n";
        sendResponse(503, "Service Unavailable", advice, new byte[0]);
    }

    /** Seconds with three decimals, 0.001 at least. Not by a formatter, which took a third of the time of a refusal. */
    static String formatSeconds(long micros) {
        long millis = Math.max(1, (micros + 500) / 1000);
        return millis / 1000 + "." + Long.toString(1000 + millis % 1000).substring(1);
    }

    @Override public void onFailed(boolean late) {
        sendResponse(late ? 504 : 500, late ? "Gateway Timeout" : "Internal Server Error", "", new byte[0]);
    }

    private void sendResponse(int status, String reason, String headers, byte[] content) {
        finishRequest();
        // What has come whole behind it is answered as well.
        keepAlive &= !frontend.isWindingDown() || queuedRequest != null;
        if (isClosed) {
            return;
        }
        ChannelFuture written =
            channel.writeAndFlush(MessageEncoder.response(status, reason, headers, content, keepAlive));
        // Guards against a client left waiting on a connection whose answer could not be written.
        written.addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        lastWrite = written;
        if (keepAlive) {
            processInput();
        } else {
            lingeringClose(written);
        }
    }

    /** Ends the connection with an error. What it says of a request that is still open, too: nothing more comes of it. */
    private void reject(int status, String why) {
        frontend.metrics().increment(Count.BAD_MESSAGES);
        sendErrorAndClose(status, "Rejected", why);
    }

    /** Half of a request has come, and the rest can't be waited for: its client is told so, and may go to another process. */
    void refuseIncompleteRequest() {
        sendErrorAndClose(503, "Service Unavailable", "the request came too slowly for this process to wait for its end");
    }

    private void sendErrorAndClose(int status, String reason, String why) {
        long open = isAwaitingAnswer ? request : 0;
        finishRequest();
        keepAlive = false;
        if (open != 0) {
            frontend.engine().clientDisconnected(open);
        }
        lingeringClose(channel.writeAndFlush(MessageEncoder.response(status, reason, "", (why + "\n")
            .getBytes(StandardCharsets.UTF_8), false)));
    }

    /**
     * The one way in which a connection is ended from this side: what is written goes out, our side is shut, and the other
     * side is heard out, for a bounded time and number of bytes. Guards against a close over unread bytes, also such that
     * have not come up from the system yet: it is a reset, which takes the answer that is on its way with it. What is
     * read from here on is no request of ours: its client, who sees the end, sends it once more.
     */
    private void lingeringClose(ChannelFuture written) {
        isClosing = true;
        closingMicros = frontend.now();
        discardInput();
        frontend.deadlines().cancel(readTimeout);
        readTimeout = frontend.deadlines().scheduleAfter(READ_TIMEOUT_MICROS, this::abort);
        frontend.connectionClosing(this);
        written.addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        written.addListener(done -> {
            if (done.isSuccess() && !isClosed) {
                channel.shutdownOutput();
                frontend.deadlines().cancel(readTimeout);
                readTimeout = frontend.deadlines().scheduleAfter(LINGER_MICROS, this::abort);
            }
        });
    }

    /** When this side began to end it; 0 before. */
    long closingMicros() {
        return closingMicros;
    }

    private void finishRequest() {
        isAwaitingAnswer = false;
        if (responseContract != null) {
            responseContract.release();
            responseContract = null;
        }
        releaseBody(currentRequest);
        currentRequest = null;
        frontend.unregisterRequest(openRequestId);
        openRequestId = null;
        request = 0;
    }

    private void discardInput() {
        frontend.reserveBodyBytes(-pipelinedBytes);
        pipelinedBytes = 0;
        releaseBody(receivingRequest);
        releaseBody(queuedRequest);
        receivingRequest = null;
        queuedRequest = null;
        unreadInput.clear().capacity(0);
    }

    private void releaseBody(IncomingRequest of) {
        if (of != null) {
            frontend.reserveBodyBytes(-of.reservedBytes);
            of.reservedBytes = 0;
        }
    }

    /** Ends it from this side, in order; once. */
    void close() {
        if (!isClosed && !isClosing) {
            keepAlive = false;
            // Guards against an answer cut short: to shut our side drops what has not left yet.
            lingeringClose(lastWrite);
        }
    }

    /** Closes at once, whatever may still be coming. */
    void abort() {
        channel.close();
    }

    /** Guards against a client that has left and whose request goes on: its end is noticed while it waits, too. */
    @Override public void channelInactive(ChannelHandlerContext ctx) {
        isClosed = true;
        frontend.connectionClosed(this);
        frontend.deadlines().cancel(readTimeout);
        long open = isAwaitingAnswer ? request : 0;
        finishRequest();
        discardInput();
        if (open != 0) {
            frontend.engine().clientDisconnected(open);
        }
    }

    @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException) {
            abort();
            return;
        }
        frontend.metrics().increment(Count.EXCEPTIONS);
        Logger.error(cause, "exception on a client's connection");
        // Guards against a request that ends without an answer: an exception ends it, but tells its client so.
        if (isClosed || isClosing) {
            abort();
        } else {
            sendErrorAndClose(500, "Internal Server Error", "an exception");
        }
    }
}

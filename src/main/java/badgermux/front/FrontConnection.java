package badgermux.front;

import badgermux.core.Asker;
import badgermux.core.Deadlines;
import badgermux.http.BadMessage;
import badgermux.http.Bytes;
import badgermux.http.Head;
import badgermux.http.MessageReader;
import badgermux.http.Relay;
import badgermux.http.Terms;
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
final class FrontConnection extends ChannelInboundHandlerAdapter implements MessageReader.Sink, Asker {
    /** A connection that owes the rest of a request, or its first one, is heard out so long from the last byte on. */
    static final long SILENT_FOR = 2_000_000;
    /** A request must have come whole within this time of its first byte, however it goes on coming. */
    static final long WHOLE_WITHIN = 8_000_000;
    /** Bytes that come so long after others were sent apart: nobody's who left half a request behind. */
    private static final long APART = 20_000;
    /**
     * A client's end may come this much behind its request where both waited for us to let it in. Half of the 0.1 s after
     * which no attempt may begin for a client that has left; the other half is for the way here.
     */
    static final long SETTLE = 50_000;
    /** A connection that we end is heard out for so long, and for so many bytes more, before it is cut off. */
    static final long LINGER = 500_000;
    private static final long MAX_DRAINED = 1 << 20;
    /** What the buffer of bytes not read yet holds before it has to grow. */
    private static final int FIRST_CAPACITY = 1024;
    /** So much may be sent behind a whole request that waits itself: clients send one at a time. */
    static final int MAX_AHEAD = 1 << 20;

    /** A request that is being read, or waits behind one that is not answered yet. */
    private static final class Incoming {
        private final long beganAt;
        /** When its last byte came; deadlines count from there. */
        private long cameAt;
        private Head head;
        private ByteArrayOutputStream body = new ByteArrayOutputStream(0);
        private int held;
        private boolean noRoom;

        Incoming(long beganAt) {
            this.beganAt = beganAt;
        }
    }

    private final Front front;
    private final SocketChannel channel;
    private final MessageReader reader = new MessageReader(false, MessageReader.MAX_BODY, this);
    private final ByteBuf pending = Unpooled.buffer(FIRST_CAPACITY);
    private final long openedAt;
    private Incoming incoming;
    private Incoming waiting;
    private Incoming current;
    private Deadlines.Deadline limit;
    private String openId;
    private Terms terms;
    private long request;
    private long heardAt;
    /** When what was read last may have come: before {@link #heardAt}, where the event loop stood still. */
    private long arrivedAt;
    /** Whether its first request may be from a client that has left: it waited to be let in. */
    private boolean letInLate;
    private ChannelFuture lastWritten;
    private boolean moving;
    private long drained;
    private long endedAt;
    private int ahead;
    private boolean known;
    private boolean busy;
    private boolean reading;
    private boolean keepAlive = true;
    private boolean ending;
    private boolean closed;

    FrontConnection(Front front, SocketChannel channel) {
        this.front = front;
        this.channel = channel;
        openedAt = front.now();
        heardAt = openedAt;
    }

    /** When it was opened. */
    long openedAt() {
        return openedAt;
    }

    /** When its last byte came; when it was opened, before that. */
    long heardAt() {
        return heardAt;
    }

    /** When the request that it has begun began to come. */
    long beganAt() {
        return incoming == null ? heardAt : incoming.beganAt;
    }

    /** Whether the request that it has begun goes on coming in pieces. */
    boolean isMoving() {
        return moving;
    }

    /** Whether a request was taken from it: a bad client's connections never get that far. */
    boolean isKnown() {
        return known;
    }

    @Override public void channelActive(ChannelHandlerContext ctx) {
        limit = front.deadlines().after(SILENT_FOR, this::tooLate);
        letInLate = front.letsInLate();
        lastWritten = channel.newSucceededFuture();
        front.opened(this);
    }

    @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf in = (ByteBuf) message;
        if (ending) {
            // Guards against a reset that eats the error on its way: what still comes is read, but for a bounded time.
            drained += in.readableBytes();
            in.release();
            if (drained > MAX_DRAINED) {
                cutOff();
            }
            return;
        }
        long now = front.now();
        moving |= incoming != null && now - heardAt > APART;
        heardAt = now;
        // Guards against a deadline that starts late: the client counts from its last byte, not from our reading.
        arrivedAt = now - front.deadlines().lateness();
        pending.discardReadBytes().writeBytes(in);
        in.release();
        process();
    }

    /**
     * Reads request after request; an answer given at once does not come back in here. One request is read ahead of its
     * turn, so that what is no request is rejected now and not once the request before it has its answer.
     */
    private void process() {
        if (reading) {
            return;
        }
        reading = true;
        try {
            while (!closed && !ending && keepAlive && (waiting != null && !busy || pending.isReadable())) {
                if (waiting != null && !busy) {
                    current = waiting;
                    waiting = null;
                    busy = true;
                    request();
                } else if (waiting != null) {
                    break;
                } else {
                    read();
                }
            }
        } catch (BadMessage e) {
            reject(e.status(), e.getMessage());
        } finally {
            reading = false;
        }
        if (!pending.isReadable()) {
            pending.clear().capacity(FIRST_CAPACITY);
        }
        if (!closed && !ending) {
            rest();
            boundAhead();
        }
    }

    /**
     * Guards against a heap full of what clients send ahead, and against a client that has left unnoticed: its end lies
     * behind all that it sent, so reading is never off. What is beyond the bounds ends the connection.
     */
    private void boundAhead() {
        int now = waiting == null ? 0 : pending.readableBytes();
        if (now > MAX_AHEAD || !front.hold(now - ahead)) {
            reject(413, "too much is sent ahead of an answer");
        } else {
            ahead = now;
        }
    }

    private void read() throws BadMessage {
        if (incoming == null) {
            incoming = new Incoming(heardAt);
        }
        if (reader.read(pending)) {
            incoming.cameAt = arrivedAt;
            waiting = incoming;
            incoming = null;
            moving = false;
        }
    }

    /** What the connection waits for from here, and for how long. */
    private void rest() {
        boolean partial = incoming != null && !reader.betweenMessages();
        if (!partial) {
            incoming = null;
        }
        if (partial || !busy && !known) {
            if (limit == null) {
                limit = front.deadlines().after(SILENT_FOR, this::tooLate);
            }
        } else {
            front.deadlines().cancel(limit);
            limit = null;
        }
        if (busy) {
            front.works(this);
        } else if (partial) {
            front.halfway(this);
        } else {
            front.rests(this);
        }
    }

    /** Guards against connections held by those who say nothing, or half of something. */
    private void tooLate() {
        long until = incoming == null ? 0 : Math.min(heardAt + SILENT_FOR, incoming.beganAt + WHOLE_WITHIN);
        if (until > front.now()) {
            limit = front.deadlines().at(until, this::tooLate);     // it goes on coming
            return;
        }
        limit = null;
        if (incoming == null) {
            front.metrics().add(Count.CLIENT_CONNECTIONS_SILENT);
            close();
        } else {
            reject(408, "the request did not come whole in time");
        }
    }

    @Override public void head(Head came) {
        incoming.head = came;
        if (!busy && came.has("Expect", "100-continue")) {
            channel.writeAndFlush(Bytes.message("HTTP/1.1 100 Continue\r\n", new byte[0]));
        }
    }

    /** Where bodies have no room, the rest of this one is read all the same: an answer before its end may be missed. */
    @Override public void body(byte[] bytes) {
        incoming.noRoom = incoming.noRoom || !front.hold(bytes.length);
        if (incoming.noRoom) {
            release(incoming);
            incoming.body.reset();
        } else {
            incoming.held += bytes.length;
            incoming.body.writeBytes(bytes);
        }
    }

    private void request() throws BadMessage {
        String[] line = current.head.requestLine();
        keepAlive = current.head.keepsAlive();
        // RFC 9112, 3.2: a request without it is none.
        if (current.head.get("Host") == null) {
            throw new BadMessage(400, "Host is missing");
        }
        switch (line[0]) {
            case "POST" -> post(RequestHead.of(current.head, line[0], line[1]), line[0], line[1]);
            case "GET" -> about(line[1]);
            default -> throw new BadMessage(405, "every req comes by POST");
        }
    }

    private void post(RequestHead fields, String method, String target) throws BadMessage {
        int jobClass = front.classOf(fields.className());
        if (jobClass < 0) {
            throw new BadMessage(400, "unknown class");
        }
        if (!fields.keyed() && front.needsKey(jobClass)) {
            throw new BadMessage(400, "Idempotency-Key is missing");
        }
        // Guards against a request that takes another client's place at the backends: they know a request by its id.
        if (front.isOpen(fields.id())) {
            front.metrics().add(Count.IDS_IN_USE);
            throw new BadMessage(409, "X-Request-ID is in use");
        }
        known = true;
        if (front.isOverCap()) {
            front.metrics().add(Count.CLIENT_CONNECTIONS_OVER_CAP);
            keepAlive = false;
            turnAway(jobClass);
            return;
        }
        // Guards against a request that is taken so late that it would be open when we are killed.
        if (front.isPastLastAnswer()) {
            turnAway(jobClass);
            return;
        }
        if (current.noRoom) {
            turnAway(jobClass);
            return;
        }
        byte[] body = current.body.toByteArray();
        current.body = null;
        // From here on its id is in use, also while it is being judged.
        openId = fields.id();
        front.take(openId);
        front.works(this);
        request = 0;
        if (front.gate() == null) {
            take(fields, jobClass, body);
        } else {
            front.gate().judge(method, target, current.head, body, new Judged(fields, jobClass, body, current));
        }
    }

    /** Refused here, for want of room: the engine, which counts all other endings, never hears of it. */
    private void turnAway(int jobClass) {
        front.metrics().ended(Ending.DEFERRED, jobClass);
        synthetic(front.comeBack());
    }

    /** Waits for what the gate says of a request. */
    private final class Judged implements Gate.Answer {
        private final RequestHead fields;
        private final int jobClass;
        private final byte[] body;
        private final Incoming of;

        Judged(RequestHead fields, int jobClass, byte[] body, Incoming of) {
            this.fields = fields;
            this.jobClass = jobClass;
            this.body = body;
            this.of = of;
        }

        /** Guards against a verdict on a request whose client has left, or was rejected, meanwhile. */
        private boolean isStale() {
            return closed || ending || current != of;
        }

        @Override public void pass(Terms held) {
            if (!isStale()) {
                terms = held;
                take(fields, jobClass, body);
            } else if (held != null) {
                held.over();
            }
        }

        @Override public void refuse(int status, String reason, String headers, byte[] content) {
            if (!isStale()) {
                front.metrics().ended(Ending.ERRORED, jobClass);
                answer(status, reason, headers, content);
            }
        }

        @Override public void busy() {
            if (!isStale()) {
                turnAway(jobClass);
            }
        }
    }

    private void take(RequestHead fields, int jobClass, byte[] body) {
        if (!letInLate) {
            take(fields, jobClass, body, true);
            return;
        }
        letInLate = false;
        Incoming settling = current;
        front.deadlines().after(SETTLE, () -> {
            if (!closed && !ending && current == settling) {
                take(fields, jobClass, body, false);
            }
        });
    }

    private void take(RequestHead fields, int jobClass, byte[] body, boolean timeKnown) {
        if (front.isPastLastAnswer()) {     // it has been judged for as long as that
            turnAway(jobClass);
            return;
        }
        Relay relay = new Relay(fields.id(), fields.start(), fields.headers(), body, terms);
        // Guards against a patience beyond that of its class: the module would take all others for late.
        long patience = Math.min(fields.timeout() > 0 ? fields.timeout() : Long.MAX_VALUE, front.patience(jobClass));
        long taken = front.engine().take(this, relay, jobClass, front.tenantOf(fields.tenant()), fields.slots(),
            current.cameAt + patience, timeKnown);
        request = busy ? taken : 0;     // it may have its answer by now
    }

    /** What operators ask: whether it is ready, and the counters. */
    private void about(String target) {
        if (target.equals("/healthz")) {
            answer(front.isReady() ? 200 : 503, front.isReady() ? "OK" : "Not Ready", "", new byte[0]);
        } else if (target.equals("/metrics")) {
            answer(200, "OK", "Content-Type: text/plain\r\n",
                front.metrics().text().getBytes(StandardCharsets.UTF_8));
        } else {
            answer(404, "Not Found", "", new byte[0]);
        }
    }

    @Override public void served(byte[] result) {
        answer(200, "OK", "", result);
    }

    @Override public void synthetic(long comeBack) {
        String advice = comeBack <= 0 ? "" : "Retry-After: " + seconds(comeBack) + "\r\n";
        answer(503, "Service Unavailable", advice, new byte[0]);
    }

    /** Seconds with three decimals, 0.001 at least. Not by a formatter, which took a third of the time of a refusal. */
    static String seconds(long micros) {
        long millis = Math.max(1, (micros + 500) / 1000);
        return millis / 1000 + "." + Long.toString(1000 + millis % 1000).substring(1);
    }

    @Override public void failed(boolean late) {
        answer(late ? 504 : 500, late ? "Gateway Timeout" : "Internal Server Error", "", new byte[0]);
    }

    private void answer(int status, String reason, String headers, byte[] content) {
        over();
        // What has come whole behind it is answered as well.
        keepAlive &= !front.isLeaving() || waiting != null;
        if (closed) {
            return;
        }
        ChannelFuture written =
            channel.writeAndFlush(Bytes.response(status, reason, headers, content, keepAlive));
        // Guards against a client left waiting on a connection whose answer could not be written.
        written.addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        lastWritten = written;
        if (keepAlive) {
            process();
        } else {
            linger(written);
        }
    }

    /** Ends the connection with an error. What it says of a request that is still open, too: nothing more comes of it. */
    private void reject(int status, String why) {
        front.metrics().add(Count.BAD_MESSAGES);
        breakOff(status, "Rejected", why);
    }

    /** Half of a request has come, and the rest can't be waited for: its client is told so, and may go to another process. */
    void turnBack() {
        breakOff(503, "Service Unavailable", "the request came too slowly for this process to wait for its end");
    }

    private void breakOff(int status, String reason, String why) {
        long open = busy ? request : 0;
        over();
        keepAlive = false;
        if (open != 0) {
            front.engine().askerGone(open);
        }
        linger(channel.writeAndFlush(Bytes.response(status, reason, "", (why + "\n")
            .getBytes(StandardCharsets.UTF_8), false)));
    }

    /**
     * The one way in which a connection is ended from this side: what is written goes out, our side is shut, and the other
     * side is heard out, for a bounded time and number of bytes. Guards against a close over unread bytes, also such that
     * have not come up from the system yet: it is a reset, which takes the answer that is on its way with it. What is
     * read from here on is no request of ours: its client, who sees the end, sends it once more.
     */
    private void linger(ChannelFuture written) {
        ending = true;
        endedAt = front.now();
        forgetInput();
        front.deadlines().cancel(limit);
        limit = front.deadlines().after(SILENT_FOR, this::cutOff);
        front.leaves(this);
        written.addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        written.addListener(done -> {
            if (done.isSuccess() && !closed) {
                channel.shutdownOutput();
                front.deadlines().cancel(limit);
                limit = front.deadlines().after(LINGER, this::cutOff);
            }
        });
    }

    /** When this side began to end it; 0 before. */
    long endedAt() {
        return endedAt;
    }

    private void over() {
        busy = false;
        if (terms != null) {
            terms.over();
            terms = null;
        }
        release(current);
        current = null;
        front.answered(openId);
        openId = null;
        request = 0;
    }

    private void forgetInput() {
        front.hold(-ahead);
        ahead = 0;
        release(incoming);
        release(waiting);
        incoming = null;
        waiting = null;
        pending.clear().capacity(0);
    }

    private void release(Incoming of) {
        if (of != null) {
            front.hold(-of.held);
            of.held = 0;
        }
    }

    /** Ends it from this side, in order; once. */
    void close() {
        if (!closed && !ending) {
            keepAlive = false;
            // Guards against an answer cut short: to shut our side drops what has not left yet.
            linger(lastWritten);
        }
    }

    /** Closes at once, whatever may still be coming. */
    void cutOff() {
        channel.close();
    }

    /** Guards against a client that has left and whose request goes on: its end is noticed while it waits, too. */
    @Override public void channelInactive(ChannelHandlerContext ctx) {
        closed = true;
        front.closed(this);
        front.deadlines().cancel(limit);
        long open = busy ? request : 0;
        over();
        forgetInput();
        if (open != 0) {
            front.engine().askerGone(open);
        }
    }

    @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException) {
            cutOff();
            return;
        }
        front.metrics().add(Count.EXCEPTIONS);
        Logger.error(cause, "exception on a client's connection");
        // Guards against a request that ends without an answer: an exception ends it, but tells its client so.
        if (closed || ending) {
            cutOff();
        } else {
            breakOff(500, "Internal Server Error", "an exception");
        }
    }
}

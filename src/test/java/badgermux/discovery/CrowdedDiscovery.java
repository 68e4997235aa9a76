package badgermux.discovery;

import badgermux.http.ExchangeConnection;
import badgermux.http.InvalidMessageException;
import badgermux.http.MessageReader;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A discovery service on virtual time with a fixed capacity, which all dispatchers share: it works through calls one after
 * another, and a call that would wait too long ends with 503 once it has waited that long. Watches wait for a change of the
 * revision. While it is down, calls fail at once.
 */
final class CrowdedDiscovery {
    private static final Pattern WATCH = Pattern.compile("since=(\\d+)&timeout_ms=(\\d+) ");

    private final VirtualTime time;
    private final long serviceMicros;
    private final long maxQueueMicros;
    private final ArrayDeque<Call> queue = new ArrayDeque<>();
    private final List<Call> watches = new ArrayList<>();
    private boolean isServing;
    private boolean isDown;
    private long revision = 1;
    private long callCount;

    /**
     * Creates the service.
     *
     * @param callsPerSecond its capacity
     * @param maxQueueMicros how long a call may wait for its turn
     */
    CrowdedDiscovery(VirtualTime time, int callsPerSecond, long maxQueueMicros) {
        this.time = time;
        this.maxQueueMicros = maxQueueMicros;
        serviceMicros = 1_000_000 / callsPerSecond;
    }

    /** Returns the number of calls received. */
    long callCount() {
        return callCount;
    }

    long revision() {
        return revision;
    }

    /** Publishes a change; all waiting watches are answered. */
    void change() {
        revision++;
        List<Call> waiting = List.copyOf(watches);
        watches.clear();
        waiting.forEach(call -> call.respond("200 OK", listText()));
    }

    /** Goes down: all calls fail, now and until {@link #comeBack}. */
    void goDown() {
        isDown = true;
        List<Call> failing = new ArrayList<>(queue);
        failing.addAll(watches);
        queue.clear();
        watches.clear();
        failing.forEach(call -> call.respond("503 Down", ""));
    }

    void comeBack() {
        isDown = false;
    }

    private String listText() {
        return "{\"revision\":" + revision + ",\"complete\":false,\"members\":[]}";
    }

    private void receive(Call call) {
        callCount++;
        if (isDown) {
            call.respond("503 Down", "");
            return;
        }
        queue.add(call);
        time.schedule(time.nowMicros() + maxQueueMicros, () -> {
            if (queue.remove(call)) {
                call.respond("503 Busy", "");
            }
        });
        serveNext();
    }

    private void serveNext() {
        if (isServing || queue.isEmpty()) {
            return;
        }
        isServing = true;
        Call call = queue.poll();
        time.schedule(time.nowMicros() + serviceMicros, () -> {
            isServing = false;
            finishService(call);
            serveNext();
        });
    }

    private void finishService(Call call) {
        if (isDown) {
            call.respond("503 Down", "");
        } else if (call.since != revision) {
            call.respond("200 OK", listText());
        } else {
            watches.add(call);
            time.schedule(Math.max(time.nowMicros(), call.receivedAt + call.waitMicros), () -> {
                if (watches.remove(call)) {
                    call.respond("200 OK", listText());
                }
            });
        }
    }

    /** Opens a connection of one dispatcher. */
    ExchangeConnection connect() {
        return new Connection();
    }

    /** One call on a connection. */
    private static final class Call {
        private final Connection connection;
        private final ExchangeConnection.Exchange exchange;
        private final long receivedAt;
        private final long since;
        private final long waitMicros;

        Call(Connection connection, ExchangeConnection.Exchange exchange, long receivedAt, long since, long waitMicros) {
            this.connection = connection;
            this.exchange = exchange;
            this.receivedAt = receivedAt;
            this.since = since;
            this.waitMicros = waitMicros;
        }

        /** Responds unless the caller has given up. */
        void respond(String status, String body) {
            if (connection.current != this) {
                return;
            }
            connection.current = null;
            ByteBuf response = Unpooled.copiedBuffer("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n"
                + body, StandardCharsets.US_ASCII);
            try {
                new MessageReader(true, MessageReader.MAX_BODY_BYTES, exchange).read(response);
            } catch (InvalidMessageException e) {
                throw new IllegalStateException(e);
            }
            exchange.onResponseEnded();
        }
    }

    /** A connection that is established at once and transfers without delay. */
    private final class Connection implements ExchangeConnection {
        private Call current;
        private boolean isClosed;

        @Override public void start(Exchange next) {
            ByteBuf request = next.createRequest();
            Matcher watch = WATCH.matcher(request.toString(StandardCharsets.US_ASCII));
            request.release();
            if (!watch.find()) {
                throw new IllegalStateException("not a watch");
            }
            Call call = new Call(this, next, time.nowMicros(), Long.parseLong(watch.group(1)), 1000 * Long.parseLong(watch.group(2)));
            current = call;
            next.onRequestWritten();
            time.schedule(time.nowMicros(), () -> {
                if (current == call) {
                    receive(call);
                }
            });
        }

        @Override public boolean hasDescriptor() {
            return true;
        }

        @Override public boolean isReusable() {
            return !isClosed && current == null;
        }

        @Override public void abort() {
            isClosed = true;
            dequeue();
        }

        @Override public void close() {
            isClosed = true;
            Call failed = current;
            dequeue();
            if (failed != null) {
                failed.exchange.onConnectionFailed(true);
            }
        }

        /** Drops the call; discovery does no work for a caller that has left its queue. */
        private void dequeue() {
            queue.remove(current);
            watches.remove(current);
            current = null;
        }
    }
}

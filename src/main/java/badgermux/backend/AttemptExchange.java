package badgermux.backend;

import badgermux.core.Deadlines;
import badgermux.decide.Dispatch.Outcome;
import badgermux.decide.Dispatch.Report;
import badgermux.http.BadMessage;
import badgermux.http.ClientConnection;
import badgermux.http.Head;
import badgermux.http.JsonLine;
import badgermux.http.Lines;
import badgermux.http.Relay;
import badgermux.http.Terms;
import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** An attempt on its connection: the request as it goes on, and what the lines and statuses that come back mean. */
final class AttemptExchange implements ClientConnection.Exchange {
    private final Relay relay;
    private final Backends.Backend backend;
    private final long limit;
    private final long attempt;
    private final Backends backends;
    private Pooled pooled;
    private final Lines lines = new Lines();
    private Outcome outcome;
    private byte[] result;
    private Report report;
    private Terms.Lines judge;
    private boolean begun;
    private boolean streams;
    private boolean told;
    private Deadlines.Deadline tail;

    AttemptExchange(Relay relay, Backends.Backend backend, long limit, long attempt, Backends backends) {
        this.relay = relay;
        this.backend = backend;
        this.limit = limit;
        this.attempt = attempt;
        this.backends = backends;
    }

    /** Where it goes. */
    Backends.Backend backend() {
        return backend;
    }

    /** Starts on a connection, which may not be up yet. */
    void startOn(Pooled connection) {
        pooled = connection;
        connection.connection.start(this);
    }

    /** Drops it and its connection, if it has one: nothing more is told of it. */
    void abort() {
        if (pooled != null) {
            pooled.connection.abort();
        }
    }

    /** Whether it has been handed to its connection's socket: from then on its backend may hear of it. */
    boolean isBegun() {
        return begun;
    }

    @Override public ByteBuf request() {
        begun = true;
        return relay.encode(backend.host(), Math.max(1, (limit - backends.now()) / 1000));
    }

    @Override public void written() {
        backends.written();
    }

    @Override public void head(Head head) throws BadMessage {
        int status = head.status();
        String load = head.get("X-Server-Load");
        report = load == null ? null : Loads.parse(load.getBytes(StandardCharsets.ISO_8859_1));
        streams = status == 200;
        judge = streams && relay.terms() != null ? relay.terms().lines(head) : null;
        if (!streams) {
            boolean unseen = (status == 503 || status == 504) && "1".equals(head.get("X-Not-Processed"));
            outcome = unseen ? Outcome.REJECTED : status / 100 == 4 ? Outcome.UNFIT : Outcome.ERROR;
        }
    }

    @Override public void body(byte[] bytes) throws BadMessage {
        if (streams) {
            for (byte[] line : lines.add(bytes)) {
                line(line);
            }
        }
    }

    private void line(byte[] bytes) throws BadMessage {
        if (outcome != null) {
            return;
        }
        JsonLine line = JsonLine.parse(bytes);
        // Guards against an answer to another request: it must reach no client.
        if (!relay.id().equals(line.text("id"))) {
            throw new BadMessage(502, "a line for another req");
        }
        // Guards against an answer that is not what its description says: it may have run, and counts as broken off.
        if (judge != null && !judge.next(bytes)) {
            throw new BadMessage(502, "a line that its description does not allow");
        }
        String state = String.valueOf(line.text("state"));
        switch (state) {
            case "started" -> backends.engine().started(attempt);
            case "running" -> backends.engine().progress(attempt);
            case "done" -> {
                result = line.content("result");
                outcome = result == null ? Outcome.RESET : Outcome.SERVED;
            }
            case "failed" -> outcome = Outcome.ERROR;
            case "returned" -> outcome = Outcome.REJECTED;
            case "lost" -> outcome = Outcome.RESET;
            default -> { }  // a state that later backends may add
        }
        if (outcome != null && line.raw("load") != null) {
            report = Loads.parse(line.raw("load"));
        }
    }

    /**
     * The client need not wait for the response's end, only for the line that tells the result. What brought no result may
     * go out again at once: guards against two attempts on open connections where that response never ends.
     */
    @Override public void progressed() {
        if (outcome == Outcome.SERVED && !told) {
            tail = backends.limitTail(pooled);
            tell(outcome);
        } else if (outcome != null && !told) {
            pooled.connection.close();
        }
    }

    @Override public void ended() {
        backends.cancel(tail);
        if (streams) {
            backends.put(pooled);
        } else {
            // Guards against such an answer that comes twice: without an id the second would end whatever goes out here next,
            // and one that says "not processed" would have a job sent again that runs.
            pooled.connection.close();
        }
        if (outcome == null && streams) {
            for (byte[] line : lines.rest()) {
                try {
                    line(line);
                } catch (BadMessage e) {
                    outcome = Outcome.RESET;
                }
            }
        }
        tell(outcome == null ? Outcome.RESET : outcome);
    }

    @Override public void broken(boolean written) {
        backends.cancel(tail);
        tell(outcome != null ? outcome : written ? Outcome.RESET : Outcome.CONNECT_FAILED);
    }

    private void tell(Outcome what) {
        if (!told) {
            told = true;
            backends.settled(attempt);
            if (what == Outcome.SERVED && relay.terms() != null) {
                relay.terms().result(result, usable ->
                    backends.engine().ended(attempt, what, usable ? result : null, report));
            } else {
                backends.engine().ended(attempt, what, result, report);
            }
        }
    }
}

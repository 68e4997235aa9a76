package badgermux.backend;

import badgermux.core.Deadlines;
import badgermux.decide.DispatchPolicy.Outcome;
import badgermux.decide.DispatchPolicy.LoadReport;
import badgermux.http.InvalidMessageException;
import badgermux.http.OutboundConnection;
import badgermux.http.MessageHead;
import badgermux.http.JsonLine;
import badgermux.http.LineSplitter;
import badgermux.http.ForwardedRequest;
import badgermux.http.ResponseContract;
import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** An attempt on its connection: the request as it goes on, and what the lines and statuses that come back mean. */
final class AttemptExchange implements OutboundConnection.Exchange {
    private final ForwardedRequest forwarded;
    private final HttpBackendClient.BackendPool pool;
    private final long deadlineMicros;
    private final long attemptId;
    private final HttpBackendClient client;
    private PooledConnection pooledConnection;
    private final LineSplitter lineSplitter = new LineSplitter();
    private Outcome outcome;
    private byte[] result;
    private LoadReport loadReport;
    private ResponseContract.LineValidator lineValidator;
    private boolean hasStartedWriting;
    private boolean hasResultLines;
    private boolean isReported;
    private Deadlines.Deadline responseEndTimeout;

    AttemptExchange(ForwardedRequest relay, HttpBackendClient.BackendPool backend, long limit, long attempt, HttpBackendClient backends) {
        this.forwarded = relay;
        this.pool = backend;
        this.deadlineMicros = limit;
        this.attemptId = attempt;
        this.client = backends;
    }

    /** Where it goes. */
    HttpBackendClient.BackendPool pool() {
        return pool;
    }

    /** Starts on a connection, which may not be up yet. */
    void startOn(PooledConnection connection) {
        pooledConnection = connection;
        connection.connection.start(this);
    }

    /** Drops it and its connection, if it has one: nothing more is told of it. */
    void abort() {
        if (pooledConnection != null) {
            pooledConnection.connection.abort();
        }
    }

    /** Whether it has been handed to its connection's socket: from then on its backend may hear of it. */
    boolean hasStartedWriting() {
        return hasStartedWriting;
    }

    @Override public ByteBuf createRequest() {
        hasStartedWriting = true;
        return forwarded.encode(pool.hostHeader(), Math.max(1, (deadlineMicros - client.now()) / 1000));
    }

    @Override public void onRequestWritten() {
        client.requestWritten();
    }

    @Override public void onHead(MessageHead head) throws InvalidMessageException {
        int status = head.status();
        String load = head.get("X-Server-Load");
        loadReport = load == null ? null : LoadReportParser.parse(load.getBytes(StandardCharsets.ISO_8859_1));
        hasResultLines = status == 200;
        lineValidator = hasResultLines && forwarded.contract() != null ? forwarded.contract().lineValidator(head) : null;
        if (!hasResultLines) {
            boolean unseen = (status == 503 || status == 504) && "1".equals(head.get("X-Not-Processed"));
            outcome = unseen ? Outcome.REJECTED : status / 100 == 4 ? Outcome.UNFIT : Outcome.ERROR;
        }
    }

    @Override public void onBody(byte[] bytes) throws InvalidMessageException {
        if (hasResultLines) {
            for (byte[] line : lineSplitter.add(bytes)) {
                handleLine(line);
            }
        }
    }

    private void handleLine(byte[] bytes) throws InvalidMessageException {
        if (outcome != null) {
            return;
        }
        JsonLine line = JsonLine.parse(bytes);
        // Guards against an answer to another request: it must reach no client.
        if (!forwarded.id().equals(line.text("id"))) {
            throw new InvalidMessageException(502, "a line for another req");
        }
        // Guards against an answer that is not what its description says: it may have run, and counts as broken off.
        if (lineValidator != null && !lineValidator.accept(bytes)) {
            throw new InvalidMessageException(502, "a line that its description does not allow");
        }
        String state = String.valueOf(line.text("state"));
        switch (state) {
            case "started" -> client.engine().attemptStarted(attemptId);
            case "running" -> client.engine().attemptProgressed(attemptId);
            case "done" -> {
                result = line.decoded("result");
                outcome = result == null ? Outcome.RESET : Outcome.SERVED;
            }
            case "failed" -> outcome = Outcome.ERROR;
            case "returned" -> outcome = Outcome.REJECTED;
            case "lost" -> outcome = Outcome.RESET;
            default -> { }  // a state that later backends may add
        }
        if (outcome != null && line.raw("load") != null) {
            loadReport = LoadReportParser.parse(line.raw("load"));
        }
    }

    /**
     * The client need not wait for the response's end, only for the line that tells the result. What brought no result may
     * go out again at once: guards against two attempts on open connections where that response never ends.
     */
    @Override public void onInputProcessed() {
        if (outcome == Outcome.SERVED && !isReported) {
            responseEndTimeout = client.startResponseEndTimeout(pooledConnection);
            reportOutcome(outcome);
        } else if (outcome != null && !isReported) {
            pooledConnection.connection.close();
        }
    }

    @Override public void onResponseEnded() {
        client.cancel(responseEndTimeout);
        if (hasResultLines) {
            client.releaseConnection(pooledConnection);
        } else {
            // Guards against such an answer that comes twice: without an id the second would end whatever goes out here next,
            // and one that says "not processed" would have a job sent again that runs.
            pooledConnection.connection.close();
        }
        if (outcome == null && hasResultLines) {
            for (byte[] line : lineSplitter.remainder()) {
                try {
                    handleLine(line);
                } catch (InvalidMessageException e) {
                    outcome = Outcome.RESET;
                }
            }
        }
        reportOutcome(outcome == null ? Outcome.RESET : outcome);
    }

    @Override public void onConnectionFailed(boolean written) {
        client.cancel(responseEndTimeout);
        reportOutcome(outcome != null ? outcome : written ? Outcome.RESET : Outcome.CONNECT_FAILED);
    }

    private void reportOutcome(Outcome ending) {
        if (!isReported) {
            isReported = true;
            client.attemptSettled(attemptId);
            if (ending == Outcome.SERVED && forwarded.contract() != null) {
                forwarded.contract().validateResult(result, usable ->
                    client.engine().attemptEnded(attemptId, ending, usable ? result : null, loadReport));
            } else {
                client.engine().attemptEnded(attemptId, ending, result, loadReport);
            }
        }
    }
}

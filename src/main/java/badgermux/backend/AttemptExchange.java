package badgermux.backend;

import badgermux.core.Deadlines;
import badgermux.decide.DispatchPolicy.LoadReport;
import badgermux.decide.DispatchPolicy.Outcome;
import badgermux.http.ForwardedRequest;
import badgermux.http.InvalidMessageException;
import badgermux.http.JsonLine;
import badgermux.http.LineSplitter;
import badgermux.http.MessageHead;
import badgermux.http.OutboundConnection;
import badgermux.http.ResponseContract;
import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** One attempt on its connection: sends the forwarded request and derives the outcome from the response. */
final class AttemptExchange implements OutboundConnection.Exchange {
    private final ForwardedRequest forwardedRequest;
    private final HttpBackendClient.BackendPool pool;
    private final long deadlineMicros;
    private final long attemptId;
    private final HttpBackendClient client;
    /** Null until the attempt starts. */
    private PooledConnection pooledConnection;
    private final LineSplitter lineSplitter = new LineSplitter();
    /** Null until a part of the response has shown it. */
    private Outcome outcome;
    private byte[] result;
    private LoadReport loadReport;
    /** Null if the response is not validated. */
    private ResponseContract.LineValidator lineValidator;
    private boolean hasStartedWriting;
    /** Whether the status is 200, so that the body consists of JSON lines. */
    private boolean hasResultLines;
    private boolean isReported;
    private Deadlines.Deadline responseEndTimeout;

    AttemptExchange(ForwardedRequest forwardedRequest, HttpBackendClient.BackendPool pool, long deadlineMicros, long attemptId,
            HttpBackendClient client) {
        this.forwardedRequest = forwardedRequest;
        this.pool = pool;
        this.deadlineMicros = deadlineMicros;
        this.attemptId = attemptId;
        this.client = client;
    }

    /** Returns the pool of the backend that the attempt is sent to. */
    HttpBackendClient.BackendPool pool() {
        return pool;
    }

    /** Starts the attempt on a connection, which may still be connecting. */
    void startOn(PooledConnection pooled) {
        pooledConnection = pooled;
        pooled.connection.start(this);
    }

    /** Abandons the attempt and closes its connection, if it has one. The outcome is not reported. */
    void abort() {
        if (pooledConnection != null) {
            pooledConnection.connection.abort();
        }
    }

    /** Whether the request has been handed to the socket, so that the backend may receive it. */
    boolean hasStartedWriting() {
        return hasStartedWriting;
    }

    @Override public ByteBuf createRequest() {
        hasStartedWriting = true;
        return forwardedRequest.encode(pool.hostHeader(), Math.max(1, (deadlineMicros - client.nowMicros()) / 1000));
    }

    @Override public void onRequestWritten() {
        client.requestWritten();
    }

    @Override public void onHead(MessageHead head) throws InvalidMessageException {
        int status = head.status();
        String load = head.get("X-Server-Load");
        loadReport = load == null ? null : LoadReportParser.parse(load.getBytes(StandardCharsets.ISO_8859_1));
        hasResultLines = status == 200;
        lineValidator = hasResultLines && forwardedRequest.contract() != null
            ? forwardedRequest.contract().lineValidator(head) : null;
        if (!hasResultLines) {
            boolean isUnprocessed = (status == 503 || status == 504) && "1".equals(head.get("X-Not-Processed"));
            outcome = isUnprocessed ? Outcome.REJECTED : status / 100 == 4 ? Outcome.UNFIT : Outcome.ERROR;
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
        // A response to another request must not reach the client.
        if (!forwardedRequest.id().equals(line.text("id"))) {
            throw new InvalidMessageException(502, "response line for another request");
        }
        // A response that violates the API description closes the connection; the outcome is RESET, as the request may have run.
        if (lineValidator != null && !lineValidator.accept(bytes)) {
            throw new InvalidMessageException(502, "response line violates the API description");
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
            default -> { }  // unknown states may come from newer backends
        }
        if (outcome != null && line.raw("load") != null) {
            loadReport = LoadReportParser.parse(line.raw("load"));
        }
    }

    /**
     * Reports a result before the response ends. An outcome without a result closes the connection, as the request may be
     * sent again at once and the backend may never end this response.
     */
    @Override public void onInputProcessed() {
        if (outcome == Outcome.SERVED && !isReported) {
            responseEndTimeout = client.startResponseEndTimeout(pooledConnection);
            reportOutcome(outcome);
        } else if (outcome != null && !isReported) {
            pooledConnection.connection.close();
        }
    }

    /**
     * Reuses the connection for a result only. Another attempt may follow all other outcomes, and a backend may give such an
     * answer twice: the second would end the next attempt on this connection, whose id is the same if its request is, while
     * the backend runs it.
     */
    @Override public void onResponseEnded() {
        client.cancel(responseEndTimeout);
        if (outcome == null && hasResultLines) {
            for (byte[] line : lineSplitter.remainder()) {
                try {
                    handleLine(line);
                } catch (InvalidMessageException e) {
                    outcome = Outcome.RESET;
                }
            }
        }
        if (outcome == Outcome.SERVED) {
            client.releaseConnection(pooledConnection);
        } else {
            pooledConnection.connection.close();
        }
        reportOutcome(outcome == null ? Outcome.RESET : outcome);
    }

    @Override public void onConnectionFailed(boolean requestWritten) {
        client.cancel(responseEndTimeout);
        reportOutcome(outcome != null ? outcome : requestWritten ? Outcome.RESET : Outcome.CONNECT_FAILED);
    }

    /** Reports the outcome to the engine, the first time only; a result that violates the contract is reported as null. */
    private void reportOutcome(Outcome reported) {
        if (!isReported) {
            isReported = true;
            client.attemptSettled(attemptId);
            if (reported == Outcome.SERVED && forwardedRequest.contract() != null) {
                forwardedRequest.contract().validateResult(result, isValid ->
                    client.engine().attemptEnded(attemptId, reported, isValid ? result : null, loadReport));
            } else {
                client.engine().attemptEnded(attemptId, reported, result, loadReport);
            }
        }
    }
}

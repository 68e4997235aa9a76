package badgermux.front;

import badgermux.core.Deadlines;
import badgermux.core.Engine;
import badgermux.core.ResponseListener;
import badgermux.http.ForwardedRequest;
import badgermux.http.InvalidMessageException;
import badgermux.http.MessageHead;
import badgermux.http.ResponseContract;
import badgermux.metrics.Metrics.Count;
import badgermux.metrics.Metrics.Ending;
import java.io.ByteArrayOutputStream;

/**
 * One request of a client, from its first byte to its final answer. It receives the events that concern it by itself, so that
 * an event can't be taken for one of another request on the same connection.
 */
final class ClientRequest implements ResponseListener, RequestValidator.Callback {
    /**
     * How long to wait for the client's disconnect before a request is submitted whose connection waited to be accepted.
     * No attempt may begin later than 0.1 s after the client has disconnected. Half of that is waited here; the other half is
     * left for the disconnect to reach this process.
     */
    static final long LATE_ACCEPT_WAIT_MICROS = 50_000;

    private final Frontend frontend;
    private final FrontendConnection connection;
    private final long startMicros;
    /** The earliest time at which its last byte can have arrived; deadlines count from there. */
    private long completeMicros;
    private MessageHead head;
    private ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    /** Whether the body was dropped, as there was no memory for it. */
    private boolean isBodyDropped;
    /** Null until the request has been found to be valid. */
    private RequestFields fields;
    private int requestClass;
    private byte[] content;
    /** Whether its id is in use. */
    private boolean isRegistered;
    /** Null unless the request waits for its validation. */
    private RequestValidator.Validation validation;
    /** Ends the wait before the submission shortly before the client gives up; null unless the request waits. */
    private Deadlines.Deadline waitTimeout;
    /** Null if the response is not validated. */
    private ResponseContract responseContract;
    /** The engine's id; 0 if the request has not been submitted. */
    private long engineRequestId;
    /** Whether it has its final answer, or its client gets none. */
    private boolean isEnded;

    /** Creates a request whose first byte was read at {@code startMicros}. */
    ClientRequest(Frontend frontend, FrontendConnection connection, long startMicros) {
        this.frontend = frontend;
        this.connection = connection;
        this.startMicros = startMicros;
    }

    /** Returns when the first byte was read. */
    long startMicros() {
        return startMicros;
    }

    /** Returns the head; null until it is complete. */
    MessageHead head() {
        return head;
    }

    /** The head is complete. */
    void setHead(MessageHead completeHead) {
        head = completeHead;
    }

    /** Stores the next bytes of the body, unless it has been dropped. */
    void addBody(byte[] bytes) {
        if (!isBodyDropped) {
            body.writeBytes(bytes);
        }
    }

    /** Returns how many bytes of the body have been received; 0 if it was dropped. */
    int receivedBodyBytes() {
        return body.size();
    }

    /**
     * Frees the part of the body that has been received. The rest is still read, because the client may miss a response that
     * is sent before; then the request is refused.
     */
    void dropBody() {
        isBodyDropped = true;
        body = new ByteArrayOutputStream(0);
    }

    /** Returns how many bytes are held for this request. */
    long heldBytes() {
        if (isEnded || head == null) {
            return 0;
        }
        // The header lines of a taken request are held once more, as they are forwarded.
        return content == null ? head.heldBytes() + body.size() : 2L * head.heldBytes() + content.length;
    }

    /** The last byte has been read; {@code atMicros} is the earliest time at which it can have arrived. */
    void completed(long atMicros) {
        completeMicros = atMicros;
    }

    /**
     * Takes a complete POST request: refuses it, or validates and submits it.
     *
     * @throws InvalidMessageException if the request is not valid
     */
    void take(String method, String target) throws InvalidMessageException {
        fields = RequestFields.parse(head, method, target);
        requestClass = frontend.classIndex(fields.className());
        if (requestClass < 0) {
            throw new InvalidMessageException(400, "unknown class");
        }
        if (!fields.hasIdempotencyKey() && frontend.requiresIdempotencyKey(requestClass)) {
            throw new InvalidMessageException(400, "Idempotency-Key is missing");
        }
        // Backends identify a request by its id, so two open requests must not share one.
        if (frontend.isRequestOpen(fields.id())) {
            frontend.metrics().increment(Count.IDS_IN_USE);
            throw new InvalidMessageException(409, "X-Request-ID is in use");
        }
        if (frontend.sentIds().contains(fields.id())) {
            frontend.metrics().increment(Count.IDS_REPEATED);
            throw new InvalidMessageException(409, "X-Request-ID was used for a request that must not run again");
        }
        connection.validRequestReceived();
        if (frontend.isAtRequestLimit()) {
            frontend.metrics().increment(Count.CLIENT_CONNECTIONS_OVER_CAP);
            connection.closeAfterAnswer();
            refuse();
            return;
        }
        // A request that is taken now would still be open at SIGKILL.
        if (frontend.isPastFinalAnswers()) {
            refuse();
            return;
        }
        if (isBodyDropped || frontend.clientMemory().isExhaustedFor(connection)) {
            frontend.metrics().increment(Count.BODIES_OVER_CAP);
            refuse();
            return;
        }
        content = body.toByteArray();
        body = null;
        // The id is in use from here on, also during validation.
        isRegistered = true;
        frontend.registerRequest(fields.id());
        frontend.connections().busy(connection);
        if (frontend.requestValidator() == null) {
            submit();
        } else {
            RequestValidator.Validation pending =
                frontend.requestValidator().validate(method, target, head, content, this);
            if (pending != null) {
                validation = pending;
                startWait();
            }
        }
    }

    /**
     * Starts a wait before the submission. Until then the engine does not know the request, so that its final answer is due
     * here: shortly before its client gives up, or before this process exits.
     */
    private void startWait() {
        if (waitTimeout == null) {
            waitTimeout = frontend.deadlines().scheduleAt(deadlineMicros() - Engine.ANSWER_MARGIN_MICROS,
                this::refuseUnsubmitted);
            frontend.waitStarted(this);
        }
    }

    /** Refuses the request, which has waited for its submission until its answer was due. */
    void refuseUnsubmitted() {
        frontend.metrics().increment(Count.ANSWERS_OVERDUE);
        refuse();
    }

    private void endWait() {
        if (waitTimeout != null) {
            frontend.deadlines().cancel(waitTimeout);
            waitTimeout = null;
            frontend.waitEnded(this);
        }
    }

    /** Refuses the request before it is submitted. The ending is counted here, as the engine counts submitted requests only. */
    private void refuse() {
        frontend.metrics().recordEnding(Ending.DEFERRED, requestClass);
        onRefused(frontend.retryAfterMicros());
    }

    // ---- Validation

    @Override public void onAccepted(ResponseContract contract) {
        validation = null;
        responseContract = contract;
        submit();
    }

    @Override public void onRejected(int status, String reason, String headers, byte[] problem) {
        validation = null;
        frontend.metrics().recordEnding(Ending.ERRORED, requestClass);
        connection.sendAnswer(this, status, reason, headers, problem);
    }

    @Override public void onOverloaded() {
        refuse();
    }

    // ---- Submission

    /** Submits the request, after {@link #LATE_ACCEPT_WAIT_MICROS} if its client may have disconnected. */
    private void submit() {
        if (!connection.wasAcceptedLate()) {
            submitNow(true);
        } else if (deadlineMicros() <= frontend.nowMicros()) {
            refuse();
        } else {
            connection.awaitDisconnect();
            startWait();
            frontend.deadlines().scheduleAfter(LATE_ACCEPT_WAIT_MICROS, () -> {
                if (!isEnded) {
                    submitNow(false);
                }
            });
        }
    }

    private void submitNow(boolean isDeadlineKnown) {
        endWait();
        if (frontend.isPastFinalAnswers()) {     // the validation or the wait may have lasted until then
            refuse();
            return;
        }
        ForwardedRequest forwarded =
            new ForwardedRequest(fields.id(), fields.requestLine(), fields.headers(), content, responseContract);
        engineRequestId = frontend.engine().submit(this, forwarded, requestClass, frontend.tenantIndex(fields.tenant()),
            fields.slots(), deadlineMicros(), isDeadlineKnown);
        if (!isEnded && !frontend.isRepeatable(requestClass)) {
            frontend.unrepeatableRequestSubmitted(fields.id());
        }
    }

    /** Returns the earliest time at which the client can give up. */
    private long deadlineMicros() {
        // Caps the client's timeout by its class's: a longer one would make the policy treat all other requests as late.
        long timeoutMicros = Math.min(fields.timeoutMicros() > 0 ? fields.timeoutMicros() : Long.MAX_VALUE,
            frontend.classDeadlineMicros(requestClass));
        return completeMicros + timeoutMicros;
    }

    // ---- Final answers

    @Override public void onServed(byte[] result) {
        connection.sendAnswer(this, 200, "OK", "", result);
    }

    @Override public void onRefused(long retryAfterMicros) {
        String headers = retryAfterMicros <= 0 ? "" : "Retry-After: " + formatSeconds(retryAfterMicros) + "\r\n";
        connection.sendAnswer(this, 503, "Service Unavailable", headers, new byte[0]);
    }

    @Override public void onFailed(boolean timedOut) {
        connection.sendAnswer(this, timedOut ? 504 : 500, timedOut ? "Gateway Timeout" : "Internal Server Error", "",
            new byte[0]);
    }

    /**
     * Formats microseconds as seconds with three decimals, at least 0.001. Uses no formatter, which would take a third of the
     * time of a refusal.
     */
    static String formatSeconds(long micros) {
        long millis = Math.max(1, (micros + 500) / 1000);
        return millis / 1000 + "." + Long.toString(1000 + millis % 1000).substring(1);
    }

    /** Whether the request has its final answer, or its client gets none. */
    boolean isEnded() {
        return isEnded;
    }

    /** Ends the request, whose final answer is being sent: its id is free again, and nothing is held for it any more. */
    void end() {
        if (isEnded) {
            return;
        }
        isEnded = true;
        rememberIfSent(engineRequestId != 0 && frontend.engine().mayHaveRun(engineRequestId));
        endWait();
        if (validation != null) {
            validation.cancel();
            validation = null;
        }
        if (responseContract != null) {
            responseContract.release();
            responseContract = null;
        }
        if (isRegistered) {
            frontend.unregisterRequest(fields.id());
        }
    }

    /** Ends the request without an answer, as its client has disconnected or was rejected. */
    void abandon() {
        if (isEnded) {
            return;
        }
        boolean mayHaveRun = engineRequestId != 0 && frontend.engine().clientDisconnected(engineRequestId);
        end();
        rememberIfSent(mayHaveRun);
    }

    /** Remembers the id of a request that may have run and must not run again. */
    private void rememberIfSent(boolean mayHaveRun) {
        if (mayHaveRun && !frontend.isRepeatable(requestClass)) {
            frontend.sentIds().add(fields.id());
        }
    }
}

package badgermux.decide;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/** Records what a policy decides, and fires its timers as time passes. */
final class RecordingActions implements DispatchPolicy.Actions {
    record Send(long requestId, long backendId) { }

    record PendingTimer(long at, int order, int token) { }

    final List<Send> sends = new ArrayList<>();
    final List<Long> refused = new ArrayList<>();
    /** When the client of each request in {@link #refused} was told to come back. */
    final List<Long> retryAfters = new ArrayList<>();
    final List<Long> failed = new ArrayList<>();
    /** Cancelled attempts as REQUEST/ATTEMPT. */
    final List<String> cancelled = new ArrayList<>();
    final List<Long> probed = new ArrayList<>();
    /** Backends whose idle connections were closed. */
    final List<Long> closedIdle = new ArrayList<>();
    final List<String> logged = new ArrayList<>();
    /** All actions in their order, with their arguments. */
    final List<String> descriptions = new ArrayList<>();
    /** The time of each of {@link #descriptions}. */
    final List<Long> times = new ArrayList<>();
    final PriorityQueue<PendingTimer> timers =
        new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : a.order - b.order);
    int watchCount;
    long now;
    private int order;

    /** Lets time pass until {@code to} and fires the timers that are due. */
    void advance(DispatchPolicy policy, long to) {
        while (!timers.isEmpty() && timers.peek().at <= to) {
            PendingTimer due = timers.poll();
            now = due.at;
            policy.timerFired(now, due.token);
        }
        now = to;
    }

    Send lastSend() {
        return sends.get(sends.size() - 1);
    }

    private void record(String description) {
        descriptions.add(description);
        times.add(now);
    }

    @Override public void send(long requestId, long backendId) {
        sends.add(new Send(requestId, backendId));
        record("send " + requestId + ' ' + backendId);
    }

    @Override public void refuse(long requestId, long retryAfterMicros) {
        refused.add(requestId);
        retryAfters.add(retryAfterMicros);
        record("refuse " + requestId);
    }

    @Override public void fail(long requestId) {
        failed.add(requestId);
        record("fail " + requestId);
    }

    @Override public void cancel(long requestId, int attemptNumber) {
        cancelled.add(requestId + "/" + attemptNumber);
        record("cancel " + requestId + '/' + attemptNumber);
    }

    @Override public void startTimer(long delayMicros, int token) {
        timers.add(new PendingTimer(now + delayMicros, order++, token));
        record("timer " + delayMicros + ' ' + token);
    }

    @Override public void probe(long backendId) {
        probed.add(backendId);
        record("probe " + backendId);
    }

    @Override public void closeIdleConnections(long backendId) {
        closedIdle.add(backendId);
        record("close-idle " + backendId);
    }

    @Override public void watchBackendList() {
        watchCount++;
        record("watch");
    }

    @Override public void log(String line) {
        logged.add(line);
        record("log " + line);
    }
}

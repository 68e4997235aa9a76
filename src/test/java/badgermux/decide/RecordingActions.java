package badgermux.decide;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/** Records what a dispatcher decides, and hands its timers back when their time has come. */
final class RecordingActions implements DispatchPolicy.Actions {
    record Send(long requestId, long backendId) { }

    record PendingTimer(long at, int order, int token) { }

    final List<Send> sends = new ArrayList<>();
    final List<Long> refused = new ArrayList<>();
    final List<Long> retryAfters = new ArrayList<>();
    final List<Long> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<Long> probed = new ArrayList<>();
    final List<Long> closedIdle = new ArrayList<>();
    final List<String> logged = new ArrayList<>();
    final List<String> descriptions = new ArrayList<>();
    /** When each of {@link #descriptions} was done. */
    final List<Long> times = new ArrayList<>();
    final PriorityQueue<PendingTimer> timers =
        new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : a.order - b.order);
    int watchCount;
    long now;
    private int order;

    /** Lets time pass, timers included. */
    void advance(DispatchPolicy module, long to) {
        while (!timers.isEmpty() && timers.peek().at <= to) {
            PendingTimer due = timers.poll();
            now = due.at;
            module.timerFired(now, due.token);
        }
        now = to;
    }

    Send lastSend() {
        return sends.get(sends.size() - 1);
    }

    private void record(String what) {
        descriptions.add(what);
        times.add(now);
    }

    @Override public void send(long job, long worker) {
        sends.add(new Send(job, worker));
        record("send " + job + ' ' + worker);
    }

    @Override public void refuse(long job, long comeBack) {
        refused.add(job);
        retryAfters.add(comeBack);
        record("refuse " + job);
    }

    @Override public void fail(long job) {
        failed.add(job);
        record("fail " + job);
    }

    @Override public void cancel(long job, int attempt) {
        cancelled.add(job + "/" + attempt);
        record("cancel " + job + '/' + attempt);
    }

    @Override public void startTimer(long delay, int token) {
        timers.add(new PendingTimer(now + delay, order++, token));
        record("timer " + delay + ' ' + token);
    }

    @Override public void probe(long worker) {
        probed.add(worker);
        record("probe " + worker);
    }

    @Override public void closeIdleConnections(long worker) {
        closedIdle.add(worker);
        record("release " + worker);
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

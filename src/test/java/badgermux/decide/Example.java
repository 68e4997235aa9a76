package badgermux.decide;

import java.util.List;

/** The program in the README: a backend list, a request, two failed attempts, and the actions that follow. */
public final class Example implements DispatchPolicy.Actions {
    public static void main(String[] args) {
        DispatchPolicy.Settings settings = new DispatchPolicy.Settings();
        settings.classes.add(new DispatchPolicy.RequestClass("render", DispatchPolicy.Effect.REPEATABLE,
            DispatchPolicy.DedupScope.ALL, 300_000, 1.5, 5_000_000, 0, 1, 0, -1, false));
        settings.maxAttempts = 2;
        DispatchPolicy policy = new DefaultDispatchPolicy(settings, 42, new Example());

        policy.backendsListed(0, DispatchPolicy.ListUpdate.FULL, List.of(
            new DispatchPolicy.Backend(1, 0, 0, 0, DispatchPolicy.BackendState.READY, 0),
            new DispatchPolicy.Backend(2, 0, 0, 0, DispatchPolicy.BackendState.DRAINING, 0)));
        policy.requestReceived(1_000, new DispatchPolicy.Request(77, 0, 0, 1, 0, 5_000_000));
        policy.attemptEnded(2_000, 77, 0, 1, DispatchPolicy.Outcome.CONNECT_FAILED, false, null);
        policy.attemptEnded(3_000, 77, 1, 1, DispatchPolicy.Outcome.CONNECT_FAILED, false, null);
    }

    @Override public void send(long requestId, long backendId) {
        System.out.println("send request " + requestId + " to backend " + backendId);
    }

    @Override public void refuse(long requestId, long retryAfterMicros) {
        System.out.println("refuse request " + requestId + ", retry after " + retryAfterMicros + " us");
    }

    @Override public void fail(long requestId) {
        System.out.println("fail request " + requestId);
    }

    @Override public void cancel(long requestId, int attemptNumber) {
        System.out.println("cancel attempt " + attemptNumber + " of request " + requestId);
    }

    @Override public void startTimer(long delayMicros, int token) {
        System.out.println("call timerFired(" + token + ") in " + delayMicros + " us");
    }

    @Override public void probe(long backendId) {
        System.out.println("probe backend " + backendId);
    }

    @Override public void closeIdleConnections(long backendId) {
        System.out.println("close idle connections to backend " + backendId);
    }

    @Override public void watchBackendList() {
        System.out.println("watch the backend list");
    }

    @Override public void log(String line) {
        System.out.println(line);
    }
}

package badgermux.decide;

import java.util.List;

/** The README's program: one list, one request, one outcome, and the actions that they bring. */
public final class Example implements DispatchPolicy.Actions {
    public static void main(String[] args) {
        DispatchPolicy.Settings settings = new DispatchPolicy.Settings();
        settings.classes.add(new DispatchPolicy.RequestClass("render", DispatchPolicy.Effect.REPEATABLE, DispatchPolicy.DedupScope.ALL,
            300_000, 1.5, 5_000_000, 0, 1, 0, -1, false));
        settings.maxAttempts = 2;
        DefaultDispatchPolicy dispatcher = new DefaultDispatchPolicy(settings, 42, new Example());

        dispatcher.backendsListed(0, DispatchPolicy.ListUpdate.FULL, List.of(
            new DispatchPolicy.Backend(1, 0, 0, 0, DispatchPolicy.BackendState.READY, 0),
            new DispatchPolicy.Backend(2, 0, 0, 0, DispatchPolicy.BackendState.DRAINING, 0)));
        dispatcher.requestReceived(1_000, new DispatchPolicy.Request(77, 0, 0, 1, 0, 5_000_000));
        dispatcher.attemptEnded(2_000, 77, 0, 1, DispatchPolicy.Outcome.CONNECT_FAILED, false, null);
        dispatcher.attemptEnded(3_000, 77, 1, 1, DispatchPolicy.Outcome.CONNECT_FAILED, false, null);
    }

    @Override public void send(long job, long worker) {
        System.out.println("send job " + job + " to worker " + worker);
    }

    @Override public void refuse(long job, long comeBack) {
        System.out.println("refuse job " + job + ", come back in " + comeBack + " us");
    }

    @Override public void fail(long job) {
        System.out.println("fail job " + job);
    }

    @Override public void cancel(long job, int attempt) {
        System.out.println("cancel attempt " + attempt + " of job " + job);
    }

    @Override public void startTimer(long delay, int token) {
        System.out.println("call timer(" + token + ") in " + delay + " us");
    }

    @Override public void probe(long worker) {
        System.out.println("probe worker " + worker);
    }

    @Override public void closeIdleConnections(long worker) {
        System.out.println("close idle connections to worker " + worker);
    }

    @Override public void watchBackendList() {
        System.out.println("watch the list");
    }

    @Override public void log(String line) {
        System.out.println(line);
    }
}

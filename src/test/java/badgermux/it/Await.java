package badgermux.it;

import java.util.concurrent.TimeUnit;

/** Waiting with an end: what never comes fails its test, and does not hang it. */
final class Await {
    /** What is waited for. */
    interface Condition {
        boolean isMet() throws Exception;
    }

    private Await() { }

    /** Looks again and again until it holds. */
    static void until(String what, Condition condition) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakeServer.TIMEOUT_SECONDS);
        try {
            while (!condition.isMet()) {
                if (System.nanoTime() > end) {
                    throw new AssertionError("not in time: " + what);
                }
                TimeUnit.MILLISECONDS.sleep(2);
            }
        } catch (Exception e) {
            throw new AssertionError("while waiting for: " + what, e);
        }
    }

    /** The next request that any of these get. */
    static FakeServer.Exchange nextExchange(FakeServer... peers) {
        FakeServer.Exchange[] next = new FakeServer.Exchange[1];
        until("a request", () -> {
            for (FakeServer peer : peers) {
                next[0] = next[0] == null ? peer.poll() : next[0];
            }
            return next[0] != null;
        });
        return next[0];
    }
}

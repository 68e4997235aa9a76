package badgermux.it;

import java.util.concurrent.TimeUnit;

/** Waiting with an end: what never comes fails its test, and does not hang it. */
final class Await {
    /** What is waited for. */
    interface Condition {
        boolean holds() throws Exception;
    }

    private Await() { }

    /** Looks again and again until it holds. */
    static void until(String what, Condition condition) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Peer.PATIENCE_S);
        try {
            while (!condition.holds()) {
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
    static Peer.Call next(Peer... peers) {
        Peer.Call[] next = new Peer.Call[1];
        until("a request", () -> {
            for (Peer peer : peers) {
                next[0] = next[0] == null ? peer.peek() : next[0];
            }
            return next[0] != null;
        });
        return next[0];
    }
}

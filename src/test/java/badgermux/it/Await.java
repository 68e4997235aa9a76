package badgermux.it;

import java.util.concurrent.TimeUnit;

/** Waits for conditions with a timeout, so that a condition that is never met fails its test instead of hanging it. */
final class Await {
    /** A condition to wait for; an exception fails the wait at once. */
    interface Condition {
        boolean isMet() throws Exception;
    }

    private Await() { }

    /**
     * Polls a condition until it is met.
     *
     * @param description names the condition in the message of the {@link AssertionError} that is thrown after
     *                    {@link FakeServer#TIMEOUT_SECONDS}
     */
    static void until(String description, Condition condition) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakeServer.TIMEOUT_SECONDS);
        try {
            while (!condition.isMet()) {
                if (System.nanoTime() > end) {
                    throw new AssertionError("timed out waiting for: " + description);
                }
                TimeUnit.MILLISECONDS.sleep(2);
            }
        } catch (Exception e) {
            throw new AssertionError("failed while waiting for: " + description, e);
        }
    }

    /** Waits for a request at any of the servers and takes it from its queue. */
    static FakeServer.Exchange nextExchange(FakeServer... servers) {
        FakeServer.Exchange[] next = new FakeServer.Exchange[1];
        until("a request", () -> {
            for (FakeServer server : servers) {
                next[0] = next[0] == null ? server.poll() : next[0];
            }
            return next[0] != null;
        });
        return next[0];
    }
}

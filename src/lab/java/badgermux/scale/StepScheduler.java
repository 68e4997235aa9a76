package badgermux.scale;

import java.io.Closeable;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** The one thread on which a run's script goes on, step by step; a step that fails is counted, for the verdict. */
final class StepScheduler implements Closeable {
    /** What is done at a time. */
    interface Step {
        void run() throws InterruptedException;
    }

    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor();
    private final AtomicInteger pending = new AtomicInteger(), failed = new AtomicInteger();

    /** Does it after a time; the run does not end before it is done. */
    void scheduleMicros(long micros, Step step) {
        pending.incrementAndGet();
        scheduleUnawaited(micros, () -> {
            try {
                step.run();
            } finally {
                pending.decrementAndGet();
            }
        });
    }

    /** Does it after a time, unless the run is over by then. */
    void scheduleUnawaited(long micros, Step step) {
        thread.schedule(() -> {
            try {
                step.run();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();     // the run is over
            } catch (RuntimeException e) {
                failed.incrementAndGet();
                e.printStackTrace();
            }
        }, micros, TimeUnit.MICROSECONDS);
    }

    void scheduleMs(long millis, Step step) {
        scheduleMicros(TimeUnit.MILLISECONDS.toMicros(millis), step);
    }

    /** Whether nothing is left to be done. */
    boolean isSettled() {
        return pending.get() == 0;
    }

    int failed() {
        return failed.get();
    }

    @Override public void close() {
        thread.shutdownNow();
    }
}

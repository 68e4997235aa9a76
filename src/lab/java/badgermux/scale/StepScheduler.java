package badgermux.scale;

import java.io.Closeable;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Runs the steps of a run on one thread. A failed step is counted and makes the run fail. */
final class StepScheduler implements Closeable {
    /** An action to run at a time. */
    interface Step {
        void run() throws InterruptedException;
    }

    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor();
    private final AtomicInteger pending = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();

    /** Schedules a step that has to be completed before the run ends. */
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

    /** Schedules a step that is dropped if the run ends before. */
    void scheduleUnawaited(long micros, Step step) {
        thread.schedule(() -> {
            try {
                step.run();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();     // the run has ended
            } catch (RuntimeException e) {
                failed.incrementAndGet();
                e.printStackTrace();
            }
        }, micros, TimeUnit.MICROSECONDS);
    }

    /** Like {@link #scheduleMicros}, with a delay in milliseconds. */
    void scheduleMs(long millis, Step step) {
        scheduleMicros(TimeUnit.MILLISECONDS.toMicros(millis), step);
    }

    /** Whether all steps that the run has to wait for are completed. */
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

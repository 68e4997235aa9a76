package badgermux.core;

import java.util.concurrent.Executor;

/**
 * Runs tasks of an event loop once all input that had come when its present round began has been dealt with, the ends of
 * connections included.
 *
 * <p>An event loop reads its connections first and runs its tasks then. The end of a connection is told by such a task, which
 * stands in the queue behind those of connections that were read earlier in the round; so a task that is to come behind all
 * of them is put into the queue from a task.
 */
public final class AfterInputExecutor implements Executor {
    private final Executor eventLoop;

    /**
     * Wraps an event loop.
     *
     * @param eventLoop runs tasks one after another, in the order in which they came
     */
    public AfterInputExecutor(Executor eventLoop) {
        this.eventLoop = eventLoop;
    }

    @Override public void execute(Runnable task) {
        eventLoop.execute(() -> eventLoop.execute(task));
    }
}

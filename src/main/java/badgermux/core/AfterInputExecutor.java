package badgermux.core;

import java.util.concurrent.Executor;

/**
 * Runs tasks on an event loop after all input that had arrived when its current round began has been handled, including
 * closed connections.
 *
 * <p>In each round an event loop first reads its connections and then runs its queued tasks. The end of a connection is
 * reported by a queued task, behind the tasks of connections read earlier in the round. A task that must run after all of
 * them is therefore submitted twice: the first task submits the second.
 */
public final class AfterInputExecutor implements Executor {
    private final Executor eventLoop;

    /**
     * Wraps an event loop.
     *
     * @param eventLoop runs tasks sequentially in the order of their submission
     */
    public AfterInputExecutor(Executor eventLoop) {
        this.eventLoop = eventLoop;
    }

    @Override public void execute(Runnable task) {
        eventLoop.execute(() -> eventLoop.execute(task));
    }
}

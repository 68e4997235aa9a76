package badgermux.it;

import java.io.IOException;

/** Runs tasks on threads of their own, beside a test, which do not keep the test process alive. */
final class Daemon {
    /** A task that ends by an exception where the process that it speaks to has ended. */
    interface Task {
        void run() throws IOException, InterruptedException;
    }

    private Daemon() { }

    /** Starts a task; its failure is not reported, as the test sees the consequences. */
    static Thread start(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException | InterruptedException | AssertionError e) {
                // the connection is closed, or the test has ended
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}

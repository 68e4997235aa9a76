package badgermux.log;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.AbstractFormatPatternWriter;

/**
 * Writes the log to standard error on a separate thread. On the event loop, a write to a pipe that is not read would block all
 * clients. Lines beyond {@link #MAX_QUEUED_LINES} in the queue are dropped; a line with their number is written instead.
 */
public final class AsynchronousWriter extends AbstractFormatPatternWriter {
    /** Twice the lines that a list of a thousand backends causes. */
    static final int MAX_QUEUED_LINES = 2048;

    private static final ArrayBlockingQueue<String> QUEUE = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private static final AtomicLong DROPPED_COUNT = new AtomicLong();
    private static final AtomicLong QUEUED_COUNT = new AtomicLong();
    private static final AtomicLong WRITTEN_COUNT = new AtomicLong();
    private boolean threadStarted;

    /** Called by tinylog. */
    public AsynchronousWriter(Map<String, String> properties) {
        super(properties);
    }

    @Override public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return super.getRequiredLogEntryValues();
    }

    @Override public synchronized void write(LogEntry entry) {
        if (!threadStarted) {
            threadStarted = true;
            Thread thread = new Thread(AsynchronousWriter::writeQueuedLines, "log");
            thread.setDaemon(true);
            thread.start();
        }
        if (QUEUE.offer(render(entry))) {
            QUEUED_COUNT.incrementAndGet();
        } else {
            DROPPED_COUNT.incrementAndGet();
        }
    }

    private static void writeQueuedLines() {
        try {
            while (true) {
                StringBuilder lines = new StringBuilder(QUEUE.take());
                long lineCount = 1;
                for (String line = QUEUE.poll(); line != null && lines.length() < 8192; line = QUEUE.poll()) {
                    lines.append(line);
                    lineCount++;
                }
                long dropped = DROPPED_COUNT.getAndSet(0);
                if (dropped > 0) {
                    lines.append(dropped).append(" log lines dropped: standard error was not read in time\n");
                }
                System.err.print(lines);
                System.err.flush();
                WRITTEN_COUNT.addAndGet(lineCount);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until all lines logged so far are written, at most for the timeout, since standard error may not be read. */
    public static void awaitWritten(long timeoutMillis) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        long queued = QUEUED_COUNT.get();
        while (WRITTEN_COUNT.get() < queued && System.nanoTime() < deadlineNanos) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    @Override public void flush() { }

    @Override public void close() { }
}

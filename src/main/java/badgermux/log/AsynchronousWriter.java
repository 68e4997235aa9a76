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
 * Writes the log to standard error on a thread of its own. Guards against a log that nobody reads: the event loop would
 * wait for its pipe, and with it every client. Lines beyond {@link #MAX_QUEUED_LINES} that wait to be written are dropped, and how
 * many is told in their place.
 */
public final class AsynchronousWriter extends AbstractFormatPatternWriter {
    /** A list of a thousand runners, each with its line, fits twice over. */
    static final int MAX_QUEUED_LINES = 2048;

    private static final ArrayBlockingQueue<String> QUEUE = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private static final AtomicLong DROPPED = new AtomicLong(), QUEUED = new AtomicLong(), WRITTEN = new AtomicLong();
    private boolean threadStarted;

    /** Made by tinylog. */
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
            QUEUED.incrementAndGet();
        } else {
            DROPPED.incrementAndGet();
        }
    }

    private static void writeQueuedLines() {
        try {
            while (true) {
                StringBuilder lines = new StringBuilder(QUEUE.take());
                long taken = 1;
                for (String line = QUEUE.poll(); line != null && lines.length() < 8192; line = QUEUE.poll()) {
                    lines.append(line);
                    taken++;
                }
                long dropped = DROPPED.getAndSet(0);
                if (dropped > 0) {
                    lines.append(dropped).append(" lines of the log were dropped: nobody read it\n");
                }
                System.err.print(lines);
                System.err.flush();
                WRITTEN.addAndGet(taken);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until what was logged so far is written, or for so many milliseconds: nobody may read it. */
    public static void awaitWritten(long millis) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        long all = QUEUED.get();
        while (WRITTEN.get() < all && System.nanoTime() < until) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    @Override public void flush() { }

    @Override public void close() { }
}

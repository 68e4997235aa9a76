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
 * wait for its pipe, and with it every client. Lines beyond {@link #MOST} that wait to be written are dropped, and how
 * many is told in their place.
 */
public final class AsideWriter extends AbstractFormatPatternWriter {
    /** A list of a thousand runners, each with its line, fits twice over. */
    static final int MOST = 2048;

    private static final ArrayBlockingQueue<String> WAITING = new ArrayBlockingQueue<>(MOST);
    private static final AtomicLong DROPPED = new AtomicLong(), TAKEN = new AtomicLong(), WRITTEN = new AtomicLong();
    private boolean started;

    /** Made by tinylog. */
    public AsideWriter(Map<String, String> properties) {
        super(properties);
    }

    @Override public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return super.getRequiredLogEntryValues();
    }

    @Override public synchronized void write(LogEntry entry) {
        if (!started) {
            started = true;
            Thread thread = new Thread(AsideWriter::run, "log");
            thread.setDaemon(true);
            thread.start();
        }
        if (WAITING.offer(render(entry))) {
            TAKEN.incrementAndGet();
        } else {
            DROPPED.incrementAndGet();
        }
    }

    private static void run() {
        try {
            while (true) {
                StringBuilder lines = new StringBuilder(WAITING.take());
                long taken = 1;
                for (String line = WAITING.poll(); line != null && lines.length() < 8192; line = WAITING.poll()) {
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
    public static void finish(long millis) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        long all = TAKEN.get();
        while (WRITTEN.get() < all && System.nanoTime() < until) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    @Override public void flush() { }

    @Override public void close() { }
}

package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What was sent, answered and run, with the time since the start of the test; written to record.txt at the end. */
final class Trace {
    /** Scripts run for 120 s at most. */
    private static final long MAX_TEST_MILLIS = 110_000;
    private static final long START = System.nanoTime();
    private static final List<String> LINES = new ArrayList<>();

    private Trace() { }

    /** Returns the milliseconds since the start of the test. */
    static double now() {
        return (System.nanoTime() - START) / 1e6;
    }

    static synchronized void add(String line) {
        LINES.add(String.format("%10.1f ms  %s", now(), line));
    }

    /** Ends the test as one that could not run if it takes too long; its dispatcher ends with it. */
    static void limitTime(Path file) {
        Listener.daemon(() -> {
            Thread.sleep(MAX_TEST_MILLIS);
            add("the case could not run: it took too long");
            write(file);
            System.exit(2);
        });
    }

    static synchronized void write(Path file) throws IOException {
        try (PrintWriter out = new PrintWriter(Files.newBufferedWriter(file))) {
            LINES.forEach(out::println);
        }
    }
}

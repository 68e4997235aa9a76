package badgermux.metrics;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.LongSupplier;

/** Counts of what is taken in, sent and answered, and levels of what is at hand. Only the event loop uses them. */
public final class Metrics {
    /** What is counted. */
    public enum Count {
        CLIENT_CONNECTIONS, CLIENT_CONNECTIONS_EVICTED, CLIENT_CONNECTIONS_OVER_CAP,
        CLIENT_CONNECTIONS_SILENT, BODIES_OVER_CAP, BAD_MESSAGES, IDS_IN_USE,
        REQS_TAKEN, TENANTS_UNKNOWN, ANSWERS_OVERDUE, CLIENTS_GONE,
        FETCHES_SENT, FETCHES_WRITTEN,
        FETCHES_SERVED, FETCHES_ERROR, FETCHES_REJECTED, FETCHES_TIMED_OUT, FETCHES_CONNECT_FAILED,
        FETCHES_RESET, FETCHES_CANCELLED, FETCHES_MOOT, FETCHES_UNFIT, LATE_EVENTS,
        BACKEND_CONNECTS, BACKEND_CONNECTIONS_REUSED, BACKEND_CONNECTIONS_OVER_CAP,
        PROBES_SENT, PROBES_ANSWERED, DIRECTOR_CALLS, DIRECTOR_LISTS, DIRECTOR_FAILURES, DIRECTOR_SILENCES,
        DIRECTOR_ENTRIES_SKIPPED,
        RELOADS, RELOADS_REJECTED, EXCEPTIONS,
        CONTRACT_JUDGED, CONTRACT_REFUSED, CONTRACT_JUDGED_APART, CONTRACT_BUSY, CONTRACT_RESULTS_BAD, CONTRACT_LINES_BAD,
        ADMIN_CALLS, ADMIN_CALLS_REFUSED, CONSOLE_CALLS, CONSOLE_CALLS_REFUSED, CONSOLE_CALLERS_SILENT,
        CONSOLE_CALLERS_EVICTED;

        final String label = name().toLowerCase(Locale.ROOT);
    }

    /** How a job ends; each is counted for its class. */
    public enum Ending {
        /** Served: the client got the result of a backend. */
        ANSWERED("answers_served"),
        /** A synthetic answer. */
        DEFERRED("answers_synthetic"),
        /** Failed. */
        ERRORED("answers_failed");

        private final String label;

        Ending(String label) {
            this.label = label;
        }
    }

    private static final String DUMP_PREFIX = "svc.";

    private final List<String> classNames;
    private final long[][] endingCounts;
    private final Map<Count, Long> counts = new EnumMap<>(Count.class);
    private final Map<String, LongSupplier> textGauges = new LinkedHashMap<>();
    private final Map<String, LongSupplier> dumpGauges = new LinkedHashMap<>();

    /** Counts jobs of these classes, which are named by their place here from then on. */
    public Metrics(List<String> classes) {
        this.classNames = classes.stream().map(name -> name.replaceAll("[^A-Za-z0-9_-]", "_")).toList();
        endingCounts = new long[Ending.values().length][classes.size()];
    }

    public void increment(Count count) {
        counts.merge(count, 1L, Long::sum);
    }

    /** A job of a class has had its final answer. */
    public void recordEnding(Ending ending, int jobClass) {
        endingCounts[ending.ordinal()][jobClass]++;
    }

    public long get(Count count) {
        return counts.getOrDefault(count, 0L);
    }

    /** How many jobs of all classes have ended so. */
    public long get(Ending ending) {
        return Arrays.stream(endingCounts[ending.ordinal()]).sum();
    }

    /** Has a level shown with the counts; it is read when they are asked for. */
    public void registerGauge(String name, LongSupplier level) {
        textGauges.put(name, level);
    }

    /** Has a level shown in {@link #dump}, and in {@link #text} too. */
    public void registerDumpGauge(String name, LongSupplier level) {
        dumpGauges.put(name, level);
        registerGauge(name, level);
    }

    /** One {@code name value} line for each count and level. */
    public String text() {
        StringBuilder text = new StringBuilder();
        for (Count count : Count.values()) {
            appendLine(text, count.label, get(count));
        }
        for (Ending ending : Ending.values()) {
            appendLine(text, ending.label, get(ending));
            for (int c = 0; c < classNames.size(); c++) {
                appendLine(text, ending.label + "{class=\"" + classNames.get(c) + "\"}", endingCounts[ending.ordinal()][c]);
            }
        }
        textGauges.forEach((name, level) -> appendLine(text, name, level.getAsLong()));
        return text.toString();
    }

    private static void appendLine(StringBuilder text, String name, long value) {
        text.append("badgermux_").append(name).append(' ').append(value).append('\n');
    }

    /** The operators' figures, in lines of the form {@code name:value|c}, or {@code |g} for a level. */
    public String dump() {
        StringBuilder text = new StringBuilder();
        for (int c = 0; c < classNames.size(); c++) {
            for (Ending ending : Ending.values()) {
                text.append(DUMP_PREFIX).append("transactions.").append(classNames.get(c)).append('.')
                    .append(ending.name().toLowerCase(Locale.ROOT)).append(':')
                    .append(endingCounts[ending.ordinal()][c]).append("|c\n");
            }
        }
        text.append(DUMP_PREFIX).append("sends:").append(get(Count.FETCHES_WRITTEN)).append("|c\n");
        dumpGauges.forEach((name, level) ->
            text.append(DUMP_PREFIX).append(name).append(':').append(level.getAsLong()).append("|g\n"));
        return text.toString();
    }
}

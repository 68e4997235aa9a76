package badgermux.metrics;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.LongSupplier;

/** Counters and gauges, in two text formats. Not thread-safe: only the event loop uses them. */
public final class Metrics {
    /**
     * The counters. Each is published under its own name in lower case. In these names, FETCHES are attempts, also by their
     * outcome; DIRECTOR is the discovery service; JUDGED is validated, and APART in the thread pool; CALLS are requests or
     * commands of the console, whose connections are CALLERS.
     */
    public enum Count {
        ACCEPT_PAUSES, ACCEPT_FAILURES, CLIENT_CONNECTIONS, CLIENT_CONNECTIONS_EVICTED, CLIENT_CONNECTIONS_OVER_CAP,
        CLIENT_CONNECTIONS_SILENT, CLIENT_CLOSES_CROSSED, BODIES_OVER_CAP, CLIENT_MEMORY_RELEASES, BAD_MESSAGES,
        IDS_IN_USE, IDS_REPEATED, REQS_TAKEN, TENANTS_UNKNOWN, ANSWERS_OVERDUE, CLIENTS_GONE,
        FETCHES_SENT, FETCHES_WRITTEN,
        FETCHES_SERVED, FETCHES_ERROR, FETCHES_REJECTED, FETCHES_TIMED_OUT, FETCHES_CONNECT_FAILED,
        FETCHES_RESET, FETCHES_CANCELLED, FETCHES_MOOT, FETCHES_UNFIT, LATE_EVENTS,
        BACKEND_CONNECTS, BACKEND_CONNECTIONS_REUSED, BACKEND_CONNECTIONS_OVER_CAP,
        PROBES_SENT, PROBES_ANSWERED, DIRECTOR_CALLS, DIRECTOR_LISTS, DIRECTOR_FAILURES, DIRECTOR_SILENCES,
        DIRECTOR_ENTRIES_SKIPPED,
        RELOADS, RELOADS_REJECTED, EXCEPTIONS,
        CONTRACT_JUDGED, CONTRACT_REFUSED, CONTRACT_JUDGED_APART, CONTRACT_BUSY, CONTRACT_CANCELLED,
        CONTRACT_RESULTS_BAD, CONTRACT_LINES_BAD,
        ADMIN_CALLS, ADMIN_CALLS_REFUSED, CONSOLE_CALLS, CONSOLE_CALLS_REFUSED, CONSOLE_CALLERS_SILENT,
        CONSOLE_CALLERS_EVICTED;

        /** The name under which the counter is published. */
        final String label = name().toLowerCase(Locale.ROOT);
    }

    /** The kinds of final answers, counted by request class. */
    public enum Ending {
        /** The client got the response of a backend. */
        ANSWERED("answers_served"),
        /** The request was refused with advice on when to retry. */
        DEFERRED("answers_synthetic"),
        /** The request failed. */
        ERRORED("answers_failed");

        private final String label;

        Ending(String label) {
            this.label = label;
        }
    }

    /** The prefix of all names in {@link #dump}. */
    private static final String DUMP_PREFIX = "svc.";

    private final List<String> classNames;
    /** By ending and request class. */
    private final long[][] endingCounts;
    private final Map<Count, Long> counts = new EnumMap<>(Count.class);
    private final Map<String, LongSupplier> textGauges = new LinkedHashMap<>();
    private final Map<String, LongSupplier> dumpGauges = new LinkedHashMap<>();

    /** Creates metrics for the request classes with these names; other methods refer to a class by its index here. */
    public Metrics(List<String> requestClasses) {
        this.classNames = requestClasses.stream().map(name -> name.replaceAll("[^A-Za-z0-9_-]", "_")).toList();
        endingCounts = new long[Ending.values().length][requestClasses.size()];
    }

    /** Increments a counter by one. */
    public void increment(Count count) {
        counts.merge(count, 1L, Long::sum);
    }

    /** Counts the final answer to a request of a class. */
    public void recordEnding(Ending ending, int requestClass) {
        endingCounts[ending.ordinal()][requestClass]++;
    }

    /** Returns the value of a counter. */
    public long get(Count count) {
        return counts.getOrDefault(count, 0L);
    }

    /** Returns the number of final answers of a kind, over all request classes. */
    public long get(Ending ending) {
        return Arrays.stream(endingCounts[ending.ordinal()]).sum();
    }

    /** Adds a gauge to {@link #text}; its value is read with each call. */
    public void registerGauge(String name, LongSupplier value) {
        textGauges.put(name, value);
    }

    /** Adds a gauge to both {@link #dump} and {@link #text}. */
    public void registerDumpGauge(String name, LongSupplier value) {
        dumpGauges.put(name, value);
        registerGauge(name, value);
    }

    /** Returns all metrics, one line of the form {@code name value} each. */
    public String text() {
        StringBuilder text = new StringBuilder();
        for (Count count : Count.values()) {
            appendLine(text, count.label, get(count));
        }
        for (Ending ending : Ending.values()) {
            appendLine(text, ending.label, get(ending));
            for (int classIndex = 0; classIndex < classNames.size(); classIndex++) {
                appendLine(text, ending.label + "{class=\"" + classNames.get(classIndex) + "\"}",
                    endingCounts[ending.ordinal()][classIndex]);
            }
        }
        textGauges.forEach((name, value) -> appendLine(text, name, value.getAsLong()));
        return text.toString();
    }

    private static void appendLine(StringBuilder text, String name, long value) {
        text.append("badgermux_").append(name).append(' ').append(value).append('\n');
    }

    /**
     * Returns the metrics that operators read on the console, in StatsD lines of the form {@code name:value|c} for a counter
     * and {@code name:value|g} for a gauge.
     */
    public String dump() {
        StringBuilder text = new StringBuilder();
        for (int classIndex = 0; classIndex < classNames.size(); classIndex++) {
            for (Ending ending : Ending.values()) {
                text.append(DUMP_PREFIX).append("transactions.").append(classNames.get(classIndex)).append('.')
                    .append(ending.name().toLowerCase(Locale.ROOT)).append(':')
                    .append(endingCounts[ending.ordinal()][classIndex]).append("|c\n");
            }
        }
        text.append(DUMP_PREFIX).append("sends:").append(get(Count.FETCHES_WRITTEN)).append("|c\n");
        dumpGauges.forEach((name, value) ->
            text.append(DUMP_PREFIX).append(name).append(':').append(value.getAsLong()).append("|g\n"));
        return text.toString();
    }
}

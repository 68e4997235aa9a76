package badgermux.metrics;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.LongSupplier;

/** Counts of what is taken in, sent and answered, and levels of what is at hand. Only the event loop uses them. */
public final class Metrics {
    /** What is counted. */
    public enum Count {
        CLIENT_CONNECTIONS, CLIENT_CONNECTIONS_EVICTED, CLIENT_CONNECTIONS_OVER_CAP,
        CLIENT_CONNECTIONS_SILENT, BODIES_OVER_CAP, BAD_MESSAGES, IDS_IN_USE,
        REQS_TAKEN, ANSWERS_SERVED, ANSWERS_SYNTHETIC, ANSWERS_FAILED, ANSWERS_OVERDUE, CLIENTS_GONE,
        FETCHES_SENT, FETCHES_SERVED, FETCHES_ERROR, FETCHES_REJECTED, FETCHES_TIMED_OUT, FETCHES_CONNECT_FAILED,
        FETCHES_RESET, FETCHES_CANCELLED, FETCHES_MOOT, FETCHES_UNFIT, LATE_EVENTS,
        BACKEND_CONNECTS, BACKEND_CONNECTIONS_REUSED, BACKEND_CONNECTIONS_OVER_CAP,
        PROBES_SENT, PROBES_ANSWERED, DIRECTOR_CALLS, DIRECTOR_LISTS, DIRECTOR_FAILURES, DIRECTOR_ENTRIES_SKIPPED,
        RELOADS, RELOADS_REJECTED, EXCEPTIONS,
        CONTRACT_JUDGED, CONTRACT_REFUSED, CONTRACT_JUDGED_APART, CONTRACT_BUSY, CONTRACT_RESULTS_BAD, CONTRACT_LINES_BAD,
        ADMIN_CALLS, ADMIN_CALLS_REFUSED;

        final String label = name().toLowerCase(Locale.ROOT);
    }

    private final Map<Count, Long> counts = new EnumMap<>(Count.class);
    private final Map<String, LongSupplier> levels = new LinkedHashMap<>();

    public void add(Count count) {
        counts.merge(count, 1L, Long::sum);
    }

    public long get(Count count) {
        return counts.getOrDefault(count, 0L);
    }

    /** Has a level shown with the counts; it is read when they are asked for. */
    public void level(String name, LongSupplier level) {
        levels.put(name, level);
    }

    /** One {@code name value} line for each count and level. */
    public String text() {
        StringBuilder text = new StringBuilder();
        for (Count count : Count.values()) {
            text.append("badgermux_").append(count.label).append(' ').append(get(count)).append('\n');
        }
        levels.forEach((name, level) ->
            text.append("badgermux_").append(name).append(' ').append(level.getAsLong()).append('\n'));
        return text.toString();
    }
}

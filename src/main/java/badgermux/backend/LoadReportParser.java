package badgermux.backend;

import badgermux.decide.DispatchPolicy;
import badgermux.http.InvalidMessageException;
import badgermux.http.JsonLine;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/** Parses load reports: a JSON object, or {@code TEXT name=value, name=value}. Reads only the fields that dispatch uses. */
final class LoadReportParser {
    /** Run times beyond this are invalid: no request that a client waits for runs for an hour. */
    private static final double MAX_RUN_TIME_MILLIS = 3_600_000;
    private static final Pattern TEXT_PREFIX = Pattern.compile("^TEXT\\s+");

    private LoadReportParser() { }

    /** Returns the report; null for null bytes and for a report that is malformed or has no known field. */
    static DispatchPolicy.LoadReport parse(byte[] bytes) {
        String text = bytes == null ? "" : new String(bytes, StandardCharsets.UTF_8).strip();
        DispatchPolicy.LoadReport report = new DispatchPolicy.LoadReport();
        boolean hasFields = false;
        try {
            if (text.startsWith("{")) {
                JsonLine object = JsonLine.parse(bytes);
                for (String name
                        : new String[] {"x0", "outstanding", "inflight", "backlog", "queue", "recent_ms", "latency_ms"}) {
                    String value = object.text(name);
                    hasFields |= value != null && setField(report, name, value);
                }
                return hasFields ? report : null;
            }
            for (String pair : TEXT_PREFIX.matcher(text).replaceFirst("").split(",")) {
                int equals = pair.indexOf('=');
                hasFields |= equals > 0
                    && setField(report, pair.substring(0, equals).strip(), pair.substring(equals + 1).strip());
            }
        } catch (InvalidMessageException | NumberFormatException e) {
            return null;
        }
        return hasFields ? report : null;
    }

    /**
     * Sets one field of a report.
     *
     * @return whether the field is known
     */
    private static boolean setField(DispatchPolicy.LoadReport report, String name, String value) {
        switch (name) {
            case "x0" -> report.freeSlots = Double.parseDouble(value);
            case "outstanding", "inflight" -> report.inFlight = Double.parseDouble(value);
            case "recent_ms", "latency_ms" -> {
                double millis = Double.parseDouble(value);
                // An implausible value would replace the estimates of all run times.
                report.recentRunMicros = millis >= 0 && millis <= MAX_RUN_TIME_MILLIS ? millis * 1000 : Double.NaN;
            }
            case "backlog", "queue" -> report.queued = Double.parseDouble(value);
            default -> {
                return false;
            }
        }
        return true;
    }
}

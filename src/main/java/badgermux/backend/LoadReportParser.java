package badgermux.backend;

import badgermux.decide.DispatchPolicy;
import badgermux.http.InvalidMessageException;
import badgermux.http.JsonLine;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/** Reads load reports: an object, or {@code TEXT name=value, name=value}. Only what decisions need is taken out. */
final class LoadReportParser {
    /** No job that a client waits for runs for an hour. */
    private static final double MAX_RUN_TIME_MILLIS = 3_600_000;
    private static final Pattern TEXT_PREFIX = Pattern.compile("^TEXT\\s+");

    private LoadReportParser() { }

    /** The report; null where there is none, or none that makes sense. */
    static DispatchPolicy.LoadReport parse(byte[] bytes) {
        String text = bytes == null ? "" : new String(bytes, StandardCharsets.UTF_8).strip();
        DispatchPolicy.LoadReport report = new DispatchPolicy.LoadReport();
        boolean any = false;
        try {
            if (text.startsWith("{")) {
                JsonLine object = JsonLine.parse(bytes);
                for (String name : new String[] {"x0", "outstanding", "inflight", "backlog", "queue", "recent_ms", "latency_ms"}) {
                    String value = object.text(name);
                    any |= value != null && setField(report, name, value);
                }
                return any ? report : null;
            }
            for (String pair : TEXT_PREFIX.matcher(text).replaceFirst("").split(",")) {
                int equals = pair.indexOf('=');
                any |= equals > 0 && setField(report, pair.substring(0, equals).strip(), pair.substring(equals + 1).strip());
            }
        } catch (InvalidMessageException | NumberFormatException e) {
            return null;
        }
        return any ? report : null;
    }

    private static boolean setField(DispatchPolicy.LoadReport report, String name, String value) {
        switch (name) {
            case "x0" -> report.freeSlots = Double.parseDouble(value);
            case "outstanding", "inflight" -> report.inFlight = Double.parseDouble(value);
            case "recent_ms", "latency_ms" -> {
                double millis = Double.parseDouble(value);
                // Guards against a spoilt figure that all run times would be taken for.
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

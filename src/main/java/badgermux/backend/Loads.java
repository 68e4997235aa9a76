package badgermux.backend;

import badgermux.decide.Dispatch;
import badgermux.http.BadMessage;
import badgermux.http.JsonLine;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/** Reads load reports: an object, or {@code TEXT name=value, name=value}. Only what decisions need is taken out. */
final class Loads {
    /** No job that a client waits for runs for an hour. */
    private static final double LONGEST_RUN_MS = 3_600_000;
    private static final Pattern TEXT_FORM = Pattern.compile("^TEXT\\s+");

    private Loads() { }

    /** The report; null where there is none, or none that makes sense. */
    static Dispatch.Report parse(byte[] bytes) {
        String text = bytes == null ? "" : new String(bytes, StandardCharsets.UTF_8).strip();
        Dispatch.Report report = new Dispatch.Report();
        boolean any = false;
        try {
            if (text.startsWith("{")) {
                JsonLine object = JsonLine.parse(bytes);
                for (String name : new String[] {"x0", "outstanding", "inflight", "backlog", "queue", "recent_ms", "latency_ms"}) {
                    String value = object.text(name);
                    any |= value != null && put(report, name, value);
                }
                return any ? report : null;
            }
            for (String pair : TEXT_FORM.matcher(text).replaceFirst("").split(",")) {
                int equals = pair.indexOf('=');
                any |= equals > 0 && put(report, pair.substring(0, equals).strip(), pair.substring(equals + 1).strip());
            }
        } catch (BadMessage | NumberFormatException e) {
            return null;
        }
        return any ? report : null;
    }

    private static boolean put(Dispatch.Report report, String name, String value) {
        switch (name) {
            case "x0" -> report.freeSlots = Double.parseDouble(value);
            case "outstanding", "inflight" -> report.inFlight = Double.parseDouble(value);
            case "recent_ms", "latency_ms" -> {
                double millis = Double.parseDouble(value);
                // Guards against a spoilt figure that all run times would be taken for.
                report.recentRun = millis >= 0 && millis <= LONGEST_RUN_MS ? millis * 1000 : Double.NaN;
            }
            case "backlog", "queue" -> report.queued = Double.parseDouble(value);
            default -> {
                return false;
            }
        }
        return true;
    }
}

package badgermux.config;

import badgermux.decide.DispatchPolicy;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The one mapping from settings to the module's: pairs of a path and a value, as the simulator's first message writes
 * them. Keys that it does not know are ignored; a message names the one at fault.
 */
public final class SettingsParser {
    private final Map<String, String> values;

    /** The settings, and the order in which load reports give their values. */
    public record ParsedSettings(DispatchPolicy.Settings settings, String[] reportColumns) { }

    /** The settings from lines of {@code path=value}. */
    public static ParsedSettings parse(String text) {
        Map<String, String> values = new HashMap<>();
        for (String line : text.split("\n")) {
            int equals = line.indexOf('=');
            if (equals > 0) {
                values.put(line.substring(0, equals).strip(), line.substring(equals + 1).strip());
            } else if (!line.isBlank()) {
                throw new IllegalArgumentException("setting without '=': " + line.strip());
            }
        }
        return parse(values);
    }

    /** The settings from pairs that were split before. */
    public static ParsedSettings parse(Map<String, String> values) {
        return new SettingsParser(values).build();
    }

    private SettingsParser(Map<String, String> values) {
        this.values = values;
    }

    private ParsedSettings build() {
        DispatchPolicy.Settings s = new DispatchPolicy.Settings();
        s.dispatcherCount = count("Balancers", 1);
        s.dispatcherIndex = count("Me", 0);
        s.ownZone = count("Zone", 0);
        s.timerGranularityMicros = micros("GranularityMs", 1);
        s.kindCount = Math.max(1, list("Kinds").length);
        s.listPushed = choice("Discovery", "pushed", Map.of("pushed", true, "on_request", false));
        s.reportMode = choice("Report.How", "silent", Map.of("piggyback", DispatchPolicy.ReportMode.IN_RESPONSES,
            "pull", DispatchPolicy.ReportMode.ON_PROBE, "silent", DispatchPolicy.ReportMode.NEVER));
        s.mayProbe = flag("Ceilings.Probes");
        s.idleTimeoutMicros = micros("Ceilings.ConnIdleMs", 0);
        s.connectTimeoutMicros = micros("Ceilings.ConnectTimeoutMs", 0);
        s.connectCost = number("Penalties.Handshake", 0);
        s.mayCancel = flag("Ceilings.Cancel");
        s.mayHedge = flag("Ceilings.ParallelTries");
        s.maxAttempts = count("Ceilings.MaxAttempts", 1);
        s.worthByWork = choice("WorthBy", "request", Map.of("request", false, "work", true));
        s.overQuotaWorthShare = number("OverShareWorth", 1);
        s.rejectedMayHaveRun = flag("Safety.FullMayHaveRun");
        s.maxRetryAfterMicros = flag("Ceilings.RetryAfter") ? micros("Ceilings.MaxRetryAfterMs", 0) : 0;
        s.backendsReportStart = flag("Extra.TellsStart");
        s.progressIntervalMicros = micros("Extra.ProgressMs", 0);
        s.maxWatchIntervalMicros = micros("Safety.AskEveryMs", 10_000);
        s.coldCapacityShare = number("Safety.ColdShare", 1);
        s.warmUpMicros = micros("Safety.ColdMs", 0);
        s.overloadMultiple = number("Safety.FallMultiple", 1);
        s.overloadWindowMicros = micros("Safety.FallMs", 0);
        for (int i = 0; i < count("RequestClasses.count", null); i++) {
            s.classes.add(requestClass("RequestClasses." + i + ".", i, s.kindCount));
        }
        for (int i = 0; i < count("Customers.count", 0); i++) {
            String at = "Customers." + i + ".";
            s.tenants.add(new DispatchPolicy.Tenant(values.getOrDefault(at + "Name", "tenant " + i),
                number(at + "QuotaPerS", 0)));
        }
        return new ParsedSettings(s, list("Report.Columns"));
    }

    private DispatchPolicy.RequestClass requestClass(String at, int i, int kinds) {
        String[] classKinds = list("Extra.ClassKind"), stretches = list("Extra.ClassStretch");
        double stretch = i < stretches.length ? toNumber("Extra.ClassStretch", stretches[i]) : 0;
        int kind = i < classKinds.length ? (int) toNumber("Extra.ClassKind", classKinds[i]) : -1;
        if (kind >= kinds) {
            throw new IllegalArgumentException("setting Extra.ClassKind names kind " + kind + " of " + kinds);
        }
        Set<Integer> bound = indices(at + "BoundTo", kinds);
        if (kind >= 0) {
            bound = bound == null || bound.contains(kind) ? Set.of(kind) : Set.of();
        }
        return new DispatchPolicy.RequestClass(values.getOrDefault(at + "Name", "class " + i),
            choice(at + "Effect", null, Map.of("repeatable", DispatchPolicy.Effect.REPEATABLE,
                "by_key", DispatchPolicy.Effect.BY_KEY, "once", DispatchPolicy.Effect.ONCE)),
            choice(at + "Group", "all", Map.of("all", DispatchPolicy.DedupScope.ALL, "zone", DispatchPolicy.DedupScope.ZONE,
                "cell", DispatchPolicy.DedupScope.CELL)),
            micros(at + "TargetMs", null), number(at + "AimStretch", stretch), micros(at + "GiveUpMs", null),
            micros(at + "DedupWindowMs", 0), number(at + "Gain", 1), number(at + "LateShare", 0),
            bound, indices(at + "AllowedIn", Integer.MAX_VALUE), flag(at + "Stream"));
    }

    /** A list of places in another list, each below {@code size}; null where the key is absent. */
    private Set<Integer> indices(String key, int size) {
        if (!values.containsKey(key)) {
            return null;
        }
        Set<Integer> indices = new TreeSet<>();
        for (String item : list(key)) {
            double index = toNumber(key, item);
            if (index < 0 || index >= size || index != Math.rint(index)) {
                throw new IllegalArgumentException("setting " + key + " names " + item + " of " + size);
            }
            indices.add((int) index);
        }
        return indices;
    }

    /** A list's items; none where the key is absent or empty. */
    private String[] list(String key) {
        String value = values.getOrDefault(key, "");
        return value.isEmpty() ? new String[0] : value.split(",");
    }

    private boolean flag(String key) {
        return choice(key, "false", Map.of("true", true, "false", false));
    }

    private int count(String key, Integer otherwise) {
        double value = number(key, otherwise == null ? null : otherwise.doubleValue());
        if (value < 0 || value > 1_000_000 || value != Math.rint(value)) {
            throw new IllegalArgumentException("setting " + key + " is no count: " + values.get(key));
        }
        return (int) value;
    }

    private long micros(String key, Integer otherwiseMs) {
        return Math.round(number(key, otherwiseMs == null ? null : otherwiseMs.doubleValue()) * 1000);
    }

    /** A number; a missing one is {@code otherwise}, or ends the program where there is no otherwise. */
    private double number(String key, Number otherwise) {
        String value = values.get(key);
        if (value == null && otherwise == null) {
            throw new IllegalArgumentException("setting " + key + " is missing");
        }
        return value == null ? otherwise.doubleValue() : toNumber(key, value);
    }

    private static double toNumber(String key, String value) {
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // told below, as for a number that is not finite
        }
        throw new IllegalArgumentException("setting " + key + " is no number: " + value);
    }

    private <T> T choice(String key, String otherwise, Map<String, T> choices) {
        String value = values.getOrDefault(key, otherwise);
        T chosen = value == null ? null : choices.get(value);
        if (chosen == null) {
            throw new IllegalArgumentException("setting " + key + (value == null ? " is missing" : " is unknown: " + value));
        }
        return chosen;
    }
}

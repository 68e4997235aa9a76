package badgermux.config;

import badgermux.decide.DispatchPolicy;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Parses settings, given as pairs of a path and a value, into the decision module's form. Both the configuration file and the
 * simulator's first message go through this class. Unknown keys are ignored. For an invalid value it throws an
 * {@link IllegalArgumentException} whose message names the key.
 */
public final class SettingsParser {
    private final Map<String, String> values;

    /** The settings, and the names of the columns of load reports in their order. */
    public record ParsedSettings(DispatchPolicy.Settings settings, String[] reportColumns) { }

    /** Parses lines of {@code path=value}. */
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

    /** Parses pairs of a path and a value. */
    public static ParsedSettings parse(Map<String, String> values) {
        return new SettingsParser(values).build();
    }

    private SettingsParser(Map<String, String> values) {
        this.values = values;
    }

    private ParsedSettings build() {
        DispatchPolicy.Settings settings = new DispatchPolicy.Settings();
        settings.dispatcherCount = count("Balancers", 1);
        settings.dispatcherIndex = count("Me", 0);
        settings.ownZone = count("Zone", 0);
        settings.timerGranularityMicros = micros("GranularityMs", 1);
        settings.kindCount = Math.max(1, list("Kinds").length);
        settings.listPushed = choice("Discovery", "pushed", Map.of("pushed", true, "on_request", false));
        settings.reportMode = choice("Report.How", "silent", Map.of("piggyback", DispatchPolicy.ReportMode.IN_RESPONSES,
            "pull", DispatchPolicy.ReportMode.ON_PROBE, "silent", DispatchPolicy.ReportMode.NEVER));
        settings.mayProbe = flag("Ceilings.Probes");
        settings.idleTimeoutMicros = micros("Ceilings.ConnIdleMs", 0);
        settings.connectTimeoutMicros = micros("Ceilings.ConnectTimeoutMs", 0);
        settings.connectCost = number("Penalties.Handshake", 0);
        settings.mayCancel = flag("Ceilings.Cancel");
        settings.mayHedge = flag("Ceilings.ParallelTries");
        settings.maxAttempts = count("Ceilings.MaxAttempts", 1);
        settings.worthByWork = choice("WorthBy", "request", Map.of("request", false, "work", true));
        settings.overQuotaWorthShare = number("OverShareWorth", 1);
        settings.rejectedMayHaveRun = flag("Safety.FullMayHaveRun");
        settings.maxRetryAfterMicros = flag("Ceilings.RetryAfter") ? micros("Ceilings.MaxRetryAfterMs", 0) : 0;
        settings.backendsReportStart = flag("Extra.TellsStart");
        settings.progressIntervalMicros = micros("Extra.ProgressMs", 0);
        settings.maxWatchIntervalMicros = micros("Safety.AskEveryMs", 10_000);
        settings.coldCapacityShare = number("Safety.ColdShare", 1);
        settings.warmUpMicros = micros("Safety.ColdMs", 0);
        settings.overloadMultiple = number("Safety.FallMultiple", 1);
        settings.overloadWindowMicros = micros("Safety.FallMs", 0);
        for (int i = 0; i < count("RequestClasses.count", null); i++) {
            settings.classes.add(requestClass("RequestClasses." + i + ".", i, settings.kindCount));
        }
        for (int i = 0; i < count("Customers.count", 0); i++) {
            String prefix = "Customers." + i + ".";
            settings.tenants.add(new DispatchPolicy.Tenant(values.getOrDefault(prefix + "Name", "tenant " + i),
                number(prefix + "QuotaPerS", 0)));
        }
        return new ParsedSettings(settings, list("Report.Columns"));
    }

    /** Parses the request class of an index. Extra.ClassKind may restrict it to one kind; a negative value does not. */
    private DispatchPolicy.RequestClass requestClass(String prefix, int index, int kindCount) {
        String[] classKinds = list("Extra.ClassKind");
        String[] classStretches = list("Extra.ClassStretch");
        double stretch = index < classStretches.length ? toNumber("Extra.ClassStretch", classStretches[index]) : 0;
        int kind = index < classKinds.length ? (int) toNumber("Extra.ClassKind", classKinds[index]) : -1;
        if (kind >= kindCount) {
            throw new IllegalArgumentException("setting Extra.ClassKind names kind " + kind + " of " + kindCount);
        }
        Set<Integer> allowedKinds = indices(prefix + "BoundTo", kindCount);
        if (kind >= 0) {
            allowedKinds = allowedKinds == null || allowedKinds.contains(kind) ? Set.of(kind) : Set.of();
        }
        return new DispatchPolicy.RequestClass(values.getOrDefault(prefix + "Name", "class " + index),
            choice(prefix + "Effect", null, Map.of("repeatable", DispatchPolicy.Effect.REPEATABLE,
                "by_key", DispatchPolicy.Effect.BY_KEY, "once", DispatchPolicy.Effect.ONCE)),
            choice(prefix + "Group", "all", Map.of("all", DispatchPolicy.DedupScope.ALL, "zone", DispatchPolicy.DedupScope.ZONE,
                "cell", DispatchPolicy.DedupScope.CELL)),
            micros(prefix + "TargetMs", null), number(prefix + "AimStretch", stretch), micros(prefix + "GiveUpMs", null),
            micros(prefix + "DedupWindowMs", 0), number(prefix + "Gain", 1), number(prefix + "LateShare", 0),
            allowedKinds, indices(prefix + "AllowedIn", Integer.MAX_VALUE), flag(prefix + "Stream"));
    }

    /** Returns a list of indices, each below {@code size}; null where the key is absent. */
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

    /** Returns the items of a comma-separated list; none where the key is absent or empty. */
    private String[] list(String key) {
        String value = values.getOrDefault(key, "");
        return value.isEmpty() ? new String[0] : value.split(",");
    }

    private boolean flag(String key) {
        return choice(key, "false", Map.of("true", true, "false", false));
    }

    private int count(String key, Integer defaultValue) {
        double value = number(key, defaultValue == null ? null : defaultValue.doubleValue());
        if (value < 0 || value > 1_000_000 || value != Math.rint(value)) {
            throw new IllegalArgumentException("setting " + key + " is not a count: " + values.get(key));
        }
        return (int) value;
    }

    /** Returns a time span in microseconds; the setting and its default are in milliseconds. */
    private long micros(String key, Integer defaultMs) {
        return Math.round(number(key, defaultMs == null ? null : defaultMs.doubleValue()) * 1000);
    }

    /** Returns a number; the setting is required where {@code defaultValue} is null. */
    private double number(String key, Number defaultValue) {
        String value = values.get(key);
        if (value == null && defaultValue == null) {
            throw new IllegalArgumentException("setting " + key + " is missing");
        }
        return value == null ? defaultValue.doubleValue() : toNumber(key, value);
    }

    private static double toNumber(String key, String value) {
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // reported below, like a number that is not finite
        }
        throw new IllegalArgumentException("setting " + key + " is not a number: " + value);
    }

    /** Returns the choice that the value names; the setting is required where {@code defaultValue} is null. */
    private <T> T choice(String key, String defaultValue, Map<String, T> choices) {
        String value = values.getOrDefault(key, defaultValue);
        T choice = value == null ? null : choices.get(value);
        if (choice == null) {
            throw new IllegalArgumentException("setting " + key
                + (value == null ? " is missing" : " has an unknown value: " + value));
        }
        return choice;
    }
}

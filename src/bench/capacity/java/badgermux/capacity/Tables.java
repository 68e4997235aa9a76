package badgermux.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Renders the tables of the capacity page as Markdown, by the names of their markers on the page. The output depends on
 * the input only.
 */
public final class Tables {
    private static final String[] BYTE_UNITS = {"B", "KB", "MB", "GB"};

    private final Slopes slopes;
    private final Target target;
    private final DemandModel model;

    public Tables(Slopes slopes, Target target) {
        this.slopes = slopes;
        this.target = target;
        model = new DemandModel(slopes, target);
    }

    /** Returns all tables by name, in the order of the page. */
    public Map<String, String> renderAll() {
        Map<String, String> tables = new LinkedHashMap<>();
        tables.put("runs", runsTable());
        tables.put("slopes", slopesTable());
        tables.put("figures", figuresTable());
        for (int dispatchers : target.dispatchers()) {
            tables.put("demand-" + dispatchers, demandsTable(dispatchers));
        }
        tables.put("times", timesTable());
        tables.put("ranking", rankingTable());
        tables.put("crossings", thresholdsTable());
        return tables;
    }

    private String runsTable() {
        List<List<String>> rows = new ArrayList<>();
        for (Slopes.Run run : slopes.runs()) {
            rows.add(List.of(run.name(), '`' + run.command() + '`', run.date(), run.machine(), run.how()));
        }
        return markdownTable(List.of("run", "command", "ended", "machine", "how"), rows);
    }

    private String slopesTable() {
        List<List<String>> rows = new ArrayList<>();
        double backends = target.get("workers");
        for (Slope slope : slopes.slopes()) {
            String fit = slope.points().size() < 2 ? "one size only" : formatPercent(slope.errorShare());
            boolean atTarget = slope.per().equals("worker") && slope.isMeasuredAt(backends);
            rows.add(List.of('`' + slope.name() + '`', slope.what(), formatNumber(slope.base()) + ' ' + slope.unit(),
                formatNumber(slope.slope()) + " / " + slope.per(), fit, atTarget ? formatMeasurement(slope, backends) : "",
                atTarget ? formatNumber(slope.fittedCostAt(backends)) : "", formatSizes(slope), slope.run()));
        }
        return markdownTable(List.of("name", "what", "base", "slope", "fit's error", "measured at 2,600: median (least to most)",
            "fitted there", "sizes", "run"), rows);
    }

    private static String formatMeasurement(Slope slope, double size) {
        Slope.Point point = slope.points().stream().filter(measured -> measured.size() == size).findFirst().orElseThrow();
        return formatNumber(point.median()) + " (" + formatNumber(point.least()) + " to " + formatNumber(point.most()) + ')';
    }

    private static String formatSizes(Slope slope) {
        List<Slope.Point> points = slope.points();
        String sizes = points.stream().map(point -> formatNumber(point.size())).collect(Collectors.joining(" "));
        return sizes + ", " + points.get(0).rounds() + (points.get(0).rounds() == 1 ? " round" : " rounds");
    }

    private String figuresTable() {
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("dispatchers", target.dispatchers().stream().map(count -> formatNumber(count))
            .collect(Collectors.joining(", ")), "guess"));
        for (Target.Value value : target.values()) {
            rows.add(List.of(value.name(), formatNumber(value.value()) + ' ' + value.unit(), value.from()));
        }
        return markdownTable(List.of("figure", "value", "from"), rows);
    }

    private String demandsTable(int dispatchers) {
        List<List<String>> rows = new ArrayList<>();
        List<Demand> demands = new ArrayList<>(model.demands(dispatchers));
        List<String> roles = demands.stream().map(Demand::role).distinct().toList();
        demands.sort(Comparator.comparingInt((Demand demand) -> roles.indexOf(demand.role())).thenComparing(Demand::situation));
        for (Demand demand : demands) {
            boolean outside = demand.kind() == Demand.Kind.OUTSIDE;
            rows.add(List.of(demand.role(), demand.situation().label(), formatBytes(demand.stateBytes()),
                formatNumber(demand.messagesPerSecond()), formatBytes(demand.bytesPerSecond()) + "/s",
                formatPercent(demand.coreShare()),
                outside ? "-" : formatRatio(demand.stateBytes() / target.budget().memoryBytes()),
                outside ? "-" : formatRatio(demand.bytesPerSecond() / target.budget().bytesPerSecond()),
                outside ? "-" : formatRatio(demand.coreShare() / target.budget().coreShare()),
                demand.kind().name().toLowerCase(Locale.ROOT), formatMechanism(demand.mechanism())));
        }
        return markdownTable(List.of("role", "situation", "state", "messages/s", "bytes", "core", "memory ratio",
            "bytes ratio", "core ratio", "counted as", "mechanism"), rows);
    }

    private String timesTable() {
        double changeSeconds = target.budget().changeSeconds();
        double urgentSeconds = target.budget().urgentSeconds();
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("a change of configuration in force everywhere", "no bound: nothing carries it",
            formatSeconds(changeSeconds), "no bound", Demand.NO_MECHANISM));
        rows.add(List.of("the same by hand: processor time of a start on each dispatcher",
            formatSeconds(model.startCpuSeconds()), formatSeconds(changeSeconds),
            formatRatio(model.startCpuSeconds() / changeSeconds), Demand.NO_MECHANISM));
        rows.add(List.of("slots of the widest gang, against those of the one worker that a job may have",
            formatNumber(target.get("gangMost")) + " slots", formatNumber(model.slotsPerBackend()) + " slots on average",
            formatRatio(target.get("gangMost") / model.slotsPerBackend()), Demand.NO_MECHANISM));
        for (Situation situation : List.of(Situation.MACHINE_FAILURE, Situation.RACK_FAILURE, Situation.ZONE_FAILURE,
                Situation.REGION_CUT_OFF)) {
            rows.add(List.of("urgent work that waits behind the news of the loss: " + situation.label() + " ("
                + formatNumber(model.lostBackends(situation)) + " of " + formatNumber(target.get("workers"))
                + " workers, one by one)",
                formatSeconds(model.lossCpuSeconds(situation)), formatSeconds(urgentSeconds),
                formatRatio(model.lossCpuSeconds(situation) / urgentSeconds), "`DefaultDispatchPolicy`"));
        }
        double windowSeconds = target.get("windowSeconds");
        rows.add(List.of("a whole list at the budget's rate", formatSeconds(model.listTransferSeconds(false)),
            formatSeconds(windowSeconds), formatRatio(model.listTransferSeconds(false) / windowSeconds), "`DiscoveryClient`"));
        rows.add(List.of("a whole list, indented, at the budget's rate", formatSeconds(model.listTransferSeconds(true)),
            formatSeconds(windowSeconds), formatRatio(model.listTransferSeconds(true) / windowSeconds), "`DiscoveryClient`"));
        return markdownTable(List.of("what", "takes", "allowed", "ratio", "mechanism"), rows);
    }

    /** Ranks each role once, in the situation of its highest ratio: roles without a mechanism first, then by ratio. */
    private String rankingTable() {
        List<Demand> all = target.dispatchers().stream().flatMap(count -> model.demands(count).stream())
            .filter(demand -> demand.kind() != Demand.Kind.OUTSIDE && !demand.mechanism().equals("sum")).toList();
        List<Demand> worst = new ArrayList<>();
        for (String role : all.stream().map(Demand::role).distinct().toList()) {
            worst.add(highestRatio(all.stream().filter(demand -> demand.role().equals(role)).toList()));
        }
        worst.sort(Comparator.comparing((Demand demand) -> !demand.hasNoMechanism())
            .thenComparing(Comparator.comparingDouble((Demand demand) -> demand.budgetRatio(target.budget())).reversed()));
        List<List<String>> rows = new ArrayList<>();
        for (Demand demand : worst) {
            List<String> row = new ArrayList<>(List.of(String.valueOf(rows.size() + 1), demand.role(),
                demand.situation().label(), formatDominantResource(demand)));
            for (int dispatchers : target.dispatchers()) {
                row.add(formatRatio(highestRatio(all.stream()
                    .filter(other -> other.role().equals(demand.role()) && other.dispatchers() == dispatchers).toList())
                    .budgetRatio(target.budget())));
            }
            row.add(demand.kind().name().toLowerCase(Locale.ROOT));
            row.add(formatMechanism(demand.mechanism()));
            rows.add(row);
        }
        List<String> head = new ArrayList<>(List.of("", "role", "worst in", "by"));
        target.dispatchers().forEach(dispatchers -> head.add("ratio of " + formatNumber(dispatchers)));
        head.addAll(List.of("counted as", "mechanism"));
        return markdownTable(head, rows);
    }

    /** Returns the demand with the highest ratio to the budget. */
    private Demand highestRatio(List<Demand> demands) {
        return demands.stream().max(Comparator.comparingDouble(demand -> demand.budgetRatio(target.budget()))).orElseThrow();
    }

    /** Names the resource that determines a demand's ratio to the budget. */
    private String formatDominantResource(Demand demand) {
        Target.Budget budget = target.budget();
        double ratio = demand.budgetRatio(budget);
        if (ratio == demand.bytesPerSecond() / budget.bytesPerSecond()) {
            return "bytes: " + formatBytes(demand.bytesPerSecond()) + "/s of "
                + formatBytes(budget.bytesPerSecond()) + "/s";
        }
        if (ratio == demand.coreShare() / budget.coreShare()) {
            return "processor: " + formatPercent(demand.coreShare()) + " of "
                + formatPercent(budget.coreShare()) + " of a core";
        }
        return "memory: " + formatBytes(demand.stateBytes()) + " of " + formatBytes(budget.memoryBytes());
    }

    private String thresholdsTable() {
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("requests a second of one dispatcher from which on its probes alone take 8 KB a second",
            formatNumber(model.probeLimitedRequestsPerSecond())));
        rows.add(List.of("probes for a request at 2,600 workers, one request each 20 ms",
            formatNumber(model.probesPerRequest())));
        rows.add(List.of("requests a second over all, were every job of a day a gang of 64",
            formatNumber(model.averageStartsPerSecond())));
        rows.add(List.of("changed entries of the list a second, on an ordinary day",
            formatNumber(model.averageEntriesPerSecond())));
        for (int dispatchers : target.dispatchers()) {
            rows.add(List.of("requests a second of one of " + formatNumber(dispatchers) + " dispatchers at the peak",
                formatNumber(target.get("startsAtPeak") / dispatchers)));
            rows.add(List.of("descriptors of one of " + formatNumber(dispatchers) + ", two for each running task, of "
                + formatNumber(target.get("descriptors")), formatNumber(model.descriptorsPerDispatcher(dispatchers)) + ", ratio "
                + formatRatio(model.descriptorsPerDispatcher(dispatchers) / target.get("descriptors"))));
        }
        return markdownTable(List.of("what", "figure"), rows);
    }

    // ---- Formatting

    /** Formats names of classes as code; other mechanisms stay as they are. */
    private static String formatMechanism(String mechanism) {
        if (mechanism.equals(Demand.NO_MECHANISM) || mechanism.equals("sum") || mechanism.startsWith("outside")) {
            return mechanism;
        }
        return '`' + mechanism.replace(", ", "`, `") + '`';
    }

    private static String markdownTable(List<String> head, List<List<String>> rows) {
        StringBuilder text = new StringBuilder();
        appendRow(text, head);
        appendRow(text, head.stream().map(cell -> "---").toList());
        rows.forEach(row -> appendRow(text, row));
        return text.toString();
    }

    private static void appendRow(StringBuilder text, List<String> cells) {
        text.append("| ").append(String.join(" | ", cells)).append(" |\n");
    }

    private static String formatSeconds(double value) {
        return formatNumber(value) + " s";
    }

    private static String formatPercent(double share) {
        return formatNumber(share * 100) + "%";
    }

    private static String formatRatio(double value) {
        return String.format(Locale.ROOT, value < 0.095 ? "%.3f" : value < 9.95 ? "%.2f" : "%.1f", value);
    }

    private static String formatBytes(double value) {
        int unit = 0;
        double scaled = value;
        while (scaled >= 1024 && unit < BYTE_UNITS.length - 1) {
            scaled /= 1024;
            unit++;
        }
        return formatNumber(scaled) + ' ' + BYTE_UNITS[unit];
    }

    /** Formats with three significant digits, up to six decimals; from 100 on as an integer with thousands separators. */
    private static String formatNumber(double value) {
        if (value == 0) {
            return "0";
        }
        double size = Math.abs(value);
        if (size >= 100 || value == Math.rint(value)) {
            return String.format(Locale.ROOT, "%,d", Math.round(value));
        }
        int digits = (int) Math.max(0, 2 - Math.floor(Math.log10(size)));
        return String.format(Locale.ROOT, "%." + Math.min(digits, 6) + "f", value);
    }
}

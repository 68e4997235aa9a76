package badgermux.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/** The page's tables as Markdown, each by the name of its place on the page. The same input gives the same text. */
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

    /** All tables in their order. */
    public Map<String, String> renderAll() {
        Map<String, String> tables = new LinkedHashMap<>();
        tables.put("runs", runsTable());
        tables.put("slopes", slopes());
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

    private String slopes() {
        List<List<String>> rows = new ArrayList<>();
        double workers = target.get("workers");
        for (Slope slope : slopes.slopes()) {
            String fit = slope.points().size() < 2 ? "one size only" : formatPercent(slope.errorShare());
            boolean byWorkers = slope.per().equals("worker") && slope.isMeasuredAt(workers);
            rows.add(List.of('`' + slope.name() + '`', slope.what(), formatNumber(slope.base()) + ' ' + slope.unit(),
                formatNumber(slope.slope()) + " / " + slope.per(), fit, byWorkers ? formatMeasurement(slope, workers) : "",
                byWorkers ? formatNumber(slope.fittedCostAt(workers)) : "", formatSizes(slope), slope.run()));
        }
        return markdownTable(List.of("name", "what", "base", "slope", "fit's error", "measured at 2,600: median (least to most)", "fitted there",
            "sizes", "run"), rows);
    }

    private static String formatMeasurement(Slope slope, double size) {
        Slope.Point point = slope.points().stream().filter(p -> p.size() == size).findFirst().orElseThrow();
        return formatNumber(point.median()) + " (" + formatNumber(point.least()) + " to " + formatNumber(point.most()) + ')';
    }

    private static String formatSizes(Slope slope) {
        List<Slope.Point> points = slope.points();
        String sizes = points.stream().map(point -> formatNumber(point.size())).collect(Collectors.joining(" "));
        return sizes + ", " + points.get(0).rounds() + (points.get(0).rounds() == 1 ? " round" : " rounds");
    }

    private String figuresTable() {
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("dispatchers", target.dispatchers().stream().map(d -> formatNumber(d)).collect(Collectors.joining(", ")), "guess"));
        for (Target.Value value : target.values()) {
            rows.add(List.of(value.name(), formatNumber(value.value()) + ' ' + value.unit(), value.from()));
        }
        return markdownTable(List.of("figure", "value", "from"), rows);
    }

    private String demandsTable(int dispatchers) {
        List<List<String>> rows = new ArrayList<>();
        List<Demand> demands = new ArrayList<>(model.demands(dispatchers));
        List<String> roles = demands.stream().map(Demand::role).distinct().toList();
        demands.sort(Comparator.comparingInt((Demand d) -> roles.indexOf(d.role())).thenComparing(Demand::situation));
        for (Demand d : demands) {
            boolean outside = d.kind() == Demand.Kind.OUTSIDE;
            rows.add(List.of(d.role(), d.situation().label(), formatBytes(d.stateBytes()), formatNumber(d.messagesPerSecond()), formatBytes(d.bytesPerSecond()) + "/s",
                formatPercent(d.coreShare()), outside ? "-" : formatRatio(d.stateBytes() / target.budget().memoryBytes()),
                outside ? "-" : formatRatio(d.bytesPerSecond() / target.budget().bytesPerSecond()),
                outside ? "-" : formatRatio(d.coreShare() / target.budget().coreShare()), d.kind().name().toLowerCase(Locale.ROOT),
                formatMechanism(d.mechanism())));
        }
        return markdownTable(List.of("role", "situation", "state", "messages/s", "bytes", "core", "memory ratio", "bytes ratio", "core ratio",
            "counted as", "mechanism"), rows);
    }

    private String timesTable() {
        double change = target.budget().changeSeconds(), urgent = target.budget().urgentSeconds();
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("a change of configuration in force everywhere", "no bound: nothing carries it", formatSeconds(change), "no bound",
            Demand.NO_MECHANISM));
        rows.add(List.of("the same by hand: processor time of a start on each dispatcher", formatSeconds(model.startCpuSeconds()), formatSeconds(change),
            formatRatio(model.startCpuSeconds() / change), Demand.NO_MECHANISM));
        rows.add(List.of("slots of the widest gang, against those of the one worker that a job may have",
            formatNumber(target.get("gangMost")) + " slots", formatNumber(model.slotsPerBackend()) + " slots on average",
            formatRatio(target.get("gangMost") / model.slotsPerBackend()), Demand.NO_MECHANISM));
        for (Situation situation : List.of(Situation.MACHINE_FAILURE, Situation.RACK_FAILURE, Situation.ZONE_FAILURE, Situation.REGION_CUT_OFF)) {
            rows.add(List.of("urgent work that waits behind the news of the loss: " + situation.label() + " ("
                + formatNumber(model.lostBackends(situation)) + " of " + formatNumber(target.get("workers")) + " workers, one by one)", formatSeconds(model.lossCpuSeconds(situation)), formatSeconds(urgent),
                formatRatio(model.lossCpuSeconds(situation) / urgent), "`DefaultDispatchPolicy`"));
        }
        double window = target.get("windowSeconds");
        rows.add(List.of("a whole list at the budget's rate", formatSeconds(model.listTransferSeconds(false)), formatSeconds(window),
            formatRatio(model.listTransferSeconds(false) / window), "`DiscoveryClient`"));
        rows.add(List.of("a whole list, indented, at the budget's rate", formatSeconds(model.listTransferSeconds(true)), formatSeconds(window),
            formatRatio(model.listTransferSeconds(true) / window), "`DiscoveryClient`"));
        return markdownTable(List.of("what", "takes", "allowed", "ratio", "mechanism"), rows);
    }

    /** Roles without a mechanism first, then by ratio; each once, in its worst situation. */
    private String rankingTable() {
        List<Demand> all = target.dispatchers().stream().flatMap(d -> model.demands(d).stream())
            .filter(d -> d.kind() != Demand.Kind.OUTSIDE && !d.mechanism().equals("sum")).toList();
        List<Demand> worst = new ArrayList<>();
        for (String role : all.stream().map(Demand::role).distinct().toList()) {
            worst.add(highestRatio(all.stream().filter(d -> d.role().equals(role)).toList()));
        }
        worst.sort(Comparator.comparing((Demand d) -> !d.hasNoMechanism())
            .thenComparing(Comparator.comparingDouble((Demand d) -> d.budgetRatio(target.budget())).reversed()));
        List<List<String>> rows = new ArrayList<>();
        for (Demand d : worst) {
            List<String> row = new ArrayList<>(List.of(String.valueOf(rows.size() + 1), d.role(), d.situation().label(), formatDominantResource(d)));
            for (int dispatchers : target.dispatchers()) {
                row.add(formatRatio(highestRatio(all.stream().filter(o -> o.role().equals(d.role()) && o.dispatchers() == dispatchers).toList())
                    .budgetRatio(target.budget())));
            }
            row.add(d.kind().name().toLowerCase(Locale.ROOT));
            row.add(formatMechanism(d.mechanism()));
            rows.add(row);
        }
        List<String> head = new ArrayList<>(List.of("", "role", "worst in", "by"));
        target.dispatchers().forEach(dispatchers -> head.add("ratio of " + formatNumber(dispatchers)));
        head.addAll(List.of("counted as", "mechanism"));
        return markdownTable(head, rows);
    }

    private Demand highestRatio(List<Demand> of) {
        return of.stream().max(Comparator.comparingDouble(d -> d.budgetRatio(target.budget()))).orElseThrow();
    }

    private String formatDominantResource(Demand d) {
        Target.Budget budget = target.budget();
        double ratio = d.budgetRatio(budget);
        if (ratio == d.bytesPerSecond() / budget.bytesPerSecond()) {
            return "bytes: " + formatBytes(d.bytesPerSecond()) + "/s of " + formatBytes(budget.bytesPerSecond()) + "/s";
        }
        if (ratio == d.coreShare() / budget.coreShare()) {
            return "processor: " + formatPercent(d.coreShare()) + " of " + formatPercent(budget.coreShare()) + " of a core";
        }
        return "memory: " + formatBytes(d.stateBytes()) + " of " + formatBytes(budget.memoryBytes());
    }

    private String thresholdsTable() {
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("requests a second of one dispatcher from which on its probes alone take 8 KB a second",
            formatNumber(model.probeLimitedRequestsPerSecond())));
        rows.add(List.of("probes for a request at 2,600 workers, one request each 20 ms", formatNumber(model.probesPerRequest())));
        rows.add(List.of("requests a second over all, were every job of a day a gang of 64", formatNumber(model.averageStartsPerSecond())));
        rows.add(List.of("changed entries of the list a second, on an ordinary day", formatNumber(model.averageEntriesPerSecond())));
        for (int dispatchers : target.dispatchers()) {
            rows.add(List.of("requests a second of one of " + formatNumber(dispatchers) + " dispatchers at the peak",
                formatNumber(target.get("startsAtPeak") / dispatchers)));
            rows.add(List.of("descriptors of one of " + formatNumber(dispatchers) + ", two for each running task, of "
                + formatNumber(target.get("descriptors")), formatNumber(model.descriptorsPerDispatcher(dispatchers)) + ", ratio "
                + formatRatio(model.descriptorsPerDispatcher(dispatchers) / target.get("descriptors"))));
        }
        return markdownTable(List.of("what", "figure"), rows);
    }

    // ---- Text

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

    /** Three digits that tell, and thousands set apart. */
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

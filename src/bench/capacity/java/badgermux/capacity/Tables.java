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
    private static final String[] UNITS = {"B", "KB", "MB", "GB"};

    private final Slopes slopes;
    private final Target target;
    private final Model model;

    public Tables(Slopes slopes, Target target) {
        this.slopes = slopes;
        this.target = target;
        model = new Model(slopes, target);
    }

    /** All tables in their order. */
    public Map<String, String> all() {
        Map<String, String> tables = new LinkedHashMap<>();
        tables.put("runs", runs());
        tables.put("slopes", slopes());
        tables.put("figures", figures());
        for (int dispatchers : target.dispatchers()) {
            tables.put("demand-" + dispatchers, demands(dispatchers));
        }
        tables.put("times", times());
        tables.put("ranking", ranking());
        tables.put("crossings", crossings());
        return tables;
    }

    private String runs() {
        List<List<String>> rows = new ArrayList<>();
        for (Slopes.Run run : slopes.runs()) {
            rows.add(List.of(run.name(), '`' + run.command() + '`', run.date(), run.machine(), run.how()));
        }
        return table(List.of("run", "command", "ended", "machine", "how"), rows);
    }

    private String slopes() {
        List<List<String>> rows = new ArrayList<>();
        double workers = target.get("workers");
        for (Slope slope : slopes.slopes()) {
            String fit = slope.points().size() < 2 ? "one size only" : percent(slope.errorShare());
            boolean byWorkers = slope.per().equals("worker") && slope.isMeasuredAt(workers);
            rows.add(List.of('`' + slope.name() + '`', slope.what(), number(slope.base()) + ' ' + slope.unit(),
                number(slope.slope()) + " / " + slope.per(), fit, byWorkers ? measuredAt(slope, workers) : "",
                byWorkers ? number(slope.fitted(workers)) : "", range(slope), slope.run()));
        }
        return table(List.of("name", "what", "base", "slope", "fit's error", "measured at 2,600: median (least to most)", "fitted there",
            "sizes", "run"), rows);
    }

    private static String measuredAt(Slope slope, double size) {
        Slope.Point point = slope.points().stream().filter(p -> p.size() == size).findFirst().orElseThrow();
        return number(point.median()) + " (" + number(point.least()) + " to " + number(point.most()) + ')';
    }

    private static String range(Slope slope) {
        List<Slope.Point> points = slope.points();
        String sizes = points.stream().map(point -> number(point.size())).collect(Collectors.joining(" "));
        return sizes + ", " + points.get(0).rounds() + (points.get(0).rounds() == 1 ? " round" : " rounds");
    }

    private String figures() {
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("dispatchers", target.dispatchers().stream().map(d -> number(d)).collect(Collectors.joining(", ")), "guess"));
        for (Target.Value value : target.values()) {
            rows.add(List.of(value.name(), number(value.value()) + ' ' + value.unit(), value.from()));
        }
        return table(List.of("figure", "value", "from"), rows);
    }

    private String demands(int dispatchers) {
        List<List<String>> rows = new ArrayList<>();
        List<Demand> demands = new ArrayList<>(model.demands(dispatchers));
        List<String> roles = demands.stream().map(Demand::role).distinct().toList();
        demands.sort(Comparator.comparingInt((Demand d) -> roles.indexOf(d.role())).thenComparing(Demand::situation));
        for (Demand d : demands) {
            boolean outside = d.kind() == Demand.Kind.OUTSIDE;
            rows.add(List.of(d.role(), d.situation().label(), bytes(d.stateBytes()), number(d.messages()), bytes(d.bytes()) + "/s",
                percent(d.coreShare()), outside ? "-" : ratio(d.stateBytes() / target.budget().memoryBytes()),
                outside ? "-" : ratio(d.bytes() / target.budget().bytesPerSecond()),
                outside ? "-" : ratio(d.coreShare() / target.budget().coreShare()), d.kind().name().toLowerCase(Locale.ROOT),
                classes(d.mechanism())));
        }
        return table(List.of("role", "situation", "state", "messages/s", "bytes", "core", "memory ratio", "bytes ratio", "core ratio",
            "counted as", "mechanism"), rows);
    }

    private String times() {
        double change = target.budget().changeSeconds(), urgent = target.budget().urgentSeconds();
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("a change of configuration in force everywhere", "no bound: nothing carries it", seconds(change), "no bound",
            Demand.NONE));
        rows.add(List.of("the same by hand: processor time of a start on each dispatcher", seconds(model.startSeconds()), seconds(change),
            ratio(model.startSeconds() / change), Demand.NONE));
        rows.add(List.of("slots of the widest gang, against those of the one worker that a job may have",
            number(target.get("gangMost")) + " slots", number(model.slotsPerWorker()) + " slots on average",
            ratio(target.get("gangMost") / model.slotsPerWorker()), Demand.NONE));
        for (Situation situation : List.of(Situation.MACHINE, Situation.RACK, Situation.ZONE, Situation.REGION)) {
            rows.add(List.of("urgent work that waits behind the news of the loss: " + situation.label() + " ("
                + number(model.workersLost(situation)) + " of " + number(target.get("workers")) + " workers, one by one)", seconds(model.newsSeconds(situation)), seconds(urgent),
                ratio(model.newsSeconds(situation) / urgent), "`DefaultDispatchPolicy`"));
        }
        double window = target.get("windowSeconds");
        rows.add(List.of("a whole list at the budget's rate", seconds(model.listSeconds(false)), seconds(window),
            ratio(model.listSeconds(false) / window), "`DiscoveryClient`"));
        rows.add(List.of("a whole list, indented, at the budget's rate", seconds(model.listSeconds(true)), seconds(window),
            ratio(model.listSeconds(true) / window), "`DiscoveryClient`"));
        return table(List.of("what", "takes", "allowed", "ratio", "mechanism"), rows);
    }

    /** Roles without a mechanism first, then by ratio; each once, in its worst situation. */
    private String ranking() {
        List<Demand> all = target.dispatchers().stream().flatMap(d -> model.demands(d).stream())
            .filter(d -> d.kind() != Demand.Kind.OUTSIDE && !d.mechanism().equals("sum")).toList();
        List<Demand> worst = new ArrayList<>();
        for (String role : all.stream().map(Demand::role).distinct().toList()) {
            worst.add(worst(all.stream().filter(d -> d.role().equals(role)).toList()));
        }
        worst.sort(Comparator.comparing((Demand d) -> !d.hasNoMechanism())
            .thenComparing(Comparator.comparingDouble((Demand d) -> d.ratio(target.budget())).reversed()));
        List<List<String>> rows = new ArrayList<>();
        for (Demand d : worst) {
            List<String> row = new ArrayList<>(List.of(String.valueOf(rows.size() + 1), d.role(), d.situation().label(), by(d)));
            for (int dispatchers : target.dispatchers()) {
                row.add(ratio(worst(all.stream().filter(o -> o.role().equals(d.role()) && o.dispatchers() == dispatchers).toList())
                    .ratio(target.budget())));
            }
            row.add(d.kind().name().toLowerCase(Locale.ROOT));
            row.add(classes(d.mechanism()));
            rows.add(row);
        }
        List<String> head = new ArrayList<>(List.of("", "role", "worst in", "by"));
        target.dispatchers().forEach(dispatchers -> head.add("ratio of " + number(dispatchers)));
        head.addAll(List.of("counted as", "mechanism"));
        return table(head, rows);
    }

    private Demand worst(List<Demand> of) {
        return of.stream().max(Comparator.comparingDouble(d -> d.ratio(target.budget()))).orElseThrow();
    }

    private String by(Demand d) {
        Target.Budget budget = target.budget();
        double ratio = d.ratio(budget);
        if (ratio == d.bytes() / budget.bytesPerSecond()) {
            return "bytes: " + bytes(d.bytes()) + "/s of " + bytes(budget.bytesPerSecond()) + "/s";
        }
        if (ratio == d.coreShare() / budget.coreShare()) {
            return "processor: " + percent(d.coreShare()) + " of " + percent(budget.coreShare()) + " of a core";
        }
        return "memory: " + bytes(d.stateBytes()) + " of " + bytes(budget.memoryBytes());
    }

    private String crossings() {
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("requests a second of one dispatcher from which on its probes alone take 8 KB a second",
            number(model.requestsThatProbesAllow())));
        rows.add(List.of("probes for a request at 2,600 workers, one request each 20 ms", number(model.probesPerRequest())));
        rows.add(List.of("requests a second over all, were every job of a day a gang of 64", number(model.startsOnAverage())));
        rows.add(List.of("changed entries of the list a second, on an ordinary day", number(model.entriesOnAverage())));
        for (int dispatchers : target.dispatchers()) {
            rows.add(List.of("requests a second of one of " + number(dispatchers) + " dispatchers at the peak",
                number(target.get("startsAtPeak") / dispatchers)));
            rows.add(List.of("descriptors of one of " + number(dispatchers) + ", two for each running task, of "
                + number(target.get("descriptors")), number(model.descriptors(dispatchers)) + ", ratio "
                + ratio(model.descriptors(dispatchers) / target.get("descriptors"))));
        }
        return table(List.of("what", "figure"), rows);
    }

    // ---- Text

    private static String classes(String mechanism) {
        if (mechanism.equals(Demand.NONE) || mechanism.equals("sum") || mechanism.startsWith("outside")) {
            return mechanism;
        }
        return '`' + mechanism.replace(", ", "`, `") + '`';
    }

    private static String table(List<String> head, List<List<String>> rows) {
        StringBuilder text = new StringBuilder();
        line(text, head);
        line(text, head.stream().map(cell -> "---").toList());
        rows.forEach(row -> line(text, row));
        return text.toString();
    }

    private static void line(StringBuilder text, List<String> cells) {
        text.append("| ").append(String.join(" | ", cells)).append(" |\n");
    }

    private static String seconds(double value) {
        return number(value) + " s";
    }

    private static String percent(double share) {
        return number(share * 100) + "%";
    }

    private static String ratio(double value) {
        return String.format(Locale.ROOT, value < 0.095 ? "%.3f" : value < 9.95 ? "%.2f" : "%.1f", value);
    }

    private static String bytes(double value) {
        int unit = 0;
        double scaled = value;
        while (scaled >= 1024 && unit < UNITS.length - 1) {
            scaled /= 1024;
            unit++;
        }
        return number(scaled) + ' ' + UNITS[unit];
    }

    /** Three digits that tell, and thousands set apart. */
    private static String number(double value) {
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

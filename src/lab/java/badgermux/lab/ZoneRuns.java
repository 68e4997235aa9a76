package badgermux.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Simulates losses and returns of a zone with many seeds, under each policy, and prints a table of the results. Arguments:
 * <ul>
 * <li>{@code SEEDS [SCENARIO...]} prints a table for each scenario, by default for all but "large"
 * <li>{@code plot FILE.svg} draws one run
 * <li>{@code bins SEEDS SCENARIO} prints the share of worth served in time, by arrival time
 * <li>{@code log SEED SCENARIO} prints the log lines about zones
 * </ul>
 */
public final class ZoneRuns {
    private ZoneRuns() { }

    /** Returns all scenarios by name. */
    static Map<String, Scenario> scenarios() {
        Map<String, Scenario> all = new java.util.LinkedHashMap<>();
        for (Scenario each : List.of(new Scenario().withName("calm").withLoad(1.0),
                new Scenario().withName("loss 1.0").withLoss(0, 20, 45).withLoad(1.0),
                new Scenario().withName("loss 1.6").withLoss(0, 20, 45).withLoad(1.6),
                new Scenario().withName("flap").withLoss(0, 20, 32).withLoss(0, 40, 52).withLoad(1.0),
                new Scenario().withName("restart").withLoss(0, 20, 45).withLoad(1.0).withRestart(1, 30),
                new Scenario().withName("restart in return").withLoss(0, 20, 45).withLoad(1.0).withRestart(0, 50),
                new Scenario().withName("three zones").withSize(3, 7, 2).withLoss(0, 20, 45).withLoad(1.0))) {
            all.put(each.name, each);
        }
        Scenario refused = new Scenario().withName("refused").withLoss(0, 20, 45).withLoad(1.0);
        refused.isLossSilent = false;
        all.put(refused.name, refused);
        Scenario vast = new Scenario().withName("vast").withSize(2, 30, 7).withLoss(0, 6, 12).withLoad(1.3);
        vast.durationSeconds = 45;
        vast.minListDelaySeconds = 0.5;
        vast.maxListDelaySeconds = 4;
        vast.countsMeanWork = true;
        vast.twoSlotShare = 0.2;
        vast.ignoresCancel = true;
        vast.reportLagMicros = 300_000;
        all.put(vast.name, vast);
        for (Scenario each : List.of(manyDispatchers("roll 100").withReplacement(0.5, 3.5, 14.5).withRollingRestart(6, 20.5),
                manyDispatchers("roll 100 heirs").withReplacement(0.5, 3.5, 14.5).withRollingRestart(6, 20.5),
                manyDispatchers("join 100").withReplacement(0.6, 3.5, 10))) {
            each.reportsRunTimes = true;
            each.keepsLearnedState = each.name.endsWith("heirs");
            all.put(each.name, each);
        }
        Scenario cold = new Scenario().withName("cold 120").withSize(2, 33, 60).withLoad(0.5);
        cold.initialColdShare = 0.95;
        cold.durationSeconds = 40;
        cold.countsMeanWork = true;
        cold.twoSlotShare = 0.2;
        cold.reportLagMicros = 300_000;
        all.put(cold.name, cold);
        Scenario large = new Scenario().withName("large").withSize(3, 1000, 20).withLoss(0, 20, 45).withLoad(1.0);
        all.put(large.name, large);
        return all;
    }

    /** Returns a scenario with a hundred dispatchers that get one or two requests per second each. */
    private static Scenario manyDispatchers(String name) {
        Scenario scenario = new Scenario().withName(name).withSize(2, 30, 50).withLoad(1.4);
        scenario.durationSeconds = 30;
        scenario.minListDelaySeconds = 0.5;
        scenario.maxListDelaySeconds = 3;
        scenario.countsMeanWork = true;
        scenario.twoSlotShare = 0.2;
        scenario.ignoresCancel = true;
        scenario.reportLagMicros = 300_000;
        scenario.isLossSilent = false;
        return scenario;
    }

    public static void main(String[] args) throws Exception {
        if (args[0].equals("plot")) {
            plot(Path.of(args[1]));
            return;
        }
        if (args[0].equals("log")) {
            List<String> lines = new ArrayList<>();
            Scenario scenario = scenarios().get(args[2]);
            new FleetSimulation(scenario, Long.parseLong(args[1]),
                ComparedPolicies.all(scenario.zones).get(System.getProperty("policies", "zones"))).logTo(lines).run();
            lines.stream().filter(line -> line.contains("zone")).forEach(System.out::println);
            return;
        }
        if (args[0].equals("bins")) {
            printArrivalBins(scenarios().get(args[2]), Integer.parseInt(args[1]));
            return;
        }
        int seeds = Integer.parseInt(args[0]);
        for (Map.Entry<String, Scenario> each : scenarios().entrySet()) {
            if (args.length > 1 ? Arrays.asList(args).subList(1, args.length).contains(each.getKey())
                    : !each.getKey().equals("large")) {
                printTable(each.getValue(), seeds);
            }
        }
    }

    /** Prints, over all seeds, the share of worth that was served in time, in bins of five seconds of arrival time. */
    private static void printArrivalBins(Scenario scenario, int seeds) {
        for (var policy : ComparedPolicies.all(scenario.zones).entrySet()) {
            if (!policy.getKey().matches(System.getProperty("policies", ".*"))) {
                continue;
            }
            double[][] sum = new double[2][64];
            for (int i = 0; i < seeds; i++) {
                FleetSimulation.Result result = new FleetSimulation(scenario, 1_000 + i, policy.getValue()).run();
                for (int b = 0; b < 64; b++) {
                    sum[0][b] += result.worthByArrivalBin[0][b];
                    sum[1][b] += result.worthByArrivalBin[1][b];
                }
            }
            StringBuilder row = new StringBuilder(String.format("%-14s", policy.getKey()));
            for (int b = 0; b * 5 < scenario.durationSeconds; b++) {
                row.append(String.format(Locale.ROOT, " %.2f", sum[0][b] / sum[1][b]));
            }
            System.out.println(row);
        }
    }

    /**
     * Runs a scenario with all seeds under each policy, and prints a row of figures for each policy: shares as the median and
     * the minimum over the seeds, the overload ratio as the median and the maximum, times as the median.
     */
    private static void printTable(Scenario scenario, int seeds) throws Exception {
        System.out.printf(Locale.ROOT, "%n%s: %d zones of %d backends, %d dispatchers, load %.1f of the capacity without one "
            + "zone, %d seeds%n", scenario.name, scenario.zones, scenario.backendsPerZone,
            scenario.zones * scenario.dispatchersPerZone, scenario.load, seeds);
        System.out.printf("%-14s %-14s %-14s %-14s %-12s %-9s %-11s %-7s %-6s %s%n", "policy", "worth in time", "of the bound",
            "other zones", "max ratio", "overload", "spill", "dark s", "back s", "failures after answer, repeated keys");
        ExecutorService threads = Executors.newFixedThreadPool(Math.max(1, Runtime.getRuntime().availableProcessors() - 1));
        for (var policy : ComparedPolicies.all(scenario.zones).entrySet()) {
            if (!policy.getKey().matches(System.getProperty("policies", ".*"))) {
                continue;
            }
            List<Future<FleetSimulation.Result>> runs = new ArrayList<>();
            for (int i = 0; i < seeds; i++) {
                long seed = 1_000 + i;
                Callable<FleetSimulation.Result> run = () -> new FleetSimulation(scenario, seed, policy.getValue()).run();
                runs.add(threads.submit(run));
            }
            List<FleetSimulation.Result> results = new ArrayList<>();
            for (Future<FleetSimulation.Result> run : runs) {
                results.add(run.get());
            }
            double[] worth = results.stream().mapToDouble(r -> r.worthInTime / r.offeredWorth).sorted().toArray();
            double[] bound = results.stream().mapToDouble(r -> r.worthInTime / Math.max(1, r.worthBound)).sorted().toArray();
            double[] otherZones = results.stream().mapToDouble(ZoneRuns::otherZonesWorthShare).sorted().toArray();
            double[] detection = results.stream().flatMap(r -> r.darkDetectionSeconds.stream()).mapToDouble(v -> v).sorted()
                .toArray();
            double[] recovery = results.stream().mapToDouble(r -> r.recoverySeconds).filter(v -> !Double.isNaN(v)).sorted()
                .toArray();
            System.out.printf(Locale.ROOT, "%-14s %s %s %s %-12s %-9d %-11.2f %-7s %-6s %d %d%n", policy.getKey(),
                medianAndMin(worth), medianAndMin(bound), medianAndMin(otherZones), String.format(Locale.ROOT, "%.2f %.2f",
                    results.stream().mapToDouble(r -> r.maxOverloadRatio).sorted().skip(results.size() / 2).findFirst().orElse(0),
                    results.stream().mapToDouble(r -> r.maxOverloadRatio).max().orElse(0)),
                results.stream().mapToInt(r -> r.overloadedBackends).sum(),
                results.stream().mapToDouble(r -> r.maxSpillShare).max().orElse(0),
                median(detection), median(recovery), results.stream().mapToInt(r -> r.failuresAfterAnswer).sum(),
                results.stream().mapToInt(r -> r.repeatedKeyCount).sum());
            for (int c = 0; c < FleetSimulation.CLASSES.size(); c++) {
                int classIndex = c;
                System.out.printf(Locale.ROOT, "    %s %s", FleetSimulation.CLASSES.get(c).name(),
                    medianAndMin(results.stream().mapToDouble(r -> r.countInTimeByClass[classIndex]
                        / r.offeredCountByClass[classIndex]).sorted().toArray()));
            }
            System.out.println();
        }
        threads.shutdown();
    }

    /** Returns the share of worth served in time for the traffic of all zones but the first, which is the one that is lost. */
    static double otherZonesWorthShare(FleetSimulation.Result result) {
        double offered = 0;
        double inTime = 0;
        for (int z = 1; z < result.offeredWorthByZone.length; z++) {
            offered += result.offeredWorthByZone[z];
            inTime += result.worthInTimeByZone[z];
        }
        return inTime / offered;
    }

    private static String medianAndMin(double[] sorted) {
        return String.format(Locale.ROOT, "%-14s", sorted.length == 0 ? "-"
            : String.format(Locale.ROOT, "%.3f (%.3f)", sorted[sorted.length / 2], sorted[0]));
    }

    private static String median(double[] sorted) {
        return sorted.length == 0 ? "-" : String.format(Locale.ROOT, "%.1f", sorted[sorted.length / 2]);
    }

    /** Draws one loss and return, with and without zone limits, as SVG: work done and capacity by zone, and spilled slots. */
    private static void plot(Path file) throws IOException {
        Scenario scenario = scenarios().get("loss 1.0");
        StringBuilder svg = new StringBuilder("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"840\" height=\"560\" "
            + "font-family=\"sans-serif\" font-size=\"12\"><rect width=\"840\" height=\"560\" fill=\"white\"/>\n");
        int row = 0;
        for (String policy : List.of("zones", "off")) {
            FleetSimulation.Result result = new FleetSimulation(scenario, 1_000, ComparedPolicies.all(2).get(policy)).run();
            int top = 30 + 270 * row++;
            svg.append(String.format(Locale.ROOT, "<text x=\"60\" y=\"%d\" font-weight=\"bold\">%s: worth in time %.2f, max "
                + "ratio %.1f, %d backends overloaded</text>\n", top - 10, policy.equals("zones") ? "zones on" : "zones off",
                result.worthInTime / result.offeredWorth, result.maxOverloadRatio, result.overloadedBackends));
            svg.append(String.format("<rect x=\"60\" y=\"%d\" width=\"720\" height=\"200\" fill=\"none\" stroke=\"#999\"/>\n",
                top));
            String[] names = {"done in zone 0", "done in zone 1", "capacity of zone 0", "capacity of zone 1",
                "slots spilled to zone 1"};
            String[] colours = {"#1b6ca8", "#c4561a", "#9cc5e3", "#efc0a2", "#3c8a3c"};
            int[] columns = {1, 2, 3, 4, 6};
            for (int line = 0; line < names.length; line++) {
                StringBuilder points = new StringBuilder();
                for (double[] sample : result.timeSeries) {
                    points.append(String.format(Locale.ROOT, "%.1f,%.1f ", 60 + sample[0] * 9,
                        top + 200 - Math.min(60, sample[columns[line]]) / 60 * 200));
                }
                svg.append("<polyline fill=\"none\" stroke=\"").append(colours[line]).append("\" stroke-width=\"1.5\" points=\"")
                    .append(points).append("\"/>\n");
                svg.append(String.format(Locale.ROOT, "<text x=\"%d\" y=\"%d\" fill=\"%s\">%s</text>\n",
                    70 + 150 * line, top + 232, colours[line], names[line]));
            }
            for (int t = 0; t <= 80; t += 10) {
                svg.append(String.format(Locale.ROOT, "<text x=\"%d\" y=\"%d\" text-anchor=\"middle\">%d s</text>\n",
                    60 + t * 9, top + 215, t));
            }
            svg.append(String.format(Locale.ROOT, "<text x=\"54\" y=\"%d\" text-anchor=\"end\">60</text><text x=\"54\" y=\"%d\" "
                + "text-anchor=\"end\">0</text>\n", top + 10, top + 200));
        }
        Files.writeString(file, svg.append("</svg>\n"));
    }
}

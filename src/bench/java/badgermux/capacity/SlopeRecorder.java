package badgermux.capacity;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apache.commons.math3.stat.regression.OLSMultipleLinearRegression;

/** Collects what a run measures and fits a line through the points of each cost. */
final class SlopeRecorder {
    /** A cost by size, while it is measured. */
    private record Series(String what, String unit, String per, List<Slope.Point> points) { }

    private final String run;
    private final Map<String, Series> series = new LinkedHashMap<>();

    /** Records for a run of this name. */
    SlopeRecorder(String run) {
        this.run = run;
    }

    /** Names a cost before its points are added. */
    void describe(String name, String what, String unit, String per) {
        series.put(name, new Series(what, unit, per, new ArrayList<>()));
    }

    /** Adds a point: what each round measured at a size. */
    void add(String name, double size, double... rounds) {
        double[] sorted = rounds.clone();
        Arrays.sort(sorted);
        double median = (sorted[(sorted.length - 1) / 2] + sorted[sorted.length / 2]) / 2;
        Slope.Point point = new Slope.Point(size, sorted.length, roundToFourDigits(median), roundToFourDigits(sorted[0]),
            roundToFourDigits(sorted[sorted.length - 1]));
        series.get(name).points.add(point);
        System.out.printf(Locale.ROOT, "%-22s %8.0f %12.3f  (%.3f to %.3f)%n", name, size, median, sorted[0],
            sorted[sorted.length - 1]);
    }

    /** The slopes, each with its fitted line. */
    List<Slope> slopes() {
        return series.entrySet().stream().map(e -> fitSlope(e.getKey(), e.getValue())).toList();
    }

    /** This run's entry, dated now. */
    Slopes.Run run(String command, String how) {
        double load = java.lang.management.ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
        String machine = String.format(Locale.ROOT, "%d cores, Java %s, load average of the last minute %.1f",
            Runtime.getRuntime().availableProcessors(), System.getProperty("java.version"), load);
        return new Slopes.Run(run, command, Instant.now().truncatedTo(ChronoUnit.SECONDS).toString(), machine, how);
    }

    private Slope fitSlope(String name, Series of) {
        double[] line = fitLine(of.points);
        double squares = 0;
        for (Slope.Point point : of.points) {
            double error = (line[0] + line[1] * point.size() - point.median()) / point.median();
            squares += error * error;
        }
        double error = Math.sqrt(squares / of.points.size());
        return new Slope(name, of.what, of.unit, of.per, run, of.points, roundToFourDigits(line[0]), roundToFourDigits(line[1]), roundToFourDigits(error));
    }

    /** Base and slope with the least sum of squared relative errors: each point weighs by its own size of cost. */
    private static double[] fitLine(List<Slope.Point> points) {
        if (points.size() == 1) {
            return new double[] {points.get(0).median(), 0};
        }
        if (points.size() == 2) {
            Slope.Point one = points.get(0), two = points.get(1);
            double slope = (two.median() - one.median()) / (two.size() - one.size());
            return new double[] {one.median() - slope * one.size(), slope};
        }
        double[] ones = new double[points.size()];
        double[][] weighted = new double[points.size()][];
        for (int i = 0; i < ones.length; i++) {
            Slope.Point point = points.get(i);
            ones[i] = 1;
            weighted[i] = new double[] {1 / point.median(), point.size() / point.median()};
        }
        OLSMultipleLinearRegression regression = new OLSMultipleLinearRegression();
        regression.setNoIntercept(true);
        regression.newSampleData(ones, weighted);
        return regression.estimateRegressionParameters();
    }

    private static double roundToFourDigits(double value) {
        return Double.parseDouble(String.format(Locale.ROOT, "%.4g", value));
    }
}

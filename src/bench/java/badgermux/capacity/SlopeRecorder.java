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

/** Collects the measurements of a run and fits a line through the points of each cost. */
final class SlopeRecorder {
    /** A cost whose points are still being measured; the components are those of {@link Slope}. */
    private record Series(String what, String unit, String per, List<Slope.Point> points) { }

    private final String runName;
    private final Map<String, Series> seriesByName = new LinkedHashMap<>();

    SlopeRecorder(String runName) {
        this.runName = runName;
    }

    /** Declares a cost. This has to come before its points are added. */
    void describe(String name, String what, String unit, String per) {
        seriesByName.put(name, new Series(what, unit, per, new ArrayList<>()));
    }

    /** Adds a point, made of the costs of all rounds at one size, and prints it. */
    void add(String name, double size, double... rounds) {
        double[] sorted = rounds.clone();
        Arrays.sort(sorted);
        double median = (sorted[(sorted.length - 1) / 2] + sorted[sorted.length / 2]) / 2;
        Slope.Point point = new Slope.Point(size, sorted.length, roundToFourDigits(median), roundToFourDigits(sorted[0]),
            roundToFourDigits(sorted[sorted.length - 1]));
        seriesByName.get(name).points.add(point);
        System.out.printf(Locale.ROOT, "%-22s %8.0f %12.3f  (%.3f to %.3f)%n", name, size, median, sorted[0],
            sorted[sorted.length - 1]);
    }

    /** Returns the slopes with their fitted lines. */
    List<Slope> slopes() {
        return seriesByName.entrySet().stream().map(entry -> fitSlope(entry.getKey(), entry.getValue())).toList();
    }

    /** Returns the description of this run, with the present time, Java version and load average. */
    Slopes.Run describeRun(String command, String how) {
        double loadAverage = java.lang.management.ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
        String machine = String.format(Locale.ROOT, "%d cores, Java %s, load average of the last minute %.1f",
            Runtime.getRuntime().availableProcessors(), System.getProperty("java.version"), loadAverage);
        return new Slopes.Run(runName, command, Instant.now().truncatedTo(ChronoUnit.SECONDS).toString(), machine, how);
    }

    private Slope fitSlope(String name, Series series) {
        double[] baseAndSlope = fitLine(series.points);
        double squares = 0;
        for (Slope.Point point : series.points) {
            double error = (baseAndSlope[0] + baseAndSlope[1] * point.size() - point.median()) / point.median();
            squares += error * error;
        }
        double error = Math.sqrt(squares / series.points.size());
        return new Slope(name, series.what, series.unit, series.per, runName, series.points,
            roundToFourDigits(baseAndSlope[0]), roundToFourDigits(baseAndSlope[1]), roundToFourDigits(error));
    }

    /**
     * Returns base and slope of the line with the least sum of squared relative errors: each equation is divided by the
     * measured cost, so that small costs count as much as large ones. A single point gives a constant.
     */
    private static double[] fitLine(List<Slope.Point> points) {
        if (points.size() == 1) {
            return new double[] {points.get(0).median(), 0};
        }
        if (points.size() == 2) {
            Slope.Point first = points.get(0);
            Slope.Point second = points.get(1);
            double slope = (second.median() - first.median()) / (second.size() - first.size());
            return new double[] {first.median() - slope * first.size(), slope};
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

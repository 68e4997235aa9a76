package badgermux.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Draws the traffic of a run: bytes per second to and from a dispatcher, by purpose. */
final class ScalePlot {
    private static final int WIDTH = 1_000;
    private static final int HEIGHT = 500;

    private ScalePlot() { }

    /** Writes the plot of a result to a file as SVG. */
    static void write(ScaleResult result, Path file) throws IOException {
        XYChart chart = new XYChartBuilder().width(WIDTH).height(HEIGHT).xAxisTitle("s")
            .yAxisTitle("bytes per second and dispatcher").title(result.options().scenario + ", "
                + result.options().workers + " backends, "
                + result.options().allDispatchers() + " dispatchers").build();
        List<ScaleResult.Sample> samples = result.samples();
        double[] seconds = samples.stream().mapToDouble(ScaleResult.Sample::second).toArray();
        addSeries(chart, "lists", seconds, samples, ScaleResult.Sample::lists);
        addSeries(chart, "probes", seconds, samples, ScaleResult.Sample::probes);
        addSeries(chart, "attempts and reports", seconds, samples, ScaleResult.Sample::attempts);
        VectorGraphicsEncoder.saveVectorGraphic(chart, file.toString(), VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
    }

    private static void addSeries(XYChart chart, String name, double[] seconds, List<ScaleResult.Sample> samples,
            ToDoubleFunction<ScaleResult.Sample> value) {
        chart.addSeries(name, seconds, samples.stream().mapToDouble(value).toArray()).setMarker(SeriesMarkers.NONE);
    }
}

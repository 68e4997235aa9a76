package badgermux.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Draws a run: bytes a second to and from a dispatcher, by purpose. */
final class ScalePlot {
    private static final int WIDTH = 1_000, HEIGHT = 500;

    private ScalePlot() { }

    static void write(ScaleResult result, Path file) throws IOException {
        XYChart chart = new XYChartBuilder().width(WIDTH).height(HEIGHT).xAxisTitle("s").yAxisTitle("bytes a second, a dispatcher")
            .title(result.options().scenario + ", " + result.options().workers + " workers, "
                + result.options().allDispatchers() + " dispatchers").build();
        List<ScaleResult.Sample> samples = result.samples();
        double[] seconds = samples.stream().mapToDouble(ScaleResult.Sample::second).toArray();
        series(chart, "lists", seconds, samples, ScaleResult.Sample::lists);
        series(chart, "probes", seconds, samples, ScaleResult.Sample::probes);
        series(chart, "attempts and reports", seconds, samples, ScaleResult.Sample::attempts);
        VectorGraphicsEncoder.saveVectorGraphic(chart, file.toString(), VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
    }

    private static void series(XYChart chart, String name, double[] seconds, List<ScaleResult.Sample> samples,
            ToDoubleFunction<ScaleResult.Sample> of) {
        chart.addSeries(name, seconds, samples.stream().mapToDouble(of).toArray()).setMarker(SeriesMarkers.NONE);
    }
}

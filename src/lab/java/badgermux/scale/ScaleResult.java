package badgermux.scale;

import badgermux.metrics.Metrics.Count;
import com.google.gson.ExclusionStrategy;
import com.google.gson.FieldAttributes;
import com.google.gson.GsonBuilder;
import java.util.List;
import java.util.Map;

/**
 * The figures of a run, and whether it passed. Rates cover the measured part; requests and rules cover the whole run.
 *
 * @param inForceEach  times from a change of the list until it was in force in a dispatcher, for all dispatchers
 * @param inForceLast  times from a change until it was in force in the last dispatcher
 * @param afterHealing times from the end of the cut, or from the change if that was later, until the change was in force in the
 *                     last dispatcher; null if nothing was cut off
 * @param restartMs    time from the start of all dispatchers until each had the newest list; 0 if they were not restarted
 * @param notInForce   the number of changes that did not reach all dispatchers
 * @param upToDate     the number of dispatchers that had the last revision at the end
 */
record ScaleResult(boolean passed, List<String> faults, String command, String commit, String started, double loadAverage,
        ScaleOptions options, Hollow hollow, List<Real> real, Map<String, TrafficCounter.Bytes> bytes,
        Map<String, Double> bytesASecondADispatcher, long changes, Times inForceEach, Times inForceLast, Times afterHealing,
        double restartMs, long notInForce, int upToDate, Rules rules, List<Sample> samples) {

    /** All hollow dispatchers together, and the mean of each one; the times are those of the worst process. */
    record Hollow(int processes, double cpuPercentEach, double rssMbEach, double heapMbEach, Requests requests,
        Times loopLate, Times news, Times decisions, Map<Count, Long> counts) { }

    /** A real dispatcher; {@code health} holds its response times to GET /healthz. */
    record Real(int number, double cpuPercent, double rssMb, Requests requests, Times health) { }

    /** Requests by outcome; {@code second} counts answers after the final one, {@code resent} requests sent again. */
    record Requests(long asked, long served, long synthetic, long failed, long lost, long second, long resent) { }

    /** Attempts received, drains, attempts at cold backends, and the counts of violated rules with descriptions of some. */
    record Rules(long sends, long drains, long coldSends, long afterDrain, long overCold, List<String> stories) { }

    /** One second: bytes to and from each dispatcher, and the number of dispatchers with the newest list. */
    record Sample(double second, double lists, double probes, double attempts, int upToDate) { }

    /** Returns the result as JSON, without the samples, which are only for the plot. */
    String json() {
        return new GsonBuilder().setPrettyPrinting().setExclusionStrategies(new ExclusionStrategy() {
            @Override public boolean shouldSkipField(FieldAttributes field) {
                return field.getName().equals("samples");
            }

            @Override public boolean shouldSkipClass(Class<?> type) {
                return false;
            }
        }).create().toJson(this);
    }
}

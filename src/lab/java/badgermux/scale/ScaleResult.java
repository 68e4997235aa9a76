package badgermux.scale;

import badgermux.metrics.Metrics.Count;
import com.google.gson.ExclusionStrategy;
import com.google.gson.FieldAttributes;
import com.google.gson.GsonBuilder;
import java.util.List;
import java.util.Map;

/**
 * What a run measured, and its verdict. Rates are over the measured part; requests and rules over the whole run.
 *
 * @param inForceEach  from a change until it was in force in one dispatcher, over all of them
 * @param inForceLast  from a change until it was in force in the last dispatcher
 * @param afterHealing from the healing, or the change where that was later, until it was in force in the last one; null
 *                     where nothing was cut off
 * @param restartMs    from the start of all dispatchers until each had the newest list; 0 where they were not restarted
 * @param notInForce   changes that did not get everywhere
 * @param upToDate     dispatchers at the last revision at the end
 */
record ScaleResult(boolean passed, List<String> faults, String command, String commit, String started, double loadAverage,
        ScaleOptions options, Hollow hollow, List<Real> real, Map<String, TrafficCounter.Bytes> bytes,
        Map<String, Double> bytesASecondADispatcher, long changes, Times inForceEach, Times inForceLast, Times afterHealing,
        double restartMs, long notInForce, int upToDate, Rules rules, List<Sample> samples) {

    /** All hollow dispatchers together, and each one's part; the times are those of the worst process. */
    record Hollow(int processes, double cpuPercentEach, double rssMbEach, double heapMbEach, Requests requests,
        Times loopLate, Times news, Times decisions, Map<Count, Long> counts) { }

    /** A real dispatcher; {@code health} is how long it took to answer GET /healthz. */
    record Real(int number, double cpuPercent, double rssMb, Requests requests, Times health) { }

    record Requests(long asked, long served, long synthetic, long failed, long lost, long second, long resent) { }

    /** Attempts that came to workers, drains, attempts to cold workers, and rules broken, with some of the stories. */
    record Rules(long sends, long drains, long coldSends, long afterDrain, long overCold, List<String> stories) { }

    /** One second: bytes to and from each dispatcher, and how many had the newest list. */
    record Sample(double second, double lists, double probes, double attempts, int upToDate) { }

    /** All but the samples, which are for the plot. */
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

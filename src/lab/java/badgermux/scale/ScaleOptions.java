package badgermux.scale;

import picocli.CommandLine.Option;

/** The options of a scale run. The result contains them, to make a run repeatable. */
public class ScaleOptions {
    /** What happens during a run. The ladders and the peak are runs with churn only, and differ by name. */
    public enum Scenario { LADDER_WORKERS, LADDER_DISPATCHERS, PEAK, CHURN, RACK, ZONE, REGION, RESTART, ANEW }

    @Option(names = "--workers", description = "number of hollow backends (${DEFAULT-VALUE})")
    int workers = 60;
    @Option(names = "--dispatchers", description = "number of hollow dispatchers (${DEFAULT-VALUE})")
    int dispatchers = 30;
    @Option(names = "--real", description = "number of real dispatchers of the built jar (${DEFAULT-VALUE})")
    int real = 3;
    @Option(names = "--per-process", description = "hollow dispatchers per process (${DEFAULT-VALUE})")
    int perProcess = 100;
    @Option(names = "--tenants", description = "number of tenants, each with a quota (${DEFAULT-VALUE})")
    int tenants = 190;
    @Option(names = "--rate", description = "requests per second, over all dispatchers (${DEFAULT-VALUE})")
    double rate = 100;
    @Option(names = "--running", description = "mean number of requests running at the same time (${DEFAULT-VALUE})")
    double running = 50;
    @Option(names = "--seconds", description = "length of the measured part in seconds (${DEFAULT-VALUE})")
    int seconds = 30;
    @Option(names = "--warm-up", description = "length of the warm-up before the measured part in seconds (${DEFAULT-VALUE})")
    int warmUp = 10;
    @Option(names = "--churn", description = "churn, as a multiple of an ordinary day (${DEFAULT-VALUE})")
    double churn = 100;
    @Option(names = "--fails-a-day", description = "machines that fail on an ordinary day (${DEFAULT-VALUE})")
    double failsADay = 51;
    @Option(names = "--restarts-a-day", description = "machines that restart on an ordinary day (${DEFAULT-VALUE})")
    double restartsADay = 190;
    @Option(names = "--rack", description = "number of backends in a rack (${DEFAULT-VALUE})")
    int rack = 40;
    @Option(names = "--cut-seconds",
        description = "time for which a rack, zone or region is cut off, in seconds (${DEFAULT-VALUE})")
    int cutSeconds = 60;
    @Option(names = "--list-delay-ms", description = "delay of discovery's answers in milliseconds (${DEFAULT-VALUE})")
    int listDelayMs;
    @Option(names = "--list-drop",
        description = "share of discovery's answers that are replaced by a connection reset (${DEFAULT-VALUE})")
    double listDrop;
    @Option(names = "--scenario", description = "ladder-workers, ladder-dispatchers, peak, churn, rack, zone, region,"
        + " restart, anew (${DEFAULT-VALUE})")
    Scenario scenario = Scenario.CHURN;
    @Option(names = "--seed", description = "seed of all random numbers (${DEFAULT-VALUE})")
    long seed = 1;

    /** Returns the number of hollow and real dispatchers. */
    int allDispatchers() {
        return dispatchers + real;
    }

    /** Returns the mean run time of a request on a warm backend, in milliseconds. */
    double meanRunMs() {
        return 1_000 * running / rate;
    }

    /** Returns the timeout of a client in milliseconds: three times the longest run, and five seconds. */
    long giveUpMs() {
        return (long) (3 * FleetLayout.MAX_RUN_FACTOR * meanRunMs()) + 5_000;
    }

    /** Whether the scenario cuts off a part of the fleet. */
    boolean cuts() {
        return scenario == Scenario.RACK || scenario == Scenario.ZONE || scenario == Scenario.REGION;
    }
}

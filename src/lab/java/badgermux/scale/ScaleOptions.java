package badgermux.scale;

import picocli.CommandLine.Option;

/** What a scale run is told; the result repeats it, so that a run can be had again. */
public class ScaleOptions {
    /** What happens during a run. Ladders are runs of ordinary churn, told apart by name only. */
    public enum Scenario { LADDER_WORKERS, LADDER_DISPATCHERS, PEAK, CHURN, RACK, ZONE, REGION, RESTART, ANEW }

    @Option(names = "--workers", description = "hollow workers (${DEFAULT-VALUE})")
    int workers = 60;
    @Option(names = "--dispatchers", description = "hollow dispatchers (${DEFAULT-VALUE})")
    int dispatchers = 30;
    @Option(names = "--real", description = "real dispatchers of the built jar (${DEFAULT-VALUE})")
    int real = 3;
    @Option(names = "--per-process", description = "hollow dispatchers in one process (${DEFAULT-VALUE})")
    int perProcess = 100;
    @Option(names = "--tenants", description = "tenants with a quota each (${DEFAULT-VALUE})")
    int tenants = 190;
    @Option(names = "--rate", description = "task starts a second, all dispatchers together (${DEFAULT-VALUE})")
    double rate = 100;
    @Option(names = "--running", description = "tasks running at once on average (${DEFAULT-VALUE})")
    double running = 50;
    @Option(names = "--seconds", description = "length of the measured part (${DEFAULT-VALUE})")
    int seconds = 30;
    @Option(names = "--warm-up", description = "seconds before the measured part (${DEFAULT-VALUE})")
    int warmUp = 10;
    @Option(names = "--churn", description = "churn as a multiple of the ordinary day (${DEFAULT-VALUE})")
    double churn = 100;
    @Option(names = "--fails-a-day", description = "machines that fail on the ordinary day (${DEFAULT-VALUE})")
    double failsADay = 51;
    @Option(names = "--restarts-a-day", description = "machines restarted on the ordinary day (${DEFAULT-VALUE})")
    double restartsADay = 190;
    @Option(names = "--rack", description = "workers in a rack (${DEFAULT-VALUE})")
    int rack = 40;
    @Option(names = "--cut-seconds", description = "how long a rack, zone or region is cut off (${DEFAULT-VALUE})")
    int cutSeconds = 60;
    @Option(names = "--list-delay-ms", description = "how late discovery answers (${DEFAULT-VALUE})")
    int listDelayMs;
    @Option(names = "--list-drop", description = "share of discovery's answers that are a reset instead (${DEFAULT-VALUE})")
    double listDrop;
    @Option(names = "--scenario", description = "ladder-workers, ladder-dispatchers, peak, churn, rack, zone, region, restart, anew (${DEFAULT-VALUE})")
    Scenario scenario = Scenario.CHURN;
    @Option(names = "--seed", description = "of all random numbers (${DEFAULT-VALUE})")
    long seed = 1;

    int allDispatchers() {
        return dispatchers + real;
    }

    /** How long a task runs on average on a warm worker, in milliseconds. */
    double meanRunMs() {
        return 1_000 * running / rate;
    }

    /** How long a client waits for its answer, in milliseconds: the longest run three times over, and five seconds. */
    long giveUpMs() {
        return (long) (3 * FleetLayout.MAX_RUN_FACTOR * meanRunMs()) + 5_000;
    }

    boolean cuts() {
        return scenario == Scenario.RACK || scenario == Scenario.ZONE || scenario == Scenario.REGION;
    }
}

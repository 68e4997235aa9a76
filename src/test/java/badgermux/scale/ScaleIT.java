package badgermux.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Performs a small scale run, and checks its counts and the platform's rules, but no measured times. */
class ScaleIT {
    private static final int CUT_BACKENDS = 6;
    private static final int REVISIONS_PER_CUT = 2;
    private static final int TIMEOUT_SECONDS = 180;

    /** Runs 3 real and 30 hollow dispatchers with 60 backends, some of which fail or restart, and cuts off and heals a zone. */
    @Test @Timeout(TIMEOUT_SECONDS) void noRequestIsLostAndAllReachLastRevisionAfterZoneCut() throws Exception {
        ScaleOptions options = new ScaleOptions();
        options.scenario = ScaleOptions.Scenario.ZONE;
        options.rate = 60;
        options.running = 30;
        options.warmUp = 1;
        options.seconds = 8;
        options.cutSeconds = 4;
        options.churn = 300;
        options.seed = 3;     // gives several drains during the measured part
        try (ScaleRun run = new ScaleRun(options, System.out)) {
            ScaleResult result = run.run("test", "");
            assertEquals(List.of(), result.faults(), result.rules().stories().toString());
            assertEquals(options.allDispatchers(), result.upToDate());
            assertTrue(result.changes() > REVISIONS_PER_CUT * CUT_BACKENDS, "changes: " + result.changes());
            assertTrue(result.hollow().news().count() > 0, "no list update was timed");
            assertTrue(result.rules().drains() > 0, "no backend drained");
            assertTrue(result.hollow().requests().served() > 0 && result.rules().sends() > 0, result.json());
            result.real().forEach(real -> assertTrue(real.requests().asked() > 0, real.toString()));
        }
    }
}

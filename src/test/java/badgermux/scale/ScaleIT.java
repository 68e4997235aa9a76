package badgermux.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A small scale run. Its verdict goes by counts and by the platform's rules, and by no time that was measured. */
class ScaleIT {
    private static final int CUT_BACKENDS = 6, REVISIONS_PER_CUT = 2, TIMEOUT_SECONDS = 180;

    /** Three real dispatchers beside 30 hollow ones, 60 workers, some of which fail or restart, and a zone cut and healed. */
    @Test @Timeout(TIMEOUT_SECONDS) void noRequestIsLostAndAllReachLastRevisionAfterZoneCut() throws Exception {
        ScaleOptions options = new ScaleOptions();
        options.scenario = ScaleOptions.Scenario.ZONE;
        options.rate = 60;
        options.running = 30;
        options.warmUp = 1;
        options.seconds = 8;
        options.cutSeconds = 4;
        options.churn = 300;
        options.seed = 3;     // several drains while the measured part lasts
        try (ScaleRun run = new ScaleRun(options, System.out)) {
            ScaleResult result = run.run("test", "");
            assertEquals(List.of(), result.faults(), result.rules().stories().toString());
            assertEquals(options.allDispatchers(), result.upToDate());
            assertTrue(result.changes() > REVISIONS_PER_CUT * CUT_BACKENDS, "changes: " + result.changes());
            assertTrue(result.rules().drains() > 0, "no worker drained");
            assertTrue(result.hollow().requests().served() > 0 && result.rules().sends() > 0, result.json());
            result.real().forEach(real -> assertTrue(real.requests().asked() > 0, real.toString()));
        }
    }
}

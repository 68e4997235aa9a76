package badgermux.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import badgermux.decide.DispatchPolicy;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests the parser of backends' load reports. */
class LoadReportParserTest {
    private static DispatchPolicy.LoadReport parse(String text) {
        return LoadReportParser.parse(text == null ? null : text.getBytes(StandardCharsets.UTF_8));
    }

    @Test void parsesTextAndJsonReports() {
        assertEquals(2.5, parse("TEXT x0=2.5, x1=1, latency_ms=3").freeSlots);
        assertEquals(7, parse("TEXT inflight=7, queue=2, util=0.61").inFlight);
        assertEquals(2, parse("{\"queue\":2,\"util\":0.5}").queued);
        assertEquals(3_000, parse("TEXT x0=2.5, latency_ms=3").recentRunMicros);
        assertEquals(Double.NaN, parse("TEXT x0=2.5, recent_ms=Infinity").recentRunMicros);
        assertEquals(Double.NaN, parse("{\"queue\":2}").freeSlots);
    }

    @Test void malformedReportsAreIgnored() {
        for (String text : new String[] {null, "", "OK", "TEXT x0=", "{\"x0\":", "{\"y\":1}"}) {
            assertNull(parse(text), text);
        }
    }
}

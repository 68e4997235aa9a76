package badgermux.upgrade;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import badgermux.decide.DispatchPolicy.LearnedState;
import badgermux.decide.DispatchPolicy.SentWork;
import com.google.gson.JsonParseException;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HandoverReadinessTest {
    private static final long START_MICROS = 1_000_000;

    @Test void readyOnceThePreviousProcessHasNoOpenRequests() {
        HandoverReadiness readiness = new HandoverReadiness();
        assertNull(readiness.blockedReason(START_MICROS));
        readiness.previousConnected(START_MICROS);
        readiness.previousReportsOpen(0);
        assertNotNull(readiness.blockedReason(START_MICROS + 10), "told before it has handed over: jobs may still come to it");
        readiness.servingStarted();
        assertNotNull(readiness.blockedReason(START_MICROS + 10));
        readiness.previousReportsOpen(0);
        assertNotNull(readiness.blockedReason(START_MICROS + 10), "told before it knew that this one serves");
        readiness.previousHandedOver();
        readiness.previousReportsOpen(2);
        assertNotNull(readiness.blockedReason(START_MICROS + 20));
        readiness.previousReportsOpen(0);
        assertNull(readiness.blockedReason(START_MICROS + 30));
    }

    @Test void waitForThePreviousProcessIsBounded() {
        HandoverReadiness readiness = new HandoverReadiness();
        readiness.previousConnected(START_MICROS);
        assertNotNull(readiness.blockedReason(START_MICROS + HandoverReadiness.MAX_WAIT_MICROS), "who does not serve is not ready");
        readiness.servingStarted();
        readiness.previousReportsOpen(5);
        assertNotNull(readiness.blockedReason(START_MICROS + HandoverReadiness.MAX_WAIT_MICROS - 1));
        assertNull(readiness.blockedReason(START_MICROS + HandoverReadiness.MAX_WAIT_MICROS));
    }

    @Test void readyWhenThePreviousProcessEnds() {
        HandoverReadiness readiness = new HandoverReadiness();
        readiness.previousConnected(START_MICROS);
        readiness.servingStarted();
        readiness.previousReportsOpen(5);
        readiness.previousDisconnected();
        assertNull(readiness.blockedReason(START_MICROS));
    }

    @Test void learnedStateSurvivesEncoding() {
        LearnedState left = new LearnedState(new double[] {1.5, 0, Double.NaN, -2e9}, List.of(new SentWork(-7, 1L << 60, 0.25)));
        LearnedState came = LearnedStateCodec.decode(LearnedStateCodec.encode(left, "f"), "f");
        assertArrayEquals(new double[] {1.5, 0, 0, -2e9}, came.statistics());
        assertEquals(left.recentSends(), came.recentSends());
        assertThrows(JsonParseException.class, () -> LearnedStateCodec.decode(LearnedStateCodec.encode(left, "f"), "g"), "other settings");
    }

    @Test void handoverStateSurvivesEncoding() {
        HandoverState held = new HandoverState("{\"revision\":7}", Map.of("s-1", 5L), Map.of("s-2", new long[] {1, 2}));
        HandoverState came = HandoverState.decode(held.encode());
        assertEquals(held.backendList(), came.backendList());
        assertEquals(held.cordoned(), came.cordoned());
        assertArrayEquals(new long[] {1, 2}, came.returned().get("s-2"));
        assertThrows(JsonParseException.class, () -> HandoverState.decode("{\"list\":{},\"out\":{},\"back\":{\"s\":[1]}}"));
    }

    @ParameterizedTest @ValueSource(strings = {"", "[]", "{}", "{\"learnt\":[1],\"pushes\":[[1]]}", "{\"learnt\":[\"x\"],\"pushes\":[]}"})
    void rejectsMalformedLearnedState(String line) {
        assertThrows(JsonParseException.class, () -> LearnedStateCodec.decode(line, "f"));
    }
}

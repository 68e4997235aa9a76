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
        assertNotNull(readiness.blockedReason(START_MICROS + 10),
            "reported before the handover, so it may still accept requests");
        readiness.servingStarted();
        assertNotNull(readiness.blockedReason(START_MICROS + 10));
        readiness.previousReportsOpen(0);
        assertNotNull(readiness.blockedReason(START_MICROS + 10), "reported before it knew that this process serves");
        readiness.previousHandedOver();
        readiness.previousReportsOpen(2);
        assertNotNull(readiness.blockedReason(START_MICROS + 20));
        readiness.previousReportsOpen(0);
        assertNull(readiness.blockedReason(START_MICROS + 30));
    }

    @Test void waitForThePreviousProcessIsBounded() {
        HandoverReadiness readiness = new HandoverReadiness();
        readiness.previousConnected(START_MICROS);
        assertNotNull(readiness.blockedReason(START_MICROS + HandoverReadiness.MAX_WAIT_MICROS),
            "a process that does not serve is not ready");
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
        LearnedState state = new LearnedState(new double[] {1.5, 0, Double.NaN, -2e9}, List.of(new SentWork(-7, 1L << 60, 0.25)));
        LearnedState decoded = LearnedStateCodec.decode(LearnedStateCodec.encode(state, "f"), "f");
        assertArrayEquals(new double[] {1.5, 0, 0, -2e9}, decoded.statistics());
        assertEquals(state.recentSends(), decoded.recentSends());
        assertThrows(JsonParseException.class, () -> LearnedStateCodec.decode(LearnedStateCodec.encode(state, "f"), "g"),
            "other settings");
    }

    @Test void handoverStateSurvivesEncoding() {
        HandoverState state = new HandoverState("{\"revision\":7}", Map.of("s-1", 5L), Map.of("s-2", new long[] {1, 2}));
        HandoverState decoded = HandoverState.decode(state.encode());
        assertEquals(state.backendList(), decoded.backendList());
        assertEquals(state.cordoned(), decoded.cordoned());
        assertArrayEquals(new long[] {1, 2}, decoded.returned().get("s-2"));
        assertThrows(JsonParseException.class, () -> HandoverState.decode("{\"list\":{},\"out\":{},\"back\":{\"s\":[1]}}"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "[]", "{}", "{\"learnt\":[1],\"pushes\":[[1]]}", "{\"learnt\":[\"x\"],\"pushes\":[]}"})
    void rejectsMalformedLearnedState(String line) {
        assertThrows(JsonParseException.class, () -> LearnedStateCodec.decode(line, "f"));
    }
}

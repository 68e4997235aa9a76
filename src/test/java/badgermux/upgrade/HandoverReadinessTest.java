package badgermux.upgrade;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import badgermux.decide.Dispatch.Heritage;
import badgermux.decide.Dispatch.Push;
import com.google.gson.JsonParseException;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HandoverReadinessTest {
    private static final long START = 1_000_000;

    @Test void aloneItIsReadyAndWithOneBeforeItOnceThatHasNoJobs() {
        HandoverReadiness readiness = new HandoverReadiness();
        assertNull(readiness.notYet(START));
        readiness.linked(START);
        readiness.open(0);
        assertNotNull(readiness.notYet(START + 10), "told before it has handed over: jobs may still come to it");
        readiness.serving();
        assertNotNull(readiness.notYet(START + 10));
        readiness.open(0);
        assertNotNull(readiness.notYet(START + 10), "told before it knew that this one serves");
        readiness.handedOver();
        readiness.open(2);
        assertNotNull(readiness.notYet(START + 20));
        readiness.open(0);
        assertNull(readiness.notYet(START + 30));
    }

    @Test void theOneBeforeIsNotWaitedForForEver() {
        HandoverReadiness readiness = new HandoverReadiness();
        readiness.linked(START);
        assertNotNull(readiness.notYet(START + HandoverReadiness.YES_BY), "who does not serve is not ready");
        readiness.serving();
        readiness.open(5);
        assertNotNull(readiness.notYet(START + HandoverReadiness.YES_BY - 1));
        assertNull(readiness.notYet(START + HandoverReadiness.YES_BY));
    }

    @Test void itsEndMakesReady() {
        HandoverReadiness readiness = new HandoverReadiness();
        readiness.linked(START);
        readiness.serving();
        readiness.open(5);
        readiness.lost();
        assertNull(readiness.notYet(START));
    }

    @Test void aHeritageComesAsItWent() {
        Heritage left = new Heritage(new double[] {1.5, 0, Double.NaN, -2e9}, List.of(new Push(-7, 1L << 60, 0.25)));
        Heritage came = LearnedStateCodec.decode(LearnedStateCodec.encode(left, "f"), "f");
        assertArrayEquals(new double[] {1.5, 0, 0, -2e9}, came.learnt());
        assertEquals(left.pushes(), came.pushes());
        assertThrows(JsonParseException.class, () -> LearnedStateCodec.decode(LearnedStateCodec.encode(left, "f"), "g"), "other settings");
    }

    @Test void whatAProcessHoldsComesAsItWent() {
        HandoverState held = new HandoverState("{\"revision\":7}", Map.of("s-1", 5L), Map.of("s-2", new long[] {1, 2}));
        HandoverState came = HandoverState.decode(held.encode());
        assertEquals(held.list(), came.list());
        assertEquals(held.out(), came.out());
        assertArrayEquals(new long[] {1, 2}, came.back().get("s-2"));
        assertThrows(JsonParseException.class, () -> HandoverState.decode("{\"list\":{},\"out\":{},\"back\":{\"s\":[1]}}"));
    }

    @ParameterizedTest @ValueSource(strings = {"", "[]", "{}", "{\"learnt\":[1],\"pushes\":[[1]]}", "{\"learnt\":[\"x\"],\"pushes\":[]}"})
    void whatIsNoneIsToldSo(String line) {
        assertThrows(JsonParseException.class, () -> LearnedStateCodec.decode(line, "f"));
    }
}

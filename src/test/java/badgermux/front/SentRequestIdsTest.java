package badgermux.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which ids of requests are kept. */
class SentRequestIdsTest {
    private final SentRequestIds ids = new SentRequestIds();

    @Test void idsAreKeptAsTheyCame() {
        List<String> added = List.of("ffffffffffffffff", "0000000000000000", "8000000000000001");
        added.forEach(ids::add);
        assertEquals(added, ids.all());
        added.forEach(id -> assertTrue(ids.contains(id)));
        assertFalse(ids.contains("0000000000000001"));
    }

    /** Guards against clients that send ever new ids: the memory for them would grow without end. */
    @Test void oldestIdIsForgottenBeyondTheBound() {
        for (int i = 0; i <= SentRequestIds.MAX_IDS; i++) {
            ids.add(String.format("%016x", i));
        }
        assertEquals(SentRequestIds.MAX_IDS, ids.all().size());
        assertFalse(ids.contains("0000000000000000"));
        assertTrue(ids.contains("0000000000000001"));
    }
}

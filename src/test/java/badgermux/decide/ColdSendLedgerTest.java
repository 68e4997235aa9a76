package badgermux.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;

import badgermux.decide.DispatchPolicy.SentWork;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Sums of sent work, which sends they leave out, and the share of the allowance that was used. */
class ColdSendLedgerTest {
    private static final long BACKEND = 7;
    private static final long OTHER_BACKEND = 8;
    private static final double MEAN_WORK = 10;

    private final ColdSendLedger ledger = new ColdSendLedger();

    @Test void sumsLaterWorkOfOneBackend() {
        ledger.record(new SentWork(BACKEND, 100, 3), false);
        ledger.record(new SentWork(BACKEND, 200, 5), true);
        ledger.record(new SentWork(OTHER_BACKEND, 200, 40), true);
        assertEquals(8, ledger.slotMicrosSince(BACKEND, 99, MEAN_WORK));
        assertEquals(5, ledger.slotMicrosSince(BACKEND, 100, MEAN_WORK), "a send at the given time does not count");
        assertEquals(0, ledger.slotMicrosSince(BACKEND, 200, MEAN_WORK));
        assertEquals(0, ledger.slotMicrosSince(9, 0, MEAN_WORK), "nothing was sent to it");
    }

    @Test void sendOfUnknownWorkCountsTheGivenAmount() {
        ledger.record(new SentWork(BACKEND, 100, 0), true);
        assertEquals(MEAN_WORK, ledger.slotMicrosSince(BACKEND, 0, MEAN_WORK));
    }

    @Test void expireDropsOldSendsOnly() {
        ledger.record(new SentWork(BACKEND, 100, 3), true);
        ledger.record(new SentWork(OTHER_BACKEND, 101, 5), false);
        ledger.expire(100, 0, 0);
        assertEquals(List.of(new SentWork(OTHER_BACKEND, 101, 5)), ledger.sendsSince(0));
        assertEquals(List.of(), ledger.sendsSince(101));
    }

    @Test void usedShareRelatesToTheAllowanceAndDecaysWithIt() {
        assertEquals(1, ledger.usedShare(MEAN_WORK), "nothing was allowed yet");
        ledger.record(new SentWork(BACKEND, 100, 20), true);
        ledger.record(new SentWork(BACKEND, 100, 500), false);
        ledger.expire(0, 100, 0.5);
        assertEquals((10 + MEAN_WORK) / (50 + MEAN_WORK), ledger.usedShare(MEAN_WORK), 1e-9,
            "half of both is left; sends to warm backends do not count");
        ledger.record(new SentWork(BACKEND, 100, 400), true);
        assertEquals(1, ledger.usedShare(MEAN_WORK), "never more than 1");
    }
}

package badgermux.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.decide.DispatchPolicy.BackendState;
import badgermux.decide.DispatchPolicy.ListUpdate;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The list that a process starts with may name backends that have left; it must not be used before discovery answers. */
class InitialListCheckTest {
    private static final long START = 10 * PolicyFixture.SECOND;

    private final List<String> logLines = new ArrayList<>();
    private final InitialListCheck check = new InitialListCheck(logLines::add);

    @Test void isUsableOnceDiscoveryHasAnswered() {
        check.cachedListReceived(START);
        assertFalse(check.isUsable(START));
        check.listReceived();
        assertTrue(check.isUsable(START));
        assertEquals(List.of(), logLines);
    }

    @Test void isUsableAfterTwoPromptFailuresInARow() {
        check.cachedListReceived(START);
        check.callFailed(START + WatchTiming.PROMPT_FAILURE_MICROS);
        assertFalse(check.isUsable(START + PolicyFixture.SECOND), "one failure may be a reset by chance");
        check.callStarted(START + PolicyFixture.SECOND);
        check.callFailed(START + PolicyFixture.SECOND + 1);
        assertTrue(check.isUsable(START + PolicyFixture.SECOND + 1));
        assertEquals(1, logLines.size());
    }

    /** Calls that wait at a busy discovery service and fail then do not show that it is down. */
    @Test void isNotUsableAfterSlowFailuresBeforeTheTimeout() {
        check.cachedListReceived(START);
        long now = START;
        for (int i = 0; i < 3; i++) {
            check.callStarted(now);
            now += PolicyFixture.SECOND;
            check.callFailed(now);
            assertFalse(check.isUsable(now));
        }
        assertFalse(check.isUsable(START + WatchTiming.INITIAL_LIST_TIMEOUT_MICROS - 1));
        assertTrue(check.isUsable(START + WatchTiming.INITIAL_LIST_TIMEOUT_MICROS));
    }

    private static PolicyFixture startHolding() {
        PolicyFixture fixture = new PolicyFixture();
        fixture.settings.holdsUntilListConfirmed = true;
        return fixture.start(PolicyFixture.fleet(2));
    }

    @Test void policyHoldsRequestsUntilTheListIsConfirmed() {
        PolicyFixture fixture = startHolding();
        fixture.request(PolicyFixture.RENDER);
        fixture.advance(PolicyFixture.SECOND / 5);
        assertEquals(List.of(), fixture.actions.sends);
        assertFalse(fixture.policy.hasUsableList(fixture.actions.now));
        fixture.listBackends(ListUpdate.DELTA, PolicyFixture.backend(1, BackendState.GONE, 0));
        assertEquals(List.of(2L), fixture.actions.sends.stream().map(RecordingActions.Send::backendId).toList());
        assertTrue(fixture.policy.hasUsableList(fixture.actions.now));
    }

    @Test void policySendsOnTheInitialListOnceTheTimeoutIsOver() {
        PolicyFixture fixture = startHolding();
        fixture.advance(WatchTiming.INITIAL_LIST_TIMEOUT_MICROS - PolicyFixture.SECOND / 5);
        fixture.request(PolicyFixture.RENDER);
        assertEquals(List.of(), fixture.actions.sends);
        fixture.advance(2 * PolicyFixture.SECOND / 5);
        assertEquals(1, fixture.actions.sends.size());
    }

    /** Where nothing keeps clients away and nobody confirms the list, as in the simulator, it is used at once. */
    @Test void policyUsesTheInitialListAtOnceUnlessItIsToHold() {
        PolicyFixture fixture = new PolicyFixture().start(PolicyFixture.fleet(2));
        fixture.request(PolicyFixture.RENDER);
        assertEquals(1, fixture.actions.sends.size());
    }
}

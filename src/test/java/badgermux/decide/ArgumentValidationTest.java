package badgermux.decide;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.decide.DispatchPolicy.Backend;
import badgermux.decide.DispatchPolicy.BackendState;
import badgermux.decide.DispatchPolicy.DedupScope;
import badgermux.decide.DispatchPolicy.Effect;
import badgermux.decide.DispatchPolicy.Request;
import badgermux.decide.DispatchPolicy.RequestClass;
import badgermux.decide.DispatchPolicy.Settings;
import badgermux.decide.DispatchPolicy.Tenant;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Invalid arguments and settings are refused with a message that names them. */
class ArgumentValidationTest {
    private static void assertNamedInMessage(String name, Executable call) {
        Exception thrown = assertThrows(RuntimeException.class, call);
        assertTrue(thrown.getMessage().contains(name), thrown::getMessage);
    }

    private static Arguments setting(String name, Consumer<Settings> makeInvalid) {
        return Arguments.of(name, makeInvalid);
    }

    static Stream<Arguments> invalidSettings() {
        return Stream.of(
            setting("dispatcherCount", s -> s.dispatcherCount = 0),
            setting("kindCount", s -> s.kindCount = 0),
            setting("dispatcherIndex", s -> s.dispatcherIndex = -1),
            setting("dispatcherIndex", s -> s.dispatcherIndex = 1),
            setting("ownZone", s -> s.ownZone = -1),
            setting("reportMode", s -> s.reportMode = null),
            setting("classes", s -> s.classes = null),
            setting("tenants", s -> s.tenants = null),
            setting("maxAttempts", s -> s.maxAttempts = 0),
            setting("timerGranularityMicros", s -> s.timerGranularityMicros = 0),
            setting("progressIntervalMicros", s -> s.progressIntervalMicros = -1),
            setting("maxWatchIntervalMicros", s -> s.maxWatchIntervalMicros = 0),
            setting("overQuotaWorthShare", s -> s.overQuotaWorthShare = Double.NaN),
            setting("coldCapacityShare", s -> s.coldCapacityShare = -1),
            setting("warmUpMicros", s -> s.warmUpMicros = -1),
            setting("overloadMultiple", s -> s.overloadMultiple = -1),
            setting("overloadWindowMicros", s -> s.overloadWindowMicros = -1),
            setting("connectCost", s -> s.connectCost = -1),
            setting("maxRetryAfterMicros", s -> s.maxRetryAfterMicros = -1),
            setting("class odd",
                s -> s.classes.add(PolicyFixture.requestClass("odd", Effect.ONCE, DedupScope.ALL, 1))));
    }

    @ParameterizedTest @MethodSource("invalidSettings")
    void messageNamesTheInvalidSetting(String name, Consumer<Settings> makeInvalid) {
        Settings settings = new Settings();
        new DefaultDispatchPolicy(settings, 1, new RecordingActions());
        makeInvalid.accept(settings);
        assertNamedInMessage(name, () -> new DefaultDispatchPolicy(settings, 1, new RecordingActions()));
    }

    @Test void actionsAreRequired() {
        assertNamedInMessage("actions", () -> new DefaultDispatchPolicy(new Settings(), 1, null));
    }

    @Test void messageNamesTheInvalidRecordComponent() {
        assertNamedInMessage("effect", () -> PolicyFixture.requestClass("odd", null, DedupScope.ALL, -1));
        assertNamedInMessage("targetMicros",
            () -> new RequestClass("odd", Effect.ONCE, DedupScope.ALL, -1, 1, 5, 0, 1, 0, -1, false));
        assertNamedInMessage("worth",
            () -> new RequestClass("odd", Effect.ONCE, DedupScope.ALL, 1, 1, 5, 0, -1, 0, -1, false));
        assertNamedInMessage("quotaPerSecond", () -> new Tenant("odd", -1));
        assertNamedInMessage("state", () -> new Backend(1, 0, 0, 0, null, 0));
        assertNamedInMessage("kind", () -> new Backend(1, 0, -1, 0, BackendState.READY, 0));
        assertNamedInMessage("classIndex", () -> new Request(1, -1, 0, 1, 0, 5));
        assertNamedInMessage("slots", () -> new Request(1, 0, 0, -1, 0, 5));
        assertNamedInMessage("remainingMicros", () -> new Request(1, 0, 0, 1, 0, -5));
    }

    @Test void messageNamesTheClassOfARequestThatIsNotSet() {
        PolicyFixture fixture = new PolicyFixture().start(PolicyFixture.fleet(1));
        assertNamedInMessage("classIndex 7 of 3", () -> fixture.request(7));
        assertNamedInMessage("request", () -> fixture.policy.requestReceived(fixture.actions.now, null));
    }
}

package badgermux.decide;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.decide.DispatchPolicy.Effect;
import badgermux.decide.DispatchPolicy.Request;
import badgermux.decide.DispatchPolicy.RequestClass;
import badgermux.decide.DispatchPolicy.DedupScope;
import badgermux.decide.DispatchPolicy.Settings;
import badgermux.decide.DispatchPolicy.Tenant;
import badgermux.decide.DispatchPolicy.Backend;
import badgermux.decide.DispatchPolicy.BackendState;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Arguments and settings that make no sense are refused, by name. */
class ArgumentValidationTest {
    private static void assertNamedInMessage(String name, Executable call) {
        Exception told = assertThrows(RuntimeException.class, call);
        assertTrue(told.getMessage().contains(name), told::getMessage);
    }

    private static Arguments setting(String name, Consumer<Settings> wrong) {
        return Arguments.of(name, wrong);
    }

    static Stream<Arguments> wrongSettings() {
        return Stream.of(setting("dispatchers", s -> s.dispatcherCount = 0), setting("kinds", s -> s.kindCount = 0),
            setting("index", s -> s.dispatcherIndex = -1), setting("index", s -> s.dispatcherIndex = 1), setting("zone", s -> s.ownZone = -1),
            setting("reports", s -> s.reportMode = null),
            setting("classes", s -> s.classes = null), setting("tenants", s -> s.tenants = null),
            setting("maxAttempts", s -> s.maxAttempts = 0), setting("tick", s -> s.timerGranularityMicros = 0),
            setting("progressEvery", s -> s.progressIntervalMicros = -1), setting("askEvery", s -> s.maxWatchIntervalMicros = 0),
            setting("overShareWorth", s -> s.overQuotaWorthShare = Double.NaN), setting("coldShare", s -> s.coldCapacityShare = -1),
            setting("coldFor", s -> s.warmUpMicros = -1), setting("fallMultiple", s -> s.overloadMultiple = -1),
            setting("fallWindow", s -> s.overloadWindowMicros = -1),
            setting("connectPrice", s -> s.connectCost = -1), setting("longestComeBack", s -> s.maxRetryAfterMicros = -1),
            setting("class odd", s -> s.classes.add(PolicyFixture.requestClass("odd", Effect.ONCE, DedupScope.ALL, 1))));
    }

    @ParameterizedTest @MethodSource("wrongSettings")
    void aSettingThatMakesNoSenseIsNamed(String name, Consumer<Settings> wrong) {
        Settings settings = new Settings();
        new DefaultDispatchPolicy(settings, 1, new RecordingActions());
        wrong.accept(settings);
        assertNamedInMessage(name, () -> new DefaultDispatchPolicy(settings, 1, new RecordingActions()));
    }

    @Test void actionsAreNeeded() {
        assertNamedInMessage("actions", () -> new DefaultDispatchPolicy(new Settings(), 1, null));
    }

    @Test void partsThatMakeNoSenseAreNamed() {
        assertNamedInMessage("effect", () -> PolicyFixture.requestClass("odd", null, DedupScope.ALL, -1));
        assertNamedInMessage("aim", () -> new RequestClass("odd", Effect.ONCE, DedupScope.ALL, -1, 1, 5, 0, 1, 0, -1, false));
        assertNamedInMessage("worth", () -> new RequestClass("odd", Effect.ONCE, DedupScope.ALL, 1, 1, 5, 0, -1, 0, -1, false));
        assertNamedInMessage("quotaPerSecond", () -> new Tenant("odd", -1));
        assertNamedInMessage("state", () -> new Backend(1, 0, 0, 0, null, 0));
        assertNamedInMessage("kind", () -> new Backend(1, 0, -1, 0, BackendState.READY, 0));
        assertNamedInMessage("jobClass", () -> new Request(1, -1, 0, 1, 0, 5));
        assertNamedInMessage("slots", () -> new Request(1, 0, 0, -1, 0, 5));
        assertNamedInMessage("left", () -> new Request(1, 0, 0, 1, 0, -5));
    }

    @Test void aJobOfAClassThatIsNotSetIsNamed() {
        PolicyFixture rig = new PolicyFixture().start(PolicyFixture.fleet(1));
        assertNamedInMessage("jobClass 7 of 3", () -> rig.request(7));
        assertNamedInMessage("job", () -> rig.policy.requestReceived(rig.actions.now, null));
    }
}

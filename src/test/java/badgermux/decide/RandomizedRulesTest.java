package badgermux.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.decide.DispatchPolicy.Backend;
import badgermux.decide.DispatchPolicy.BackendState;
import badgermux.decide.DispatchPolicy.DedupScope;
import badgermux.decide.DispatchPolicy.Effect;
import badgermux.decide.DispatchPolicy.ListUpdate;
import badgermux.decide.DispatchPolicy.Outcome;
import badgermux.decide.DispatchPolicy.RequestClass;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the four rules against long random sequences of events, drawn from fixed seeds. */
class RandomizedRulesTest {
    private static final int STEPS = 4_000;
    private static final long MS = PolicyFixture.MS;

    /** An attempt as the actions and events show it. */
    private static final class SentAttempt {
        final long request;
        final long backend;
        final long sentAt;
        final int number;
        Outcome outcome;

        SentAttempt(long request, long backend, long sentAt, int number) {
            this.request = request;
            this.backend = backend;
            this.sentAt = sentAt;
            this.number = number;
        }
    }

    private final PolicyFixture fixture = new PolicyFixture();
    private final Map<Long, Backend> listed = new HashMap<>();
    private final Map<Long, DispatchPolicy.Request> requests = new HashMap<>();
    private final Map<Long, Long> arrivedAt = new HashMap<>();
    /** How each finished request ended. */
    private final Map<Long, String> finalAnswers = new HashMap<>();
    private final Map<Long, List<SentAttempt>> attempts = new HashMap<>();
    private int checkedActions;
    /** Time of the action that is being checked. */
    private long now;

    @ParameterizedTest @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void rulesHold(long seed) {
        Random random = new Random(seed);
        fixture.settings.mayHedge = seed % 2 == 0;
        fixture.settings.mayCancel = seed % 3 != 0;
        fixture.settings.backendsReportStart = seed % 4 != 1;
        fixture.settings.mayProbe = seed % 3 == 1;
        fixture.settings.reportMode = fixture.settings.mayProbe ? DispatchPolicy.ReportMode.ON_PROBE
            : DispatchPolicy.ReportMode.IN_RESPONSES;
        fixture.settings.rejectedMayHaveRun = seed % 5 == 0;
        fixture.settings.maxRetryAfterMicros = seed % 2 * PolicyFixture.SECOND;
        fixture.settings.classes.add(new RequestClass("bound", Effect.BY_KEY, DedupScope.CELL, 300 * MS, 1.5,
            5 * PolicyFixture.SECOND, 3 * PolicyFixture.SECOND, 1, 0, seed % 2 == 0 ? null : Set.of(1), Set.of(1), false));
        for (DedupScope scope : DedupScope.values()) {
            fixture.settings.classes.add(PolicyFixture.requestClass("key-" + scope, Effect.BY_KEY, scope,
                scope == DedupScope.ALL ? 1 : -1));
        }
        fixture.start();
        for (int i = 0; i < STEPS; i++) {
            runRandomEvent(random);
            checkNewActions();
        }
        fixture.advance(10 * PolicyFixture.SECOND);
        checkNewActions();
        // Rule 1: all deadlines are past. Only a request whose attempt has not ended may lack a final answer.
        for (long request : requests.keySet()) {
            boolean outstanding =
                attempts.getOrDefault(request, List.of()).stream().anyMatch(attempt -> attempt.outcome == null);
            assertTrue(outstanding || finalAnswers.containsKey(request), "request " + request + " has no final answer");
        }
        assertTrue(finalAnswers.size() > 200 && attempts.size() > 200,
            "finished " + finalAnswers.size() + ", sent " + attempts.size());
    }

    private void runRandomEvent(Random random) {
        switch (random.nextInt(12)) {
            case 0 -> changeBackendList(random);
            case 1, 2, 3 -> {
                int classIndex = random.nextInt(fixture.settings.classes.size());
                long remaining = random.nextInt(4) == 0 ? (1 + random.nextInt(5_000)) * MS : 5 * PolicyFixture.SECOND;
                DispatchPolicy.Request request = new DispatchPolicy.Request(fixture.nextRequestId(), classIndex, 0,
                    1 + random.nextInt(2), 0, remaining);
                requests.put(request.id(), request);
                arrivedAt.put(request.id(), fixture.actions.now);
                fixture.request(request);
            }
            case 4, 5, 6, 7 -> endRandomAttempt(random);
            case 8 -> anyOutstanding(random).ifPresent(attempt ->
                fixture.policy.attemptStarted(fixture.actions.now, attempt.request, attempt.number));
            case 9 -> fixture.policy.probeEnded(fixture.actions.now, random.nextInt(14), random.nextBoolean(),
                PolicyFixture.reportOfFreeSlots(random.nextInt(9)));
            case 10 -> {
                long request = random.nextLong(fixture.nextRequestId());
                if (requests.containsKey(request) && random.nextInt(8) == 0) {
                    finalAnswers.putIfAbsent(request, "disconnected");
                    fixture.policy.clientDisconnected(fixture.actions.now, request);
                }
            }
            default -> fixture.advance(random.nextInt(300) * MS);
        }
    }

    private void changeBackendList(Random random) {
        if (random.nextInt(4) == 0) {
            fixture.listBackends(ListUpdate.FAILED);
            return;
        }
        long id = 1 + random.nextInt(12);
        BackendState state = BackendState.values()[Math.min(2, random.nextInt(6) % 4)];
        state = random.nextInt(3) > 0 ? BackendState.READY : state;
        Backend backend = new Backend(id, (int) (id - 1) / 4, (int) id % 2, (int) (id - 1) / 2, state,
            random.nextInt(4) == 0 ? Math.max(0, fixture.actions.now - random.nextInt(9_000) * MS) : 0);
        listed.put(id, backend);
        if (random.nextInt(5) == 0) {
            listed.keySet().removeIf(other -> other % 5 == id % 5 && other != id);
            fixture.listBackends(ListUpdate.FULL, listed.values().toArray(Backend[]::new));
        } else {
            fixture.listBackends(ListUpdate.DELTA, backend);
        }
    }

    private Optional<SentAttempt> anyOutstanding(Random random) {
        List<SentAttempt> outstanding = attempts.values().stream().flatMap(List::stream)
            .filter(attempt -> attempt.outcome == null)
            .sorted((a, b) -> a.request != b.request ? Long.compare(a.request, b.request) : a.number - b.number).toList();
        return outstanding.isEmpty() ? Optional.empty()
            : Optional.of(outstanding.get(random.nextInt(outstanding.size())));
    }

    private void endRandomAttempt(Random random) {
        anyOutstanding(random).ifPresent(attempt -> {
            attempt.outcome = Outcome.values()[random.nextInt(Outcome.values().length)];
            boolean settled = attempt.outcome == Outcome.SERVED || finalAnswers.containsKey(attempt.request);
            if (attempt.outcome == Outcome.SERVED) {
                finalAnswers.putIfAbsent(attempt.request, "served");
            }
            int before = fixture.actions.closedIdle.size();
            fixture.policy.attemptEnded(fixture.actions.now, attempt.request, attempt.number, attempt.backend,
                attempt.outcome, settled,
                random.nextBoolean() ? PolicyFixture.reportOfFreeSlots(random.nextInt(9)) : null);
            Backend backend = listed.get(attempt.backend);
            assertTrue(backend == null || backend.state() == BackendState.READY
                || fixture.actions.closedIdle.size() > before,
                "a connection to backend " + attempt.backend + " is kept");
        });
    }

    /** Checks each action since the previous call. */
    private void checkNewActions() {
        for (; checkedActions < fixture.actions.descriptions.size(); checkedActions++) {
            now = fixture.actions.times.get(checkedActions);
            String[] words = fixture.actions.descriptions.get(checkedActions).split(" ");
            if (words[0].equals("refuse") || words[0].equals("fail")) {
                checkFinalAnswer(Long.parseLong(words[1]), words[0]);
            } else if (words[0].equals("send")) {
                checkSend(Long.parseLong(words[1]), Long.parseLong(words[2]));
            }
        }
    }

    private void checkFinalAnswer(long request, String answer) {
        assertEquals(null, finalAnswers.put(request, answer), "request " + request + " answered twice");
        assertTrue(attempts.containsKey(request)
            || now <= arrivedAt.get(request) + requests.get(request).remainingMicros(),
            "request " + request + " held too long");
        RequestClass type = fixture.settings.classes.get(requests.get(request).classIndex());
        boolean harmless = type.effect() == Effect.REPEATABLE
            || type.effect() == Effect.BY_KEY && type.dedupScope() == DedupScope.ALL;
        boolean ran = attempts.getOrDefault(request, List.of()).stream().anyMatch(this::mayHaveRun);
        assertFalse(answer.equals("refuse") && ran && !harmless, "request " + request + " may have run and was refused");
    }

    private void checkSend(long request, long backendId) {
        List<SentAttempt> earlier = attempts.computeIfAbsent(request, id -> new ArrayList<>());
        RequestClass type = fixture.settings.classes.get(requests.get(request).classIndex());
        Backend backend = listed.get(backendId);
        assertFalse(finalAnswers.containsKey(request), "request " + request + " sent after its final answer");
        assertTrue(backend != null && backend.state() == BackendState.READY, "backend " + backendId + " is not ready");
        assertTrue(type.allowedKinds() == null || type.allowedKinds().contains(backend.kind()),
            "request " + request + " needs another kind");
        assertTrue(type.allowedZones() == null || type.allowedZones().contains(backend.zone()),
            "request " + request + " needs another zone");
        assertTrue(earlier.size() < fixture.settings.maxAttempts, "request " + request + " has too many attempts");
        boolean outstanding = earlier.stream().anyMatch(attempt -> attempt.outcome == null);
        assertFalse(outstanding && !fixture.settings.mayHedge, "request " + request + " has two outstanding attempts");
        for (SentAttempt attempt : earlier) {
            if (!mayHaveRun(attempt) || type.effect() == Effect.REPEATABLE) {
                continue;
            }
            assertEquals(Effect.BY_KEY, type.effect(), "a request that must run once was sent again");
            assertTrue(now - attempt.sentAt < type.dedupWindowMicros(), "request " + request + " was sent after its window");
            long size = type.dedupScope() == DedupScope.CELL ? 2 : type.dedupScope() == DedupScope.ZONE ? 4 : 16;
            assertEquals((attempt.backend - 1) / size, (backendId - 1) / size, "request " + request + " left its scope");
        }
        earlier.add(new SentAttempt(request, backendId, now, earlier.size()));
    }

    private boolean mayHaveRun(SentAttempt attempt) {
        return attempt.outcome == null || !attempt.outcome.neverRan()
            || fixture.settings.rejectedMayHaveRun && attempt.outcome == Outcome.REJECTED;
    }
}

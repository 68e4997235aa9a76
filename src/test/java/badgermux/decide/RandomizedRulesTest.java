package badgermux.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.decide.DispatchPolicy.Effect;
import badgermux.decide.DispatchPolicy.RequestClass;
import badgermux.decide.DispatchPolicy.ListUpdate;
import badgermux.decide.DispatchPolicy.Outcome;
import badgermux.decide.DispatchPolicy.DedupScope;
import badgermux.decide.DispatchPolicy.Backend;
import badgermux.decide.DispatchPolicy.BackendState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Long odd sequences of events, drawn from fixed seeds, against the invariants of the four rules. */
class RandomizedRulesTest {
    private static final int STEPS = 4_000;
    private static final long MS = PolicyFixture.MS;

    /** One attempt as the outside knows it. */
    private static final class Sent {
        final long job, worker, at;
        final int number;
        Outcome outcome;

        Sent(long job, long worker, long at, int number) {
            this.job = job;
            this.worker = worker;
            this.at = at;
            this.number = number;
        }
    }

    private final PolicyFixture rig = new PolicyFixture();
    private final Map<Long, Backend> listed = new HashMap<>();
    private final Map<Long, DispatchPolicy.Request> requests = new HashMap<>();
    private final Map<Long, Long> arrivedAt = new HashMap<>();
    private final Map<Long, String> finalAnswers = new HashMap<>();
    private final Map<Long, List<Sent>> sent = new HashMap<>();
    private int checkedActions;
    private long now;

    @ParameterizedTest @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void rulesHold(long seed) {
        Random random = new Random(seed);
        rig.settings.mayHedge = seed % 2 == 0;
        rig.settings.mayCancel = seed % 3 != 0;
        rig.settings.backendsReportStart = seed % 4 != 1;
        rig.settings.mayProbe = seed % 3 == 1;
        rig.settings.reportMode = rig.settings.mayProbe ? DispatchPolicy.ReportMode.ON_PROBE : DispatchPolicy.ReportMode.IN_RESPONSES;
        rig.settings.rejectedMayHaveRun = seed % 5 == 0;
        rig.settings.maxRetryAfterMicros = seed % 2 * PolicyFixture.SECOND;
        rig.settings.classes.add(new RequestClass("bound", Effect.BY_KEY, DedupScope.CELL, 300 * MS, 1.5, 5 * PolicyFixture.SECOND,
            3 * PolicyFixture.SECOND, 1, 0, seed % 2 == 0 ? null : Set.of(1), Set.of(1), false));
        for (DedupScope scope : DedupScope.values()) {
            rig.settings.classes.add(PolicyFixture.requestClass("key-" + scope, Effect.BY_KEY, scope, scope == DedupScope.ALL ? 1 : -1));
        }
        rig.start();
        for (int i = 0; i < STEPS; i++) {
            runRandomEvent(random);
            checkNewActions();
        }
        rig.advance(10 * PolicyFixture.SECOND);
        checkNewActions();
        // Rule 1: whatever is over by its deadline has ended once; what is still out is the outside's to end.
        for (long job : requests.keySet()) {
            boolean out = sent.getOrDefault(job, List.of()).stream().anyMatch(a -> a.outcome == null);
            assertTrue(out || finalAnswers.containsKey(job), "job " + job + " has no final answer");
        }
        assertTrue(finalAnswers.size() > 200 && sent.size() > 200, "ended " + finalAnswers.size() + ", sent " + sent.size());
    }

    private void runRandomEvent(Random random) {
        switch (random.nextInt(12)) {
            case 0 -> changeBackendList(random);
            case 1, 2, 3 -> {
                int of = random.nextInt(rig.settings.classes.size());
                long left = random.nextInt(4) == 0 ? (1 + random.nextInt(5_000)) * MS : 5 * PolicyFixture.SECOND;
                DispatchPolicy.Request job = new DispatchPolicy.Request(rig.nextRequestId(), of, 0, 1 + random.nextInt(2), 0, left);
                requests.put(job.id(), job);
                arrivedAt.put(job.id(), rig.actions.now);
                rig.request(job);
            }
            case 4, 5, 6, 7 -> endRandomAttempt(random);
            case 8 -> anyOutstanding(random).ifPresent(a -> rig.policy.attemptStarted(rig.actions.now, a.job, a.number));
            case 9 -> rig.policy.probeEnded(rig.actions.now, random.nextInt(14), random.nextBoolean(),
                PolicyFixture.reportOfFreeSlots(random.nextInt(9)));
            case 10 -> {
                long job = random.nextLong(rig.nextRequestId());
                if (requests.containsKey(job) && random.nextInt(8) == 0) {
                    finalAnswers.putIfAbsent(job, "gone");
                    rig.policy.clientDisconnected(rig.actions.now, job);
                }
            }
            default -> rig.advance(random.nextInt(300) * MS);
        }
    }

    private void changeBackendList(Random random) {
        if (random.nextInt(4) == 0) {
            rig.listBackends(ListUpdate.FAILED);
            return;
        }
        long id = 1 + random.nextInt(12);
        BackendState state = BackendState.values()[Math.min(2, random.nextInt(6) % 4)];
        state = random.nextInt(3) > 0 ? BackendState.READY : state;
        Backend w = new Backend(id, (int) (id - 1) / 4, (int) id % 2, (int) (id - 1) / 2, state,
            random.nextInt(4) == 0 ? Math.max(0, rig.actions.now - random.nextInt(9_000) * MS) : 0);
        listed.put(id, w);
        if (random.nextInt(5) == 0) {
            listed.keySet().removeIf(other -> other % 5 == id % 5 && other != id);
            rig.listBackends(ListUpdate.FULL, listed.values().toArray(Backend[]::new));
        } else {
            rig.listBackends(ListUpdate.DELTA, w);
        }
    }

    private Optional<Sent> anyOutstanding(Random random) {
        List<Sent> out = sent.values().stream().flatMap(List::stream).filter(a -> a.outcome == null)
            .sorted((a, b) -> a.job != b.job ? Long.compare(a.job, b.job) : a.number - b.number).toList();
        return out.isEmpty() ? Optional.empty()
            : Optional.of(out.get(random.nextInt(out.size())));
    }

    private void endRandomAttempt(Random random) {
        anyOutstanding(random).ifPresent(a -> {
            a.outcome = Outcome.values()[random.nextInt(Outcome.values().length)];
            boolean settled = a.outcome == Outcome.SERVED || finalAnswers.containsKey(a.job);
            if (a.outcome == Outcome.SERVED) {
                finalAnswers.putIfAbsent(a.job, "served");
            }
            int before = rig.actions.closedIdle.size();
            rig.policy.attemptEnded(rig.actions.now, a.job, a.number, a.worker, a.outcome, settled,
                random.nextBoolean() ? PolicyFixture.reportOfFreeSlots(random.nextInt(9)) : null);
            Backend w = listed.get(a.worker);
            assertTrue(w == null || w.state() == BackendState.READY || rig.actions.closedIdle.size() > before,
                "a connection to worker " + a.worker + " is kept");
        });
    }

    /** Judges each action taken since the last look. */
    private void checkNewActions() {
        for (; checkedActions < rig.actions.descriptions.size(); checkedActions++) {
            now = rig.actions.times.get(checkedActions);
            String[] words = rig.actions.descriptions.get(checkedActions).split(" ");
            if (words[0].equals("refuse") || words[0].equals("fail")) {
                checkFinalAnswer(Long.parseLong(words[1]), words[0]);
            } else if (words[0].equals("send")) {
                sent(Long.parseLong(words[1]), Long.parseLong(words[2]));
            }
        }
    }

    private void checkFinalAnswer(long job, String how) {
        assertEquals(null, finalAnswers.put(job, how), "job " + job + " answered twice");
        assertTrue(sent.containsKey(job) || now <= arrivedAt.get(job) + requests.get(job).remainingMicros(), "job " + job + " held too long");
        RequestClass type = rig.settings.classes.get(requests.get(job).classIndex());
        boolean harmless = type.effect() == Effect.REPEATABLE
            || type.effect() == Effect.BY_KEY && type.dedupScope() == DedupScope.ALL;
        boolean ran = sent.getOrDefault(job, List.of()).stream().anyMatch(this::mayHaveRun);
        assertFalse(how.equals("refuse") && ran && !harmless, "job " + job + " may have run and was refused");
    }

    private void sent(long job, long worker) {
        List<Sent> before = sent.computeIfAbsent(job, id -> new ArrayList<>());
        RequestClass type = rig.settings.classes.get(requests.get(job).classIndex());
        Backend w = listed.get(worker);
        assertFalse(finalAnswers.containsKey(job), "job " + job + " sent after its end");
        assertTrue(w != null && w.state() == BackendState.READY, "worker " + worker + " is not ready");
        assertTrue(type.allowedKinds() == null || type.allowedKinds().contains(w.kind()), "job " + job + " needs another kind");
        assertTrue(type.allowedZones() == null || type.allowedZones().contains(w.zone()), "job " + job + " needs another zone");
        assertTrue(before.size() < rig.settings.maxAttempts, "job " + job + " has too many attempts");
        boolean out = before.stream().anyMatch(a -> a.outcome == null);
        assertFalse(out && !rig.settings.mayHedge, "job " + job + " is out twice");
        for (Sent a : before) {
            if (!mayHaveRun(a) || type.effect() == Effect.REPEATABLE) {
                continue;
            }
            assertEquals(Effect.BY_KEY, type.effect(), "a once-only job was sent again");
            assertTrue(now - a.at < type.dedupWindowMicros(), "job " + job + " was sent after its window");
            long size = type.dedupScope() == DedupScope.CELL ? 2 : type.dedupScope() == DedupScope.ZONE ? 4 : 16;
            assertEquals((a.worker - 1) / size, (worker - 1) / size, "job " + job + " left its scope");
        }
        before.add(new Sent(job, worker, now, before.size()));
    }

    private boolean mayHaveRun(Sent a) {
        return a.outcome == null || !a.outcome.neverRan()
            || rig.settings.rejectedMayHaveRun && a.outcome == Outcome.REJECTED;
    }
}

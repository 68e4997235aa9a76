package badgermux.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.decide.DispatchPolicy;
import badgermux.decide.DispatchPolicy.Outcome;
import badgermux.metrics.Metrics;
import badgermux.metrics.Metrics.Count;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The engine between a module that does what each test says, and a front and backends that record. */
class EngineTest {
    private static final long SECOND = 1_000_000;

    private final List<String> policyEvents = new ArrayList<>();
    private final List<String> answers = new ArrayList<>();
    private final List<Long> startedAttempts = new ArrayList<>();
    private final List<Long> abortedAttempts = new ArrayList<>();
    private final List<Long> unwrittenAttempts = new ArrayList<>();
    private final Metrics metrics = new Metrics(List.of("a", "b", "c"));
    private long now = SECOND;
    private final Deadlines deadlines = new Deadlines(() -> now, at -> { }, metrics);
    private final Engine<String> engine = new Engine<>(() -> now, deadlines, metrics, 2);
    private Runnable onRequestReceived = () -> { };
    private Runnable onAttemptEnded = () -> { };
    private long requestId;
    private boolean isDeadlineKnown = true;

    private final ResponseListener listener = new ResponseListener() {
        @Override public void onServed(byte[] result) {
            answers.add("served " + new String(result, java.nio.charset.StandardCharsets.UTF_8));
        }

        @Override public void onRefused(long comeBack) {
            answers.add("synthetic " + comeBack);
        }

        @Override public void onFailed(boolean late) {
            answers.add("failed " + late);
        }
    };

    EngineTest() {
        engine.connect(new RecordingPolicy(), new BackendClient<>() {
            @Override public void startAttempt(long attempt, long backend, String payload, long limit) {
                startedAttempts.add(attempt);
            }

            @Override public void abort(long attempt) {
                abortedAttempts.add(attempt);
            }

            @Override public boolean withdraw(long attempt) {
                return unwrittenAttempts.remove(attempt);
            }

            @Override public void probe(long backend) { }

            @Override public void closeIdleConnections(long backend) { }
        }, () -> { });
    }

    private final class RecordingPolicy implements DispatchPolicy {
        @Override public LearnedState exportLearnedState() {
            return null;
        }

        @Override public void importLearnedState(LearnedState left) { }

        @Override public void answerBeforeExit(long time, long job) {
            policyEvents.add("ending " + (job == EngineTest.this.requestId));
        }


        @Override public boolean isAvoided(long worker) {
            return false;
        }

        @Override public void backendsListed(long time, ListUpdate update, List<Backend> workers) { }

        @Override public void requestReceived(long time, Request taken) {
            requestId = taken.id();
            onRequestReceived.run();
        }

        @Override public void attemptStarted(long time, long id, int attempt) {
            policyEvents.add("started " + attempt);
        }

        @Override public void attemptProgressed(long time, long id, int attempt) { }

        @Override public void responseStreaming(long time, long id, int attempt) { }

        @Override public void attemptEnded(long time, long id, int attempt, long worker, Outcome outcome, boolean settled,
                LoadReport report) {
            policyEvents.add(attempt + " " + outcome + " " + settled);
            onAttemptEnded.run();
        }

        @Override public void probeEnded(long time, long worker, boolean answered, LoadReport report) { }

        @Override public void clientDisconnected(long time, long id) {
            policyEvents.add("gone");
        }

        @Override public void timerFired(long time, int token) {
            policyEvents.add("timer " + token);
        }
    }

    private void submit(Runnable decision) {
        onRequestReceived = decision;
        engine.submit(listener, "payload", 0, 0, 1, now + 10 * SECOND, isDeadlineKnown);
    }

    private void sendTwoAttempts() {
        engine.send(requestId, 1);
        engine.send(requestId, 2);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(java.nio.charset.StandardCharsets.UTF_8);
    }

    /** A second connection was still coming up: its attempt was written although the client had its answer. */
    @Test void unwrittenAttemptsAreWithdrawnWhenRequestCloses() {
        submit(this::sendTwoAttempts);
        unwrittenAttempts.add(startedAttempts.get(1));
        engine.attemptEnded(startedAttempts.get(0), Outcome.SERVED, bytes("r"), null);
        assertEquals(List.of("1 MOOT true", "0 SERVED true"), policyEvents);
        engine.attemptEnded(startedAttempts.get(1), Outcome.SERVED, bytes("late"), null);
        assertEquals(List.of("served r"), answers);
        submit(() -> engine.send(requestId, 1));
        unwrittenAttempts.add(startedAttempts.get(2));
        engine.clientDisconnected(requestId);
        assertEquals(List.of("0 MOOT true", "gone"), policyEvents.subList(2, 4));
        assertEquals(0, engine.openRequestCount());
    }

    /** The module went on holding a request that had its answer, and sent it later. */
    @Test void exceptionInEventEndsRequestForPolicyToo() {
        submit(() -> {
            throw new IllegalStateException("seen in a test");
        });
        assertEquals(List.of("failed false"), answers);
        assertEquals(List.of("gone"), policyEvents);
        assertEquals(0, engine.openRequestCount());
    }

    /** Its client's connection had an exception: the outcome never reached the module, which waited for it. */
    @Test void exceptionInListenerDoesNotHideOutcomeFromPolicy() {
        ResponseListener breaks = new ResponseListener() {
            @Override public void onServed(byte[] result) {
                throw new IllegalStateException("seen in a test");
            }

            @Override public void onRefused(long comeBack) { }

            @Override public void onFailed(boolean late) { }
        };
        onRequestReceived = () -> engine.send(requestId, 1);
        engine.submit(breaks, "payload", 0, 0, 1, now + 10 * SECOND, true);
        engine.attemptEnded(startedAttempts.get(0), Outcome.SERVED, bytes("r"), null);
        assertEquals(List.of("0 SERVED true"), policyEvents);
        assertEquals(1, metrics.get(Count.EXCEPTIONS));
    }

    @Test void firstResultIsAnswerAndLaterOutcomesReachPolicy() {
        submit(this::sendTwoAttempts);
        engine.attemptStarted(startedAttempts.get(0));
        engine.attemptEnded(startedAttempts.get(1), Outcome.SERVED, bytes("r"), null);
        engine.attemptEnded(startedAttempts.get(0), Outcome.SERVED, bytes("other"), null);
        assertEquals(List.of("served r"), answers);
        assertEquals(List.of("started 0", "1 SERVED true", "0 SERVED true"), policyEvents);
        assertEquals(0, engine.openRequestCount());
    }

    @Test void cancelledOutcomeFollowsTheCancellingEvent() {
        submit(this::sendTwoAttempts);
        onAttemptEnded = () -> {
            onAttemptEnded = () -> { };
            engine.cancel(requestId, 1);
            policyEvents.add("end of event");
        };
        engine.attemptEnded(startedAttempts.get(0), Outcome.ERROR, null, null);
        assertEquals(List.of("0 ERROR false", "end of event", "1 CANCELLED false"), policyEvents);
        assertEquals(List.of(startedAttempts.get(1)), abortedAttempts);
        engine.attemptEnded(startedAttempts.get(1), Outcome.SERVED, bytes("late"), null);
        assertEquals(List.of(), answers);
        assertEquals(1, metrics.get(Count.LATE_EVENTS));
    }

    @Test void attemptsBeyondLimitAreMoot() {
        submit(() -> {
            sendTwoAttempts();
            engine.send(requestId, 3);
        });
        assertEquals(List.of("2 MOOT false"), policyEvents);
        assertEquals(2, startedAttempts.size());
    }

    @Test void attemptTimesOutBeforeClientDeadline() {
        submit(() -> engine.send(requestId, 1));
        onAttemptEnded = () -> engine.fail(requestId);
        now += 10 * SECOND - Engine.ATTEMPT_MARGIN_MICROS - 1;
        deadlines.runDue();
        assertEquals(List.of(), policyEvents);
        now++;
        deadlines.runDue();
        assertEquals(List.of("0 TIMED_OUT false"), policyEvents);
        assertEquals(List.of("failed true"), answers);
        assertEquals(startedAttempts, abortedAttempts);
    }

    @Test void requestWithoutDecisionFailsBeforeClientDeadline() {
        submit(() -> { });
        now += 10 * SECOND - Engine.ANSWER_MARGIN_MICROS;
        deadlines.runDue();
        assertEquals(List.of("failed true"), answers);
        assertEquals(List.of("gone"), policyEvents);
        engine.refuse(requestId, 0);
        assertEquals(1, answers.size());
    }

    @Test void exceptionInEventFailsOnlyItsRequest() {
        submit(() -> {
            throw new IllegalStateException("seen in a test");
        });
        assertEquals(List.of("failed false"), answers);
        submit(() -> engine.refuse(requestId, 7));
        assertEquals(List.of("failed false", "synthetic 7"), answers);
        assertEquals(1, metrics.get(Count.EXCEPTIONS));
    }

    @Test void disconnectedClientGetsNoAnswer() {
        submit(() -> engine.send(requestId, 1));
        engine.clientDisconnected(requestId);
        engine.attemptEnded(startedAttempts.get(0), Outcome.SERVED, bytes("r"), null);
        assertEquals(List.of("gone", "0 SERVED true"), policyEvents);
        assertEquals(List.of(), answers);
    }

    @Test void reusedIndexGetsNewHandle() {
        HandleTable<String> table = new HandleTable<>();
        long first = table.add("a");
        assertEquals("a", table.remove(first));
        long second = table.add("b");
        assertNotEquals(first, second);
        assertNull(table.get(first));
        assertNull(table.remove(first));
        assertEquals("b", table.get(second));
        assertEquals(1, table.size());
    }

    @Test void unixTimesConvertToClockTime() {
        Clock clock = new Clock();
        long before = clock.nowMicros();
        assertEquals(0, clock.fromUnixMillis(0));
        assertEquals(System.currentTimeMillis() * 1000.0, clock.fromUnixMillis(System.currentTimeMillis()), SECOND);
        assertEquals(clock.nowMicros(), clock.fromUnixMillis(System.currentTimeMillis()), SECOND);
        assertTrue(clock.nowMicros() >= before);
    }

    @Test void exceptionInDeadlineDoesNotStopLaterOnes() {
        deadlines.scheduleAfter(20, () -> policyEvents.add("b"));
        deadlines.scheduleAfter(10, () -> {
            throw new IllegalStateException("seen in a test");
        });
        Deadlines.Deadline cancelled = deadlines.scheduleAfter(15, () -> policyEvents.add("never"));
        deadlines.scheduleAfter(10, () -> policyEvents.add("a"));
        deadlines.cancel(cancelled);
        now += 20;
        deadlines.runDue();
        assertEquals(List.of("a", "b"), policyEvents);
        assertEquals(1, metrics.get(Count.EXCEPTIONS));
    }

    /** A connection that waited to be let in: what its client has left is not known, and may not be told once more. */
    @Test void requestWithUnknownDeadlineHasOneAttempt() {
        isDeadlineKnown = false;
        onAttemptEnded = () -> {
            if (policyEvents.size() < 2) {
                engine.send(requestId, 2);
            }
        };
        submit(() -> engine.send(requestId, 1));
        engine.attemptEnded(startedAttempts.get(0), Outcome.REJECTED, null, null);
        assertEquals(1, startedAttempts.size(), "the second one never begins");
        assertTrue(policyEvents.get(policyEvents.size() - 1).contains("MOOT"), policyEvents.toString());
    }
}

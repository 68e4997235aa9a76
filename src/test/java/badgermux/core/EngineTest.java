package badgermux.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.decide.DispatchPolicy;
import badgermux.decide.DispatchPolicy.Outcome;
import badgermux.metrics.Metrics;
import badgermux.metrics.Metrics.Count;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the engine with a scripted dispatch policy and a listener and a backend client that record their calls. */
class EngineTest {
    private static final long SECOND_MICROS = 1_000_000;

    private final List<String> policyEvents = new ArrayList<>();
    private final List<String> answers = new ArrayList<>();
    private final List<Long> startedAttempts = new ArrayList<>();
    private final List<Long> abortedAttempts = new ArrayList<>();
    private final List<Long> unwrittenAttempts = new ArrayList<>();
    private final Metrics metrics = new Metrics(List.of("a", "b", "c"));
    private long now = SECOND_MICROS;
    private final Deadlines deadlines = new Deadlines(() -> now, at -> { }, metrics);
    private final Engine<String> engine = new Engine<>(() -> now, deadlines, metrics, 2);
    private Runnable onRequestReceived = () -> { };
    private Runnable onAttemptEnded = () -> { };
    private long requestId;
    private boolean isDeadlineKnown = true;

    private final ResponseListener listener = new ResponseListener() {
        @Override public void onServed(byte[] result) {
            answers.add("served " + new String(result, StandardCharsets.UTF_8));
        }

        @Override public void onRefused(long retryAfterMicros) {
            answers.add("refused " + retryAfterMicros);
        }

        @Override public void onFailed(boolean timedOut) {
            answers.add("failed " + timedOut);
        }
    };

    EngineTest() {
        engine.connect(new RecordingPolicy(), new BackendClient<>() {
            @Override public void startAttempt(long attempt, long backend, String payload, long deadline) {
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

        @Override public void importLearnedState(LearnedState learnedState) { }

        @Override public void answerBeforeExit(long time, long id) {
            policyEvents.add("answer before exit " + (id == requestId));
        }

        @Override public boolean isAvoided(long backendId) {
            return false;
        }

        @Override public void backendsListed(long time, ListUpdate update, List<Backend> backends) { }

        @Override public void requestReceived(long time, Request request) {
            requestId = request.id();
            onRequestReceived.run();
        }

        @Override public void attemptStarted(long time, long id, int attempt) {
            policyEvents.add("started " + attempt);
        }

        @Override public void attemptProgressed(long time, long id, int attempt) { }

        @Override public void responseStreaming(long time, long id, int attempt) { }

        @Override public void attemptEnded(long time, long id, int attempt, long backendId, Outcome outcome,
                boolean isClosed, LoadReport report) {
            policyEvents.add(attempt + " " + outcome + " " + isClosed);
            onAttemptEnded.run();
        }

        @Override public void probeEnded(long time, long backendId, boolean answered, LoadReport report) { }

        @Override public void clientDisconnected(long time, long id) {
            policyEvents.add("disconnected");
        }

        @Override public void timerFired(long time, int token) {
            policyEvents.add("timer " + token);
        }
    }

    private void submit(Runnable decision) {
        onRequestReceived = decision;
        engine.submit(listener, "payload", 0, 0, 1, now + 10 * SECOND_MICROS, isDeadlineKnown);
    }

    private void sendTwoAttempts() {
        engine.send(requestId, 1);
        engine.send(requestId, 2);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** If the connection of a second attempt is established late, the attempt must not be written after the final answer. */
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
        assertEquals(List.of("0 MOOT true", "disconnected"), policyEvents.subList(2, 4));
        assertEquals(0, engine.openRequestCount());
    }

    /** If the policy is not notified, it keeps a request that has its final answer and sends it later. */
    @Test void exceptionInEventEndsRequestForPolicyToo() {
        submit(() -> {
            throw new IllegalStateException("thrown by the test");
        });
        assertEquals(List.of("failed false"), answers);
        assertEquals(List.of("disconnected"), policyEvents);
        assertEquals(0, engine.openRequestCount());
    }

    /** An exception in the client's connection must not keep the outcome from the policy, which would wait for it forever. */
    @Test void exceptionInListenerDoesNotHideOutcomeFromPolicy() {
        ResponseListener failingListener = new ResponseListener() {
            @Override public void onServed(byte[] result) {
                throw new IllegalStateException("thrown by the test");
            }

            @Override public void onRefused(long retryAfterMicros) { }

            @Override public void onFailed(boolean timedOut) { }
        };
        onRequestReceived = () -> engine.send(requestId, 1);
        engine.submit(failingListener, "payload", 0, 0, 1, now + 10 * SECOND_MICROS, true);
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
        now += 10 * SECOND_MICROS - Engine.ATTEMPT_MARGIN_MICROS - 1;
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
        now += 10 * SECOND_MICROS - Engine.ANSWER_MARGIN_MICROS;
        deadlines.runDue();
        assertEquals(List.of("failed true"), answers);
        assertEquals(List.of("disconnected"), policyEvents);
        engine.refuse(requestId, 0);
        assertEquals(1, answers.size());
    }

    @Test void exceptionInEventFailsOnlyItsRequest() {
        submit(() -> {
            throw new IllegalStateException("thrown by the test");
        });
        assertEquals(List.of("failed false"), answers);
        submit(() -> engine.refuse(requestId, 7));
        assertEquals(List.of("failed false", "refused 7"), answers);
        assertEquals(1, metrics.get(Count.EXCEPTIONS));
    }

    @Test void disconnectedClientGetsNoAnswer() {
        submit(() -> engine.send(requestId, 1));
        engine.clientDisconnected(requestId);
        engine.attemptEnded(startedAttempts.get(0), Outcome.SERVED, bytes("r"), null);
        assertEquals(List.of("disconnected", "0 SERVED true"), policyEvents);
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
        assertEquals(System.currentTimeMillis() * 1000.0, clock.fromUnixMillis(System.currentTimeMillis()), SECOND_MICROS);
        assertEquals(clock.nowMicros(), clock.fromUnixMillis(System.currentTimeMillis()), SECOND_MICROS);
        assertTrue(clock.nowMicros() >= before);
    }

    @Test void exceptionInDeadlineDoesNotStopLaterOnes() {
        deadlines.scheduleAfter(20, () -> policyEvents.add("b"));
        deadlines.scheduleAfter(10, () -> {
            throw new IllegalStateException("thrown by the test");
        });
        Deadlines.Deadline cancelled = deadlines.scheduleAfter(15, () -> policyEvents.add("never"));
        deadlines.scheduleAfter(10, () -> policyEvents.add("a"));
        deadlines.cancel(cancelled);
        now += 20;
        deadlines.runDue();
        assertEquals(List.of("a", "b"), policyEvents);
        assertEquals(1, metrics.get(Count.EXCEPTIONS));
    }

    /** If a connection waited to be accepted, its client's remaining time is unknown; no second backend may be told it. */
    @Test void requestWithUnknownDeadlineHasOneAttempt() {
        isDeadlineKnown = false;
        onAttemptEnded = () -> {
            if (policyEvents.size() < 2) {
                engine.send(requestId, 2);
            }
        };
        submit(() -> engine.send(requestId, 1));
        engine.attemptEnded(startedAttempts.get(0), Outcome.REJECTED, null, null);
        assertEquals(1, startedAttempts.size(), "the second attempt never starts");
        assertTrue(policyEvents.get(policyEvents.size() - 1).contains("MOOT"), policyEvents.toString());
    }
}

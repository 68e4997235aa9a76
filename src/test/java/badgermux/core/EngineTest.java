package badgermux.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.decide.Dispatch;
import badgermux.decide.Dispatch.Outcome;
import badgermux.metrics.Metrics;
import badgermux.metrics.Metrics.Count;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The engine between a module that does what each test says, and a front and backends that record. */
class EngineTest {
    private static final long SECOND = 1_000_000;

    private final List<String> told = new ArrayList<>();
    private final List<String> answers = new ArrayList<>();
    private final List<Long> attempted = new ArrayList<>();
    private final List<Long> aborted = new ArrayList<>();
    private final List<Long> unsent = new ArrayList<>();
    private final Metrics metrics = new Metrics(List.of("a", "b", "c"));
    private long now = SECOND;
    private final Deadlines deadlines = new Deadlines(() -> now, at -> { }, metrics);
    private final Engine<String> engine = new Engine<>(() -> now, deadlines, metrics, 2);
    private Runnable onRequest = () -> { };
    private Runnable onOutcome = () -> { };
    private long job;
    private boolean timeKnown = true;

    private final Asker asker = new Asker() {
        @Override public void served(byte[] result) {
            answers.add("served " + new String(result, java.nio.charset.StandardCharsets.UTF_8));
        }

        @Override public void synthetic(long comeBack) {
            answers.add("synthetic " + comeBack);
        }

        @Override public void failed(boolean late) {
            answers.add("failed " + late);
        }
    };

    EngineTest() {
        engine.join(new Module(), new Outbound<>() {
            @Override public void attempt(long attempt, long backend, String payload, long limit) {
                attempted.add(attempt);
            }

            @Override public void abort(long attempt) {
                aborted.add(attempt);
            }

            @Override public boolean withdraw(long attempt) {
                return unsent.remove(attempt);
            }

            @Override public void probe(long backend) { }

            @Override public void release(long backend) { }
        }, () -> { });
    }

    private final class Module implements Dispatch {
        @Override public Heritage leave() {
            return null;
        }

        @Override public void inherit(Heritage left) { }

        @Override public void ending(long time, long job) {
            told.add("ending " + (job == EngineTest.this.job));
        }


        @Override public boolean avoids(long worker) {
            return false;
        }

        @Override public void workers(long time, ListUpdate update, List<Worker> workers) { }

        @Override public void request(long time, Job taken) {
            job = taken.id();
            onRequest.run();
        }

        @Override public void started(long time, long id, int attempt) {
            told.add("started " + attempt);
        }

        @Override public void progress(long time, long id, int attempt) { }

        @Override public void streaming(long time, long id, int attempt) { }

        @Override public void outcome(long time, long id, int attempt, long worker, Outcome outcome, boolean settled,
                Report report) {
            told.add(attempt + " " + outcome + " " + settled);
            onOutcome.run();
        }

        @Override public void probed(long time, long worker, boolean answered, Report report) { }

        @Override public void clientGone(long time, long id) {
            told.add("gone");
        }

        @Override public void timer(long time, int token) {
            told.add("timer " + token);
        }
    }

    private void take(Runnable decision) {
        onRequest = decision;
        engine.take(asker, "payload", 0, 0, 1, now + 10 * SECOND, timeKnown);
    }

    private void sendTwo() {
        engine.send(job, 1);
        engine.send(job, 2);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(java.nio.charset.StandardCharsets.UTF_8);
    }

    /** A second connection was still coming up: its attempt was written although the client had its answer. */
    @Test void whatHasNotBeenWrittenIsTakenBackOnceItsRequestIsOver() {
        take(this::sendTwo);
        unsent.add(attempted.get(1));
        engine.ended(attempted.get(0), Outcome.SERVED, bytes("r"), null);
        assertEquals(List.of("1 MOOT true", "0 SERVED true"), told);
        engine.ended(attempted.get(1), Outcome.SERVED, bytes("late"), null);
        assertEquals(List.of("served r"), answers);
        take(() -> engine.send(job, 1));
        unsent.add(attempted.get(2));
        engine.askerGone(job);
        assertEquals(List.of("0 MOOT true", "gone"), told.subList(2, 4));
        assertEquals(0, engine.open());
    }

    /** The module went on holding a request that had its answer, and sent it later. */
    @Test void anExceptionEndsItsRequestWithTheModuleToo() {
        take(() -> {
            throw new IllegalStateException("seen in a test");
        });
        assertEquals(List.of("failed false"), answers);
        assertEquals(List.of("gone"), told);
        assertEquals(0, engine.open());
    }

    /** Its client's connection had an exception: the outcome never reached the module, which waited for it. */
    @Test void anExceptionAtAnAnswerKeepsNoOutcomeFromTheModule() {
        Asker breaks = new Asker() {
            @Override public void served(byte[] result) {
                throw new IllegalStateException("seen in a test");
            }

            @Override public void synthetic(long comeBack) { }

            @Override public void failed(boolean late) { }
        };
        onRequest = () -> engine.send(job, 1);
        engine.take(breaks, "payload", 0, 0, 1, now + 10 * SECOND, true);
        engine.ended(attempted.get(0), Outcome.SERVED, bytes("r"), null);
        assertEquals(List.of("0 SERVED true"), told);
        assertEquals(1, metrics.get(Count.EXCEPTIONS));
    }

    @Test void theFirstResultIsTheAnswerAndTheOthersAreStillTold() {
        take(this::sendTwo);
        engine.started(attempted.get(0));
        engine.ended(attempted.get(1), Outcome.SERVED, bytes("r"), null);
        engine.ended(attempted.get(0), Outcome.SERVED, bytes("other"), null);
        assertEquals(List.of("served r"), answers);
        assertEquals(List.of("started 0", "1 SERVED true", "0 SERVED true"), told);
        assertEquals(0, engine.open());
    }

    @Test void aCancelledAttemptIsToldAfterTheEventThatCancelledIt() {
        take(this::sendTwo);
        onOutcome = () -> {
            onOutcome = () -> { };
            engine.cancel(job, 1);
            told.add("end of event");
        };
        engine.ended(attempted.get(0), Outcome.ERROR, null, null);
        assertEquals(List.of("0 ERROR false", "end of event", "1 CANCELLED false"), told);
        assertEquals(List.of(attempted.get(1)), aborted);
        engine.ended(attempted.get(1), Outcome.SERVED, bytes("late"), null);
        assertEquals(List.of(), answers);
        assertEquals(1, metrics.get(Count.LATE_EVENTS));
    }

    @Test void tooManyAttemptsAreMoot() {
        take(() -> {
            sendTwo();
            engine.send(job, 3);
        });
        assertEquals(List.of("2 MOOT false"), told);
        assertEquals(2, attempted.size());
    }

    @Test void aAttemptTimesOutBeforeItsClientGivesUp() {
        take(() -> engine.send(job, 1));
        onOutcome = () -> engine.fail(job);
        now += 10 * SECOND - Engine.ATTEMPT_MARGIN - 1;
        deadlines.runDue();
        assertEquals(List.of(), told);
        now++;
        deadlines.runDue();
        assertEquals(List.of("0 TIMED_OUT false"), told);
        assertEquals(List.of("failed true"), answers);
        assertEquals(attempted, aborted);
    }

    @Test void aRequestThatTheModuleForgetsIsFailedInTime() {
        take(() -> { });
        now += 10 * SECOND - Engine.ANSWER_MARGIN;
        deadlines.runDue();
        assertEquals(List.of("failed true"), answers);
        assertEquals(List.of("gone"), told);
        engine.refuse(job, 0);
        assertEquals(1, answers.size());
    }

    @Test void anExceptionEndsItsRequestWithAnAnswerAndNothingElse() {
        take(() -> {
            throw new IllegalStateException("seen in a test");
        });
        assertEquals(List.of("failed false"), answers);
        take(() -> engine.refuse(job, 7));
        assertEquals(List.of("failed false", "synthetic 7"), answers);
        assertEquals(1, metrics.get(Count.EXCEPTIONS));
    }

    @Test void aClientThatLeavesGetsNoAnswer() {
        take(() -> engine.send(job, 1));
        engine.askerGone(job);
        engine.ended(attempted.get(0), Outcome.SERVED, bytes("r"), null);
        assertEquals(List.of("gone", "0 SERVED true"), told);
        assertEquals(List.of(), answers);
    }

    @Test void aSlotsNextEntryHasAnotherHandle() {
        SlotTable<String> table = new SlotTable<>();
        long first = table.add("a");
        assertEquals("a", table.remove(first));
        long second = table.add("b");
        assertNotEquals(first, second);
        assertNull(table.get(first));
        assertNull(table.remove(first));
        assertEquals("b", table.get(second));
        assertEquals(1, table.size());
    }

    @Test void unixTimesLieOnTheModulesClock() {
        Clock clock = new Clock();
        long before = clock.now();
        assertEquals(0, clock.fromUnixMillis(0));
        assertEquals(System.currentTimeMillis() * 1000.0, clock.fromUnixMillis(System.currentTimeMillis()), SECOND);
        assertEquals(clock.now(), clock.fromUnixMillis(System.currentTimeMillis()), SECOND);
        assertTrue(clock.now() >= before);
    }

    @Test void deadlinesRunInOrderAndFaultsStopNone() {
        deadlines.after(20, () -> told.add("b"));
        deadlines.after(10, () -> {
            throw new IllegalStateException("seen in a test");
        });
        Deadlines.Deadline cancelled = deadlines.after(15, () -> told.add("never"));
        deadlines.after(10, () -> told.add("a"));
        deadlines.cancel(cancelled);
        now += 20;
        deadlines.runDue();
        assertEquals(List.of("a", "b"), told);
        assertEquals(1, metrics.get(Count.EXCEPTIONS));
    }

    /** A connection that waited to be let in: what its client has left is not known, and may not be told once more. */
    @Test void aRequestOfUnknownTimeHasOneAttemptOnly() {
        timeKnown = false;
        onOutcome = () -> {
            if (told.size() < 2) {
                engine.send(job, 2);
            }
        };
        take(() -> engine.send(job, 1));
        engine.ended(attempted.get(0), Outcome.REJECTED, null, null);
        assertEquals(1, attempted.size(), "the second one never begins");
        assertTrue(told.get(told.size() - 1).contains("MOOT"), told.toString());
    }
}

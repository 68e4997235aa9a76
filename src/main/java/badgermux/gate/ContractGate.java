package badgermux.gate;

import badgermux.contract.Contracts;
import badgermux.contract.Fault;
import badgermux.contract.ProblemJson;
import badgermux.contract.Request;
import badgermux.contract.TooCostly;
import badgermux.contract.Verdict;
import badgermux.front.Gate;
import badgermux.http.Head;
import badgermux.http.Terms;
import badgermux.metrics.Metrics;
import badgermux.metrics.Metrics.Count;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * Judges requests by the contracts in force, and answers by those that took their request. What is small is judged on the
 * event loop, within few steps; what is large, or proves costly, on threads of its own, so that nobody else waits for
 * it. All calls come from the event loop.
 */
public final class ContractGate implements Gate {
    /** The longest body, in bytes, that the event loop judges itself. */
    static final int AT_ONCE = 2 << 10;
    /** So many wait for a judge at most; one more is told to come back. */
    private static final int MAX_WAITING = 256, JUDGES = 2;
    private static final int MAX_TOLD = 20;

    /** A set of contracts and the requests that it took and that are not answered yet. */
    private static final class Revision {
        private final Contracts contracts;
        private int open;

        Revision(Contracts contracts) {
            this.contracts = contracts;
        }
    }

    /** What operators see of a revision: its number, and how many of its requests wait for their answer. */
    public record Alive(long revision, int open) { }

    private final Executor loop;
    private final Metrics metrics;
    private final ThreadPoolExecutor judges;
    private final Recent recent = new Recent();
    /** Those that were replaced and still have requests. */
    private final List<Revision> leaving = new ArrayList<>();
    private Revision current;
    private int told;

    /** {@code loop} runs what it is given on the event loop. */
    public ContractGate(Executor loop, Metrics metrics, Contracts first) {
        this.loop = loop;
        this.metrics = metrics;
        current = new Revision(first);
        judges = new ThreadPoolExecutor(JUDGES, JUDGES, 10, TimeUnit.SECONDS, new ArrayBlockingQueue<>(MAX_WAITING),
            work -> {
                // Guards against a value nested as deep as it may be, under a schema that is.
                Thread thread = new Thread(null, work, "judge", 4 << 20);
                thread.setDaemon(true);
                return thread;
            });
        judges.allowCoreThreadTimeOut(true);
        metrics.level("contract_revision", () -> current.contracts.revision());
        metrics.level("contract_revisions_alive", () -> alive().size());
    }

    /** Puts contracts in force: what comes from now on is judged by them. */
    public void install(Contracts next) {
        if (current.open > 0) {
            leaving.add(current);
        }
        current = new Revision(next);
    }

    /** The revisions that still judge something; the one in force comes last. */
    public List<Alive> alive() {
        List<Alive> alive = new ArrayList<>();
        leaving.forEach(revision -> alive.add(new Alive(revision.contracts.revision(), revision.open)));
        alive.add(new Alive(current.contracts.revision(), current.open));
        return alive;
    }

    /** The last requests that were judged. */
    public List<Request> recent() {
        return recent.all();
    }

    @Override public void judge(String method, String target, Head head, byte[] body, Answer answer) {
        Revision by = current;
        if (by.contracts.descriptions().isEmpty()) {
            answer.pass(null);
            return;
        }
        Request request = new Request(method, target, head::all, body);
        recent.add(request);
        metrics.add(Count.CONTRACT_JUDGED);
        if (body.length <= AT_ONCE) {
            try {
                tell(by, by.contracts.judgeQuickly(request), answer);
                return;
            } catch (TooCostly e) {
                // judged apart, below
            } catch (RuntimeException e) {
                fault(e, answer);
                return;
            }
        }
        metrics.add(Count.CONTRACT_JUDGED_APART);
        apart(() -> by.contracts.judge(request), judged -> tell(by, judged, answer), e -> fault(e, answer), answer::busy);
    }

    /** Has something judged by another thread and the outcome told on the event loop. */
    private <T> void apart(java.util.function.Supplier<T> work, Consumer<T> then, Consumer<Throwable> failed,
            Runnable busy) {
        try {
            judges.execute(() -> {
                try {
                    T done = work.get();
                    loop.execute(() -> then.accept(done));
                } catch (RuntimeException | StackOverflowError e) {
                    loop.execute(() -> failed.accept(e));
                }
            });
        } catch (RejectedExecutionException e) {
            metrics.add(Count.CONTRACT_BUSY);
            busy.run();
        }
    }

    private void tell(Revision by, Contracts.Judged judged, Answer answer) {
        Verdict verdict = judged.verdict();
        if (verdict.conforms()) {
            answer.pass(judged.terms() == null ? null : new Held(by, judged.terms()));
            return;
        }
        metrics.add(Count.CONTRACT_REFUSED);
        String more = verdict.status() == 405 ? "Allow: " + verdict.allow() + "\r\n"
            : verdict.status() == 415 ? "Accept-Post: " + verdict.allow() + "\r\n" : "";
        answer.refuse(verdict.status(), ProblemJson.title(verdict.status()),
            "Content-Type: application/problem+json\r\n" + more, ProblemJson.of(verdict, by.contracts.revision()));
    }

    /** An exception ends its request, never the process. */
    private void fault(Throwable e, Answer answer) {
        metrics.add(Count.EXCEPTIONS);
        Logger.error(e, "exception while a request was judged");
        answer.refuse(500, "Internal Server Error", "", new byte[0]);
    }

    /** The terms of a request that was taken: its revision lives until it is over. */
    private final class Held implements Terms {
        private final Revision by;
        private final Contracts.Terms terms;
        private boolean over;

        Held(Revision by, Contracts.Terms terms) {
            this.by = by;
            this.terms = terms;
            by.open++;
        }

        @Override public Lines lines(Head head) {
            Contracts.Lines lines = terms.lines(head::all);
            return lines == null ? null : line -> {
                Fault fault = lines.next(line);
                if (fault != null) {
                    metrics.add(Count.CONTRACT_LINES_BAD);
                    note("a backend's line", fault);
                }
                return fault == null;
            };
        }

        @Override public void result(byte[] result, Consumer<Boolean> usable) {
            if (!terms.judgesResults()) {
                usable.accept(true);
                return;
            }
            // A result that can't be judged for want of room is served: the backend has done its work.
            apart(() -> verdict(result), fault -> {
                if (fault != null) {
                    metrics.add(Count.CONTRACT_RESULTS_BAD);
                    note("a backend's result", fault);
                }
                usable.accept(fault == null || !terms.failsResults());
            }, e -> {
                metrics.add(Count.EXCEPTIONS);
                Logger.error(e, "exception while a result was judged");
                usable.accept(!terms.failsResults());
            }, () -> usable.accept(true));
        }

        private Fault verdict(byte[] result) {
            try {
                return terms.result(result);
            } catch (TooCostly e) {
                return null;
            }
        }

        @Override public void over() {
            if (!over) {
                over = true;
                by.open--;
                if (by.open == 0 && by != current) {
                    leaving.remove(by);
                }
            }
        }
    }

    /** Guards against a log that a broken backend fills. */
    private void note(String what, Fault fault) {
        if (told < MAX_TOLD) {
            told++;
            Logger.warn("{} does not conform: {} {}: {}{}", what, fault.pointer(), fault.keyword(), fault.message(),
                told == MAX_TOLD ? " (no more of these are told)" : "");
        }
    }
}

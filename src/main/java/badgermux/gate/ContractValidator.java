package badgermux.gate;

import badgermux.contract.ContractSet;
import badgermux.contract.Fault;
import badgermux.contract.ProblemDetails;
import badgermux.contract.HttpRequest;
import badgermux.contract.StepLimitException;
import badgermux.contract.ValidationResult;
import badgermux.front.RequestValidator;
import badgermux.http.MessageHead;
import badgermux.http.ResponseContract;
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
public final class ContractValidator implements RequestValidator {
    /** The longest body, in bytes, that the event loop judges itself. */
    static final int MAX_EVENT_LOOP_BODY_BYTES = 2 << 10;
    /** So many wait for a judge at most; one more is told to come back. */
    private static final int MAX_QUEUED_VALIDATIONS = 256, VALIDATION_THREADS = 2;
    private static final int MAX_LOGGED_FAULTS = 20;

    /** A set of contracts and the requests that it took and that are not answered yet. */
    private static final class Revision {
        private final ContractSet contracts;
        private int openRequests;

        Revision(ContractSet contracts) {
            this.contracts = contracts;
        }
    }

    /** What operators see of a revision: its number, and how many of its requests wait for their answer. */
    public record RevisionStatus(long revision, int openRequests) { }

    private final Executor eventLoop;
    private final Metrics metrics;
    private final ThreadPoolExecutor validationPool;
    private final RecentRequests recentRequests = new RecentRequests();
    /** Those that were replaced and still have requests. */
    private final List<Revision> retiredRevisions = new ArrayList<>();
    private Revision current;
    private int loggedFaults;

    /** {@code loop} runs what it is given on the event loop. */
    public ContractValidator(Executor loop, Metrics metrics, ContractSet first) {
        this.eventLoop = loop;
        this.metrics = metrics;
        current = new Revision(first);
        validationPool = new ThreadPoolExecutor(VALIDATION_THREADS, VALIDATION_THREADS, 10, TimeUnit.SECONDS, new ArrayBlockingQueue<>(MAX_QUEUED_VALIDATIONS),
            work -> {
                // Guards against a value nested as deep as it may be, under a schema that is.
                Thread thread = new Thread(null, work, "judge", 4 << 20);
                thread.setDaemon(true);
                return thread;
            });
        validationPool.allowCoreThreadTimeOut(true);
        metrics.registerGauge("contract_revision", () -> current.contracts.revision());
        metrics.registerGauge("contract_revisions_alive", () -> activeRevisions().size());
    }

    /** Puts contracts in force: what comes from now on is judged by them. */
    public void install(ContractSet next) {
        if (current.openRequests > 0) {
            retiredRevisions.add(current);
        }
        current = new Revision(next);
    }

    /** The revisions that still judge something; the one in force comes last. */
    public List<RevisionStatus> activeRevisions() {
        List<RevisionStatus> alive = new ArrayList<>();
        retiredRevisions.forEach(revision -> alive.add(new RevisionStatus(revision.contracts.revision(), revision.openRequests)));
        alive.add(new RevisionStatus(current.contracts.revision(), current.openRequests));
        return alive;
    }

    /** The last requests that were judged. */
    public List<HttpRequest> recentRequests() {
        return recentRequests.all();
    }

    @Override public void validate(String method, String target, MessageHead head, byte[] body, Callback answer) {
        Revision by = current;
        if (by.contracts.descriptions().isEmpty()) {
            answer.onAccepted(null);
            return;
        }
        HttpRequest request = new HttpRequest(method, target, head::values, body);
        recentRequests.add(request);
        metrics.increment(Count.CONTRACT_JUDGED);
        if (body.length <= MAX_EVENT_LOOP_BODY_BYTES) {
            try {
                respond(by, by.contracts.validateQuickly(request), answer);
                return;
            } catch (StepLimitException e) {
                // judged apart, below
            } catch (RuntimeException e) {
                refuseWithServerError(e, answer);
                return;
            }
        }
        metrics.increment(Count.CONTRACT_JUDGED_APART);
        runInPool(() -> by.contracts.validate(request), judged -> respond(by, judged, answer), e -> refuseWithServerError(e, answer), answer::onOverloaded);
    }

    /** Has something judged by another thread and the outcome told on the event loop. */
    private <T> void runInPool(java.util.function.Supplier<T> work, Consumer<T> then, Consumer<Throwable> failed,
            Runnable busy) {
        try {
            validationPool.execute(() -> {
                try {
                    T done = work.get();
                    eventLoop.execute(() -> then.accept(done));
                } catch (RuntimeException | StackOverflowError e) {
                    eventLoop.execute(() -> failed.accept(e));
                }
            });
        } catch (RejectedExecutionException e) {
            metrics.increment(Count.CONTRACT_BUSY);
            busy.run();
        }
    }

    private void respond(Revision by, ContractSet.RequestValidation judged, Callback answer) {
        ValidationResult verdict = judged.result();
        if (verdict.conforms()) {
            answer.onAccepted(judged.responseValidator() == null ? null : new RevisionResponseContract(by, judged.responseValidator()));
            return;
        }
        metrics.increment(Count.CONTRACT_REFUSED);
        String more = verdict.status() == 405 ? "Allow: " + verdict.allowed() + "\r\n"
            : verdict.status() == 415 ? "Accept-Post: " + verdict.allowed() + "\r\n" : "";
        answer.onRejected(verdict.status(), ProblemDetails.title(verdict.status()),
            "Content-Type: application/problem+json\r\n" + more, ProblemDetails.encode(verdict, by.contracts.revision()));
    }

    /** An exception ends its request, never the process. */
    private void refuseWithServerError(Throwable e, Callback answer) {
        metrics.increment(Count.EXCEPTIONS);
        Logger.error(e, "exception while a request was judged");
        answer.onRejected(500, "Internal Server Error", "", new byte[0]);
    }

    /** The terms of a request that was taken: its revision lives until it is over. */
    private final class RevisionResponseContract implements ResponseContract {
        private final Revision revision;
        private final ContractSet.ResponseValidator responseValidator;
        private boolean over;

        RevisionResponseContract(Revision by, ContractSet.ResponseValidator terms) {
            this.revision = by;
            this.responseValidator = terms;
            by.openRequests++;
        }

        @Override public LineValidator lineValidator(MessageHead head) {
            ContractSet.LineValidator lines = responseValidator.lineValidator(head::values);
            return lines == null ? null : line -> {
                Fault fault = lines.validate(line);
                if (fault != null) {
                    metrics.increment(Count.CONTRACT_LINES_BAD);
                    logFault("a backend's line", fault);
                }
                return fault == null;
            };
        }

        @Override public void validateResult(byte[] result, Consumer<Boolean> usable) {
            if (!responseValidator.validatesResults()) {
                usable.accept(true);
                return;
            }
            // A result that can't be judged for want of room is served: the backend has done its work.
            runInPool(() -> firstFault(result), fault -> {
                if (fault != null) {
                    metrics.increment(Count.CONTRACT_RESULTS_BAD);
                    logFault("a backend's result", fault);
                }
                usable.accept(fault == null || !responseValidator.rejectsInvalidResults());
            }, e -> {
                metrics.increment(Count.EXCEPTIONS);
                Logger.error(e, "exception while a result was judged");
                usable.accept(!responseValidator.rejectsInvalidResults());
            }, () -> usable.accept(true));
        }

        private Fault firstFault(byte[] result) {
            try {
                return responseValidator.validateResult(result);
            } catch (StepLimitException e) {
                return null;
            }
        }

        @Override public void release() {
            if (!over) {
                over = true;
                revision.openRequests--;
                if (revision.openRequests == 0 && revision != current) {
                    retiredRevisions.remove(revision);
                }
            }
        }
    }

    /** Guards against a log that a broken backend fills. */
    private void logFault(String what, Fault fault) {
        if (loggedFaults < MAX_LOGGED_FAULTS) {
            loggedFaults++;
            Logger.warn("{} does not conform: {} {}: {}{}", what, fault.pointer(), fault.keyword(), fault.message(),
                loggedFaults == MAX_LOGGED_FAULTS ? " (no more of these are told)" : "");
        }
    }
}

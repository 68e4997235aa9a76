package badgermux.gate;

import badgermux.contract.ContractSet;
import badgermux.contract.Fault;
import badgermux.contract.HttpRequest;
import badgermux.contract.ProblemDetails;
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
import java.util.function.Supplier;
import org.tinylog.Logger;

/**
 * Validates requests against the contracts in force, and each response against the contracts that accepted its request.
 * Small bodies are validated on the event loop within a small limit on validation steps. Large bodies, and those that exceed
 * this limit, are validated in a thread pool so that they don't delay other requests. All methods are called on the event
 * loop.
 */
public final class ContractValidator implements RequestValidator {
    /** The longest body, in bytes, that is validated on the event loop. */
    static final int MAX_EVENT_LOOP_BODY_BYTES = 2 << 10;
    /** The longest queue in front of the thread pool. A request beyond it is refused as an overload, to be retried later. */
    private static final int MAX_QUEUED_VALIDATIONS = 256;
    private static final int VALIDATION_THREADS = 2;
    /** The number of faults logged in the life of the process: bounds the log output of backends with invalid responses. */
    private static final int MAX_LOGGED_FAULTS = 20;

    /** A set of contracts, and the number of requests to described paths that it accepted and that have no final answer yet. */
    private static final class Revision {
        private final ContractSet contracts;
        private int openRequests;

        Revision(ContractSet contracts) {
            this.contracts = contracts;
        }
    }

    /** The number of a revision, and how many of its requests have no final answer yet, for the admin API. */
    public record RevisionStatus(long revision, int openRequests) { }

    private final Executor eventLoop;
    private final Metrics metrics;
    private final ThreadPoolExecutor validationPool;
    private final RecentRequests recentRequests = new RecentRequests();
    /** Replaced revisions that still have open requests. */
    private final List<Revision> retiredRevisions = new ArrayList<>();
    private Revision current;
    private int loggedFaults;

    /** {@code eventLoop} runs tasks on the event loop. */
    public ContractValidator(Executor eventLoop, Metrics metrics, ContractSet initial) {
        this.eventLoop = eventLoop;
        this.metrics = metrics;
        current = new Revision(initial);
        validationPool = new ThreadPoolExecutor(VALIDATION_THREADS, VALIDATION_THREADS, 10, TimeUnit.SECONDS,
            new ArrayBlockingQueue<>(MAX_QUEUED_VALIDATIONS),
            task -> {
                // A 4 MB stack: a value and a schema that are both nested as deep as allowed could overflow the default one.
                Thread thread = new Thread(null, task, "contract-validation", 4 << 20);
                thread.setDaemon(true);
                return thread;
            });
        validationPool.allowCoreThreadTimeOut(true);
        metrics.registerGauge("contract_revision", () -> current.contracts.revision());
        metrics.registerGauge("contract_revisions_alive", () -> activeRevisions().size());
    }

    /** Puts contracts in force for all requests that arrive from now on. */
    public void install(ContractSet next) {
        if (current.openRequests > 0) {
            retiredRevisions.add(current);
        }
        current = new Revision(next);
    }

    /** Returns the revisions that are in use, oldest first; the last one is in force. */
    public List<RevisionStatus> activeRevisions() {
        List<RevisionStatus> statuses = new ArrayList<>();
        retiredRevisions.forEach(revision ->
            statuses.add(new RevisionStatus(revision.contracts.revision(), revision.openRequests)));
        statuses.add(new RevisionStatus(current.contracts.revision(), current.openRequests));
        return statuses;
    }

    /** Returns the most recently validated requests, oldest first. */
    public List<HttpRequest> recentRequests() {
        return recentRequests.all();
    }

    @Override public Validation validate(String method, String target, MessageHead head, byte[] body, Callback callback) {
        Revision revision = current;
        if (revision.contracts.descriptions().isEmpty()) {
            callback.onAccepted(null);
            return null;
        }
        HttpRequest request = new HttpRequest(method, target, head::values, body);
        recentRequests.add(request, head.heldBytes());
        metrics.increment(Count.CONTRACT_JUDGED);
        if (body.length <= MAX_EVENT_LOOP_BODY_BYTES) {
            try {
                respond(revision, revision.contracts.validateQuickly(request), callback);
                return null;
            } catch (StepLimitException e) {
                // validated in the thread pool, below
            } catch (RuntimeException e) {
                refuseWithServerError(e, callback);
                return null;
            }
        }
        metrics.increment(Count.CONTRACT_JUDGED_APART);
        PooledTask<ContractSet.RequestValidation> task = new PooledTask<>(() -> revision.contracts.validate(request),
            validation -> respond(revision, validation, callback), e -> refuseWithServerError(e, callback));
        if (task.start()) {
            return task;
        }
        callback.onOverloaded();
        return null;
    }

    /** A task in the thread pool, whose outcome is reported on the event loop. */
    private final class PooledTask<T> implements Runnable, Validation {
        private final Supplier<T> task;
        private final Consumer<T> onSuccess;
        private final Consumer<Throwable> onFailure;
        /** Used on the event loop only. */
        private boolean isCancelled;

        PooledTask(Supplier<T> task, Consumer<T> onSuccess, Consumer<Throwable> onFailure) {
            this.task = task;
            this.onSuccess = onSuccess;
            this.onFailure = onFailure;
        }

        /** Queues the task; returns false if the queue is full. */
        boolean start() {
            try {
                validationPool.execute(this);
                return true;
            } catch (RejectedExecutionException e) {
                metrics.increment(Count.CONTRACT_BUSY);
                return false;
            }
        }

        @Override public void run() {
            try {
                T outcome = task.get();
                report(() -> onSuccess.accept(outcome));
            } catch (RuntimeException | StackOverflowError e) {
                report(() -> onFailure.accept(e));
            }
        }

        private void report(Runnable notification) {
            eventLoop.execute(() -> {
                if (!isCancelled) {
                    notification.run();
                }
            });
        }

        @Override public void cancel() {
            isCancelled = true;
            if (validationPool.remove(this)) {
                metrics.increment(Count.CONTRACT_CANCELLED);
            }
        }
    }

    /** Reports the result of a validation to the callback; a refusal has a problem document as its body. */
    private void respond(Revision revision, ContractSet.RequestValidation validation, Callback callback) {
        ValidationResult result = validation.result();
        if (result.conforms()) {
            callback.onAccepted(validation.responseValidator() == null ? null
                : new RevisionResponseContract(revision, validation.responseValidator()));
            return;
        }
        metrics.increment(Count.CONTRACT_REFUSED);
        String extraHeaders = result.status() == 405 ? "Allow: " + result.allowed() + "\r\n"
            : result.status() == 415 ? "Accept-Post: " + result.allowed() + "\r\n" : "";
        callback.onRejected(result.status(), ProblemDetails.title(result.status()),
            "Content-Type: application/problem+json\r\n" + extraHeaders,
            ProblemDetails.encode(result, revision.contracts.revision()));
    }

    /** Refuses a request whose validation threw an exception; the process goes on. */
    private void refuseWithServerError(Throwable cause, Callback callback) {
        metrics.increment(Count.EXCEPTIONS);
        Logger.error(cause, "Exception while validating a request");
        callback.onRejected(500, "Internal Server Error", "", new byte[0]);
    }

    /** The response contract of an accepted request. Its revision stays in use until {@link #release}. */
    private final class RevisionResponseContract implements ResponseContract {
        private final Revision revision;
        private final ContractSet.ResponseValidator responseValidator;
        private boolean isReleased;

        RevisionResponseContract(Revision revision, ContractSet.ResponseValidator responseValidator) {
            this.revision = revision;
            this.responseValidator = responseValidator;
            revision.openRequests++;
        }

        @Override public LineValidator lineValidator(MessageHead head) {
            ContractSet.LineValidator lines = responseValidator.lineValidator(head::values);
            return lines == null ? null : line -> {
                Fault fault = lines.validate(line);
                if (fault != null) {
                    metrics.increment(Count.CONTRACT_LINES_BAD);
                    logFault("Backend response line", fault);
                }
                return fault == null;
            };
        }

        @Override public void validateResult(byte[] result, Consumer<Boolean> onValidated) {
            if (!responseValidator.validatesResults()) {
                onValidated.accept(true);
                return;
            }
            boolean isStarted = new PooledTask<>(() -> firstFault(result), fault -> {
                if (fault != null) {
                    metrics.increment(Count.CONTRACT_RESULTS_BAD);
                    logFault("Backend result", fault);
                }
                onValidated.accept(fault == null || !responseValidator.rejectsInvalidResults());
            }, e -> {
                metrics.increment(Count.EXCEPTIONS);
                Logger.error(e, "Exception while validating a result");
                onValidated.accept(!responseValidator.rejectsInvalidResults());
            }).start();
            // If the queue is full, the result is served without validation, as the backend has already done the work.
            if (!isStarted) {
                onValidated.accept(true);
            }
        }

        /** Returns the first fault of a result; null if there is none or the step limit is exceeded. */
        private Fault firstFault(byte[] result) {
            try {
                return responseValidator.validateResult(result);
            } catch (StepLimitException e) {
                return null;
            }
        }

        @Override public void release() {
            if (!isReleased) {
                isReleased = true;
                revision.openRequests--;
                if (revision.openRequests == 0 && revision != current) {
                    retiredRevisions.remove(revision);
                }
            }
        }
    }

    /** Logs a fault of a response; only the first {@link #MAX_LOGGED_FAULTS} are logged. */
    private void logFault(String source, Fault fault) {
        if (loggedFaults < MAX_LOGGED_FAULTS) {
            loggedFaults++;
            Logger.warn("{} violates its contract: {} {}: {}{}", source, fault.pointer(), fault.keyword(), fault.message(),
                loggedFaults == MAX_LOGGED_FAULTS ? " (further violations are not logged)" : "");
        }
    }
}

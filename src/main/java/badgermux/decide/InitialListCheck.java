package badgermux.decide;

import java.util.function.Consumer;

/**
 * Decides from when on a process may use the backend list that it started with. That list is of unknown age:
 * it may name backends that have drained or left since, and the dispatcher counts as notified of them if
 * discovery could be reached. The list may be used
 * <ul>
 * <li>once discovery has answered a call;
 * <li>once calls have failed promptly {@link #MAX_PROMPT_FAILURES} times in a row: discovery is down. If it
 * had too many callers, a call would wait before it fails;
 * <li>at the latest {@link WatchTiming#INITIAL_LIST_TIMEOUT_MICROS} after the start.
 * </ul> Times are microseconds on the caller's clock. Used by one thread.
 */
final class InitialListCheck {
    /** One prompt failure may be a connection that was reset by chance. */
    private static final int MAX_PROMPT_FAILURES = 2;
    private static final String UNCONFIRMED_LINE =
        "discovery has not answered since the start, using the backend list of the configuration";

    private final Consumer<String> log;
    private boolean isUsable;
    private long usableAt = Long.MAX_VALUE;
    private long callStartedAt;
    private int promptFailures;

    /** Creates a check without a list; {@code log} receives a line if a list is used without an answer. */
    InitialListCheck(Consumer<String> log) {
        this.log = log;
    }

    /** The process starts with a list, and its first call to discovery begins. */
    void cachedListReceived(long now) {
        usableAt = now + WatchTiming.INITIAL_LIST_TIMEOUT_MICROS;
        callStartedAt = now;
    }

    /** Discovery has sent its list or changes of it. */
    void listReceived() {
        isUsable = true;
    }

    /** A call to discovery begins. */
    void callStarted(long now) {
        callStartedAt = now;
    }

    /** A call to discovery has failed. */
    void callFailed(long now) {
        boolean isPrompt = now - callStartedAt <= WatchTiming.PROMPT_FAILURE_MICROS;
        promptFailures = isPrompt ? promptFailures + 1 : 0;
        if (promptFailures >= MAX_PROMPT_FAILURES) usableAt = Math.min(usableAt, now);
        callStartedAt = now;
    }

    /** Whether the list may be used. */
    boolean isUsable(long now) {
        if (!isUsable && now >= usableAt) {
            isUsable = true;
            log.accept(UNCONFIRMED_LINE);
        }
        return isUsable;
    }
}

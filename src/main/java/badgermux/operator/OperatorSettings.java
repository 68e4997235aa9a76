package badgermux.operator;

import com.google.gson.JsonElement;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.tinylog.Logger;

/**
 * The settings that operators have made: the snapshot, its sections, and the one way to change them. A change is made by the
 * process that owns the settings, is stored before it is put in force, and the other process of a hot restart follows it.
 * Methods run on the settings thread, except {@link #current}.
 */
public final class OperatorSettings {
    /** How long a change waits until the other process has it in force. */
    private static final long FOLLOWER_TIMEOUT_MILLIS = 1_000;

    private final SnapshotStore store;
    private final ExecutorService eventLoop;
    private final List<SettingsSection> sections = new ArrayList<>();
    private volatile SettingsOwnership ownership = SettingsOwnership.SOLE;

    /** {@code eventLoop} runs tasks on the event loop. */
    public OperatorSettings(SnapshotStore store, ExecutorService eventLoop) {
        this.store = store;
        this.eventLoop = eventLoop;
    }

    /** Adds a subsystem that follows changes of the snapshot. To be called before the first change. */
    public void add(SettingsSection section) {
        sections.add(section);
    }

    /** Sets who decides whether this process owns the settings; until then it does. */
    public void setOwnership(SettingsOwnership newOwnership) {
        ownership = newOwnership;
    }

    /** Returns the snapshot in force. May be called on any thread. */
    public Snapshot current() {
        return store.current();
    }

    /** Runs a task on the event loop and waits for its result. */
    public <T> T callOnEventLoop(Callable<T> task) throws InterruptedException, ExecutionException {
        return eventLoop.submit(task).get();
    }

    /**
     * Replaces a section, stores the snapshot and puts the section in force.
     *
     * @param content      the section's new content; null to remove it
     * @param installation puts the content in force
     * @return whether the snapshot was stored; if not, the change is in force all the same until the dispatcher ends
     * @throws SettingsNotOwnedException if another process owns the settings: nothing has changed
     * @throws SnapshotConflictException if another process has changed the stored snapshot: nothing has changed by this call,
     *     and the stored snapshot is in force if it can be used
     */
    public boolean change(String section, JsonElement content, SettingsSection.Installation installation) throws Exception {
        String refusal = callOnEventLoop(ownership::beginChange);
        if (refusal != null) {
            throw new SettingsNotOwnedException(refusal);
        }
        Snapshot before = store.current();
        CompletableFuture<Void> followed;
        boolean stored;
        try {
            stored = store.replace(before.with(section, content));
            installation.install();
        } catch (SnapshotConflictException e) {
            adoptStored();
            throw e;
        } finally {
            Snapshot after = store.current();
            String changed = after == before ? null : after.line();
            followed = callOnEventLoop(() -> ownership.endChange(changed, after.revision()));
        }
        awaitFollower(followed);
        return stored;
    }

    private void adoptStored() throws Exception {
        try {
            reload();
        } catch (SnapshotException e) {
            Logger.error("The settings that another process has stored are not used: {}", e.getMessage());
        }
    }

    private static void awaitFollower(CompletableFuture<Void> followed) throws InterruptedException, ExecutionException {
        try {
            followed.get(FOLLOWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            Logger.warn("The other process of this dispatcher does not have the latest change of settings in force yet");
        }
    }

    /**
     * Puts a snapshot in force that another process has sent, unless it is older than the current one or the same.
     *
     * @throws SnapshotException if it can't be used: the current one stays in force
     */
    public void adopt(String text) throws Exception {
        Snapshot snapshot = store.parse(text);
        if (snapshot.revision() > store.current().revision()) {
            install(snapshot, () -> store.adopt(snapshot));
        }
    }

    /**
     * Reads the file again and puts its snapshot in force if another process has stored a newer one.
     *
     * @throws SnapshotException if it can't be used: the current one stays in force
     */
    public void reload() throws Exception {
        Snapshot snapshot = store.readChanged();
        if (snapshot != null) {
            install(snapshot, () -> store.adoptStored(snapshot));
        }
    }

    /**
     * Does the same as {@link #reload} if the file has been replaced, as by a process that this one has no link to.
     *
     * @throws SnapshotException if it can't be used: the current one stays in force
     */
    public void reloadIfReplaced() throws Exception {
        if (store.isFileReplaced()) {
            reload();
        }
    }

    private void install(Snapshot snapshot, Runnable adoption) throws Exception {
        List<SettingsSection.Installation> installations = new ArrayList<>();
        for (SettingsSection section : sections) {
            installations.add(section.prepare(snapshot));
        }
        adoption.run();
        for (SettingsSection.Installation installation : installations) {
            installation.install();
        }
        Logger.info("settings revision {} of another process is in force", snapshot.revision());
    }
}

package badgermux;

import badgermux.config.Config;
import badgermux.core.Deadlines;
import badgermux.core.Engine;
import badgermux.decide.DispatchPolicy.LearnedState;
import badgermux.upgrade.LearnedStateFile;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import org.tinylog.Logger;

/**
 * Preserves the decision module's learned state across restarts, if there is a folder for it. The state is read at startup,
 * saved every two seconds in case the process is killed, and saved once more at exit. Without it, if all dispatchers of a
 * fleet restarted at once, none would know the run time of any class and none would send to cold backends, at a load of one
 * request a second for each dispatcher.
 */
final class LearnedStateStore {
    /** The interval between saves: a killed process loses at most what was learned in this time. */
    private static final long SAVE_INTERVAL_MICROS = 2_000_000;
    /** How long the exit waits for the last save. A write takes one or two milliseconds. */
    private static final long FINAL_SAVE_TIMEOUT_MICROS = 200_000;

    /** Null where nothing is read or saved. */
    private final LearnedStateFile file;
    private final LearnedState previousState;
    /** Writes the file, because the event loop must not wait for the disk. */
    private final ExecutorService writer;
    private final AtomicBoolean writePending = new AtomicBoolean();
    private Engine<?> engine;
    private boolean failureLogged;

    /** Reads the state that the previous process left in {@code folder}; if it is null, nothing is read or saved. */
    LearnedStateStore(String folder, Config config) {
        file = folder == null || folder.isBlank() ? null : new LearnedStateFile(Path.of(folder,
            "badgermux-" + config.name().replaceAll("[^A-Za-z0-9_.-]", "_")), config.settingsFingerprint());
        previousState = file == null ? null : file.read(System.currentTimeMillis());
        writer = file == null ? null : Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "learnt");
            thread.setDaemon(true);
            return thread;
        });
    }

    /**
     * Imports the previous state and starts the periodic saves. Called on the event loop, once the engine has its backend
     * list.
     */
    void attach(Engine<?> newEngine, Deadlines deadlines) {
        engine = newEngine;
        if (previousState != null) {
            engine.importLearnedState(previousState);
            Logger.info("Restored the learned state of the previous process{}",
                previousState.recentSends() == null ? ", which was killed" : "");
        }
        if (file != null) {
            deadlines.scheduleAfter(SAVE_INTERVAL_MICROS, () -> savePeriodically(deadlines));
        }
    }

    private void savePeriodically(Deadlines deadlines) {
        // Skipped while a write is pending: otherwise the queue would grow without bound where the file system hangs.
        if (!writePending.get()) {
            save(false);
        }
        deadlines.scheduleAfter(SAVE_INTERVAL_MICROS, () -> savePeriodically(deadlines));
    }

    private void save(boolean ended) {
        LearnedState state = engine.exportLearnedState();
        writePending.set(true);
        writer.execute(() -> {
            try {
                file.write(state, ended, System.currentTimeMillis());
            } catch (IOException e) {
                if (!failureLogged) {
                    Logger.warn("Failed to save the learned state: {}", e.toString());
                }
                failureLogged = true;
            } finally {
                writePending.set(false);
            }
        });
    }

    /**
     * Saves the state for the last time and then runs {@code onSaved}, at the latest after
     * {@link #FINAL_SAVE_TIMEOUT_MICROS} if the file system hangs: all requests are answered by now, and the process is
     * expected to exit. Called on the event loop; {@code onSaved} may run twice.
     */
    void saveAtExit(Deadlines deadlines, Runnable onSaved) {
        if (file == null || engine == null) {
            onSaved.run();
            return;
        }
        save(true);
        writer.execute(onSaved);
        deadlines.scheduleAfter(FINAL_SAVE_TIMEOUT_MICROS, onSaved);
    }
}

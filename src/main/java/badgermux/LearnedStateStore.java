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
 * Has what the module learns outlast the process, where there is a folder for it: read at the start, kept every two
 * seconds in case we are killed, and at the end. A fleet whose dispatchers are all started anew would else know no run
 * time of any class, and send nothing to cold runners, while each of them gets a request a second.
 */
final class LearnedStateStore {
    /** How often it is kept, in microseconds: a kill loses so much of what was learnt. */
    private static final long SAVE_INTERVAL_MICROS = 2_000_000;
    /** How long the end waits for it at most, in microseconds: a write takes a millisecond or two. */
    private static final long FINAL_SAVE_TIMEOUT_MICROS = 200_000;

    private final LearnedStateFile file;
    private final LearnedState previousState;
    /** The event loop waits for no disk. */
    private final ExecutorService writer;
    private final AtomicBoolean writePending = new AtomicBoolean();
    private Engine<?> engine;
    private boolean failureLogged;

    /** Reads what the process before left in {@code folder}, which may be null: then nothing is read or kept. */
    LearnedStateStore(String folder, Config config) {
        file = folder == null || folder.isBlank() ? null : new LearnedStateFile(Path.of(folder,
            "badgermux-" + config.name().replaceAll("[^A-Za-z0-9_.-]", "_")), config.settingsFingerprint());
        previousState = file == null ? null : file.read(System.currentTimeMillis());
        writer = file == null ? null : Executors.newSingleThreadExecutor(work -> {
            Thread thread = new Thread(work, "learnt");
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Called on the event loop, once the module has its list. */
    void attach(Engine<?> of, Deadlines deadlines) {
        engine = of;
        if (previousState != null) {
            engine.importLearnedState(previousState);
            Logger.info("going on from what the process before has learnt{}", previousState.recentSends() == null ? ", which was killed" : "");
        }
        if (file != null) {
            deadlines.scheduleAfter(SAVE_INTERVAL_MICROS, () -> savePeriodically(deadlines));
        }
    }

    private void savePeriodically(Deadlines deadlines) {
        // Guards against a folder that hangs: what waits to be written does not grow.
        if (!writePending.get()) {
            save(false);
        }
        deadlines.scheduleAfter(SAVE_INTERVAL_MICROS, () -> savePeriodically(deadlines));
    }

    private void save(boolean ended) {
        LearnedState left = engine.exportLearnedState();
        writePending.set(true);
        writer.execute(() -> {
            try {
                file.write(left, ended, System.currentTimeMillis());
            } catch (IOException e) {
                if (!failureLogged) {
                    Logger.warn("what was learnt is not kept beyond this process: {}", e.toString());
                }
                failureLogged = true;
            } finally {
                writePending.set(false);
            }
        });
    }

    /**
     * Keeps it for the last time, and runs {@code then} when it is kept, or after {@link #FINAL_SAVE_TIMEOUT_MICROS} where the folder hangs:
     * all is answered by now, and the process is expected to end. Called on the event loop; {@code then} may run twice.
     */
    void saveAtExit(Deadlines deadlines, Runnable then) {
        if (file == null || engine == null) {
            then.run();
            return;
        }
        save(true);
        writer.execute(then);
        deadlines.scheduleAfter(FINAL_SAVE_TIMEOUT_MICROS, then);
    }
}

package badgermux.upgrade;

import badgermux.decide.DispatchPolicy.LearnedState;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import org.tinylog.Logger;

/**
 * The file in which a process leaves its learned state for the next one. It has two lines: a header with the settings and
 * the time, and the {@link LearnedStateCodec encoded state}. The file is replaced as a whole, so a crash leaves the previous
 * version. Methods block and must be called by one thread at a time.
 */
public final class LearnedStateFile {
    /** Older files are ignored: free slots and loads of more than a minute ago are no longer useful. */
    static final long MAX_AGE_MILLIS = 60_000;
    /** Larger files are ignored: this program writes none of that size. */
    private static final long MAX_FILE_BYTES = 4 << 20;

    private final Path file;
    private final String settingsFingerprint;

    /**
     * Sets the file's path; nothing is read or created yet.
     *
     * @param folder              the folder of the file, created on the first write
     * @param settingsFingerprint hash of all settings; a state learned under other settings is not read
     */
    public LearnedStateFile(Path folder, String settingsFingerprint) {
        file = folder.resolve("learnt");
        this.settingsFingerprint = settingsFingerprint;
    }

    /**
     * Returns the state that the previous process left; null if there is none, or if it is too old or was learned under other
     * settings. If that process may have been killed, its last sends are not known, and {@code recentSends} is null.
     *
     * @param nowMillis Unix time in milliseconds
     */
    public LearnedState read(long nowMillis) {
        try {
            if (!Files.isRegularFile(file) || Files.size(file) > MAX_FILE_BYTES) {
                return null;
            }
            String[] lines = Files.readString(file).split("\n");
            JsonObject header = JsonParser.parseString(lines[0]).getAsJsonObject();
            long ageMillis = nowMillis - header.get("at").getAsLong();
            if (lines.length < 2 || !header.get("of").getAsString().equals(settingsFingerprint) || ageMillis < 0
                    || ageMillis > MAX_AGE_MILLIS) {
                return null;
            }
            LearnedState state = LearnedStateCodec.decode(lines[1], settingsFingerprint);
            return header.get("ended").getAsBoolean() ? state : new LearnedState(state.statistics(), null);
        } catch (IOException | RuntimeException e) {
            // Not fatal: the process starts without a learned state.
            Logger.warn("Failed to read the learned state of the previous process: {}", e.toString());
            return null;
        }
    }

    /**
     * Writes the state.
     *
     * @param ended     whether this process sends no more requests
     * @param nowMillis Unix time in milliseconds
     * @throws IOException if it can't be written; the previous file is kept
     */
    public void write(LearnedState state, boolean ended, long nowMillis) throws IOException {
        JsonObject header = new JsonObject();
        header.addProperty("of", settingsFingerprint);
        header.addProperty("at", nowMillis);
        header.addProperty("ended", ended);
        Files.createDirectories(file.getParent());
        Path newFile = file.resolveSibling("learnt.new");
        Files.write(newFile,
            (header + "\n" + LearnedStateCodec.encode(state, settingsFingerprint) + "\n").getBytes(StandardCharsets.UTF_8));
        Files.move(newFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}

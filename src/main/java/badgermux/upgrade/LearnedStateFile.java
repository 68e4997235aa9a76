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
 * What the module has learnt, kept for the process that is started after this one: two lines, of what it was learnt and
 * when, and the {@link LearnedStateCodec heritage}. The file is replaced whole, so that a crash leaves the one before. Used by
 * one thread at a time, which may block.
 */
public final class LearnedStateFile {
    /** Free slots and loads of a minute ago tell nothing; in milliseconds. */
    static final long MAX_AGE_MILLIS = 60_000;
    /** More than any heritage takes; a larger file is none of ours. */
    private static final long MAX_FILE_BYTES = 4 << 20;

    private final Path file;
    private final String settingsFingerprint;

    /**
     * Names the file; nothing is read or made yet.
     *
     * @param folder where it is kept, made when it is first written
     * @param of     the fingerprint of all settings: what was learnt under others is not read
     */
    public LearnedStateFile(Path folder, String of) {
        file = folder.resolve("learnt");
        this.settingsFingerprint = of;
    }

    /**
     * What the process before left; null where it left nothing, long ago, or under other settings. Where that process may
     * have been killed, what it sent last is not known: then the pushes are null.
     *
     * @param now Unix time in milliseconds
     */
    public LearnedState read(long now) {
        try {
            if (!Files.isRegularFile(file) || Files.size(file) > MAX_FILE_BYTES) {
                return null;
            }
            String[] lines = Files.readString(file).split("\n");
            JsonObject head = JsonParser.parseString(lines[0]).getAsJsonObject();
            long age = now - head.get("at").getAsLong();
            if (lines.length < 2 || !head.get("of").getAsString().equals(settingsFingerprint) || age < 0 || age > MAX_AGE_MILLIS) {
                return null;
            }
            LearnedState left = LearnedStateCodec.decode(lines[1], settingsFingerprint);
            return head.get("ended").getAsBoolean() ? left : new LearnedState(left.statistics(), null);
        } catch (IOException | RuntimeException e) {
            // Guards against a start that fails for it: nothing is learnt from a file that can't be read.
            Logger.warn("what the process before has learnt can't be read: {}", e.toString());
            return null;
        }
    }

    /**
     * Keeps what was learnt.
     *
     * @param now   Unix time in milliseconds
     * @param ended whether this process sends nothing any more
     * @throws IOException where it can't be kept; the file before stays
     */
    public void write(LearnedState left, boolean ended, long now) throws IOException {
        JsonObject head = new JsonObject();
        head.addProperty("of", settingsFingerprint);
        head.addProperty("at", now);
        head.addProperty("ended", ended);
        Files.createDirectories(file.getParent());
        Path next = file.resolveSibling("learnt.new");
        Files.write(next, (head + "\n" + LearnedStateCodec.encode(left, settingsFingerprint) + "\n").getBytes(StandardCharsets.UTF_8));
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}

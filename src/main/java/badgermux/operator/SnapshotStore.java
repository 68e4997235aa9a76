package badgermux.operator;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import java.util.Set;
import org.tinylog.Logger;

/**
 * Holds the current snapshot and stores it in a file. A write goes to a temporary file in the same folder, is forced to disk and
 * renamed, so that a crash leaves either the old or the new file. Methods block and must be called by one thread.
 */
public final class SnapshotStore {
    /** Null where nothing is stored. */
    private final Path file;
    private Snapshot current;
    private boolean failureLogged;

    private SnapshotStore(Path file, Snapshot current) {
        this.file = file;
        this.current = current;
    }

    /**
     * Opens the store and reads its file. A file that does not exist is read as an empty snapshot.
     *
     * @param file     the file; null where nothing is stored
     * @param sections the names of the sections that this program supports
     * @throws SnapshotException if the file exists but can't be used; the message has its name
     */
    public static SnapshotStore open(Path file, Set<String> sections) throws SnapshotException {
        if (file == null) {
            return new SnapshotStore(null, new Snapshot(0, Map.of()));
        }
        try {
            return new SnapshotStore(file, Snapshot.read(Files.readString(file), sections));
        } catch (NoSuchFileException e) {
            return new SnapshotStore(file, new Snapshot(0, Map.of()));
        } catch (IOException e) {
            throw new SnapshotException("snapshot " + file + " can't be read");
        } catch (SnapshotException e) {
            throw new SnapshotException("snapshot " + file + " can't be used: " + e.getMessage());
        }
    }

    public Snapshot current() {
        return current;
    }

    /**
     * Makes a snapshot the current one and writes it to the file.
     *
     * @return whether it was written; if not, it is current all the same, and the first such failure is logged
     */
    public boolean replace(Snapshot next) {
        current = next;
        if (file == null) {
            return false;
        }
        try {
            write(next.text());
            failureLogged = false;
            return true;
        } catch (IOException e) {
            if (!failureLogged) {
                failureLogged = true;
                Logger.warn("Snapshot {} can't be written ({}); the settings last until the program ends", file,
                    e.getClass().getSimpleName());
            }
            return false;
        }
    }

    private void write(String text) throws IOException {
        Path folder = file.toAbsolutePath().getParent();
        Path temporary = folder.resolve(file.getFileName() + ".new");
        try (FileChannel out = FileChannel.open(temporary, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
            while (bytes.hasRemaining()) {
                out.write(bytes);
            }
            out.force(true);
        }
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        // Forces the rename to disk, too; otherwise a crash could undo it.
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);
        }
    }
}

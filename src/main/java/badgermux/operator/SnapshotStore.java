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
 * Keeps the snapshot and its file in step. Used by one thread, which may block. A write goes to a temporary file beside
 * it, is forced to disk and renamed, so that a crash leaves the old file or the new one.
 */
public final class SnapshotStore {
    private final Path file;
    private Snapshot current;
    private boolean failureLogged;

    private SnapshotStore(Path file, Snapshot current) {
        this.file = file;
        this.current = current;
    }

    /**
     * Opens it; {@code file} is null where nothing is kept. A file that does not exist yet is an empty snapshot.
     *
     * @throws SnapshotException for a file that is there and can't be used, with its name in the message
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
            throw new SnapshotException("snapshot " + file + " is not used: " + e.getMessage());
        }
    }

    public Snapshot current() {
        return current;
    }

    /**
     * Makes a snapshot the current one and writes it; false where it could not be written, which the log says the first
     * time. It counts all the same.
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
                Logger.warn("snapshot {} can't be written ({}); what is set counts until the program ends", file,
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
        // Guards against a crash that forgets the rename.
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);
        }
    }
}

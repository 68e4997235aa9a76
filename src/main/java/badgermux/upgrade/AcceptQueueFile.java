package badgermux.upgrade;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/**
 * The file in which a process that stops accepting tells the next one since when clients may have waited in the queue of the
 * listening socket that both hold. It has one line, a Unix time in milliseconds, and is replaced as a whole. Methods block.
 */
public final class AcceptQueueFile {
    /** A Unix time in milliseconds has 13 digits. */
    private static final int MAX_FILE_BYTES = 32;

    private final Path file;

    /** Sets the file's path; nothing is read or created yet. */
    public AcceptQueueFile(Path folder) {
        file = folder.resolve("accept-queue");
    }

    /**
     * Returns since when clients may have waited, as Unix time in milliseconds; 0 if that is unknown. A time that is older than
     * need be is safe: it is the earliest possible.
     */
    public long readMillis() {
        try {
            if (!Files.isRegularFile(file) || Files.size(file) > MAX_FILE_BYTES) {
                return 0;
            }
            return Math.max(0, Long.parseLong(Files.readString(file, StandardCharsets.US_ASCII).strip()));
        } catch (IOException | NumberFormatException e) {
            return 0;
        }
    }

    /**
     * Writes a time.
     *
     * @throws IOException if it can't be written; the previous file is kept
     */
    public void writeMillis(long millis) throws IOException {
        Files.createDirectories(file.getParent());
        Path newFile = file.resolveSibling("accept-queue.new");
        Files.writeString(newFile, millis + "\n", StandardCharsets.US_ASCII);
        Files.move(newFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}

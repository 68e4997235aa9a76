package badgermux.operator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import org.tinylog.Logger;

/**
 * Keeps the runners that are cordoned beyond the process: a file for each, its name the id in hexadecimal, in one
 * folder for those that are out and one for those that came back, whose file says since when they had been out. To make or to remove a file is one step, so that a
 * crash leaves the set before or after a call, and two processes that overlap don't undo each other's calls. Used by one
 * thread, which may block.
 */
public final class CordonStore {
    private final Path cordoned;
    private final Path returned;

    private CordonStore(Path folder) {
        cordoned = folder.resolve("out");
        returned = folder.resolve("back");
    }

    /**
     * Opens it, or makes it.
     *
     * @throws IOException where nothing can be kept there
     */
    public static CordonStore open(Path folder) throws IOException {
        CordonStore opened = new CordonStore(folder);
        Files.createDirectories(opened.cordoned);
        Files.createDirectories(opened.returned);
        return opened;
    }

    /** The runners that are out, and since when, as Unix time in milliseconds. A file whose name is no id is left alone. */
    public Map<String, Long> cordoned() throws IOException {
        return readFolder(cordoned);
    }

    /** When runners were away, as Unix times in milliseconds; those back before {@code since} are forgotten. */
    public Map<String, long[]> returned(long since) throws IOException {
        Map<String, long[]> absences = new HashMap<>();
        for (Map.Entry<String, Long> file : readFolder(returned).entrySet()) {
            Path path = returned.resolve(fileName(file.getKey()));
            if (file.getValue() < since) {
                Files.deleteIfExists(path);
            } else {
                absences.put(file.getKey(), new long[] {readCordonedAt(path, file.getValue()), file.getValue()});
            }
        }
        return absences;
    }

    /** When a runner that is back was taken out; where that can't be read, its return counts. */
    private static long readCordonedAt(Path file, long otherwise) throws IOException {
        try {
            return Long.parseLong(Files.readString(file).strip());
        } catch (NumberFormatException e) {
            return otherwise;
        }
    }

    /** Keeps that a runner is out. */
    public void cordon(String id) throws IOException {
        Path file = cordoned.resolve(fileName(id));
        if (!Files.exists(file)) {
            Files.write(file, new byte[0]);
        }
    }

    /** Keeps that a runner has come back that was taken out at a time; a crash halfway leaves it out. */
    public void uncordon(String id, long from) throws IOException {
        Files.writeString(returned.resolve(fileName(id)), Long.toString(from));
        Files.deleteIfExists(cordoned.resolve(fileName(id)));
    }

    private static String fileName(String id) {
        return HexFormat.of().formatHex(id.getBytes(StandardCharsets.UTF_8));
    }

    private static Map<String, Long> readFolder(Path folder) throws IOException {
        Map<String, Long> ids = new HashMap<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
            for (Path file : files) {
                try {
                    String name = file.getFileName().toString();
                    ids.put(new String(HexFormat.of().parseHex(name), StandardCharsets.UTF_8),
                        Files.getLastModifiedTime(file).toMillis());
                } catch (IllegalArgumentException e) {
                    Logger.warn("{} is no runner taken out by hand: its name is no id in hexadecimal", file);
                } catch (NoSuchFileException e) {
                    // put back by the other process meanwhile
                }
            }
        }
        return ids;
    }
}

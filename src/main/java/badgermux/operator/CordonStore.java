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
 * Stores operators' cordons on disk, so that they outlast the process. One folder has a file for each cordoned backend,
 * another a file for each backend that has returned, which holds the time of its cordon. A file's name is the backend's id in
 * hexadecimal. Creating or removing a file is atomic: a crash leaves the state before or after an update, and two processes
 * that overlap don't undo each other's updates. Methods block and must be called by one thread.
 */
public final class CordonStore {
    private final Path cordonedFolder;
    private final Path returnedFolder;

    private CordonStore(Path folder) {
        cordonedFolder = folder.resolve("out");
        returnedFolder = folder.resolve("back");
    }

    /**
     * Opens the store and creates its folders if they don't exist.
     *
     * @throws IOException if a folder can't be created
     */
    public static CordonStore open(Path folder) throws IOException {
        CordonStore opened = new CordonStore(folder);
        Files.createDirectories(opened.cordonedFolder);
        Files.createDirectories(opened.returnedFolder);
        return opened;
    }

    /**
     * Returns the ids of the cordoned backends with the Unix time in milliseconds of the cordon. A file whose name is not an id
     * in hexadecimal is ignored.
     */
    public Map<String, Long> cordoned() throws IOException {
        return readFolder(cordonedFolder);
    }

    /**
     * Returns the ids of the backends that have returned, with the Unix times in milliseconds of their cordon and return.
     * Removes those that returned before {@code sinceMillis}.
     */
    public Map<String, long[]> returned(long sinceMillis) throws IOException {
        Map<String, long[]> absences = new HashMap<>();
        for (Map.Entry<String, Long> file : readFolder(returnedFolder).entrySet()) {
            Path path = returnedFolder.resolve(fileName(file.getKey()));
            if (file.getValue() < sinceMillis) {
                Files.deleteIfExists(path);
            } else {
                absences.put(file.getKey(), new long[] {readCordonedAt(path, file.getValue()), file.getValue()});
            }
        }
        return absences;
    }

    /** Returns the time of a returned backend's cordon; where the file has none, the time of its return. */
    private static long readCordonedAt(Path file, long returnedAt) throws IOException {
        try {
            return Long.parseLong(Files.readString(file).strip());
        } catch (NumberFormatException e) {
            return returnedAt;
        }
    }

    /** Stores that a backend is cordoned. Keeps the time of an earlier cordon. */
    public void cordon(String id) throws IOException {
        Path file = cordonedFolder.resolve(fileName(id));
        if (!Files.exists(file)) {
            Files.write(file, new byte[0]);
        }
    }

    /** Stores that a backend has returned. A crash between the two steps leaves it cordoned. */
    public void uncordon(String id, long cordonedAtMillis) throws IOException {
        Files.writeString(returnedFolder.resolve(fileName(id)), Long.toString(cordonedAtMillis));
        Files.deleteIfExists(cordonedFolder.resolve(fileName(id)));
    }

    private static String fileName(String id) {
        return HexFormat.of().formatHex(id.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the ids that the files are named after, with the files' modification times as Unix time in milliseconds. */
    private static Map<String, Long> readFolder(Path folder) throws IOException {
        Map<String, Long> ids = new HashMap<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
            for (Path file : files) {
                try {
                    String name = file.getFileName().toString();
                    ids.put(new String(HexFormat.of().parseHex(name), StandardCharsets.UTF_8),
                        Files.getLastModifiedTime(file).toMillis());
                } catch (IllegalArgumentException e) {
                    Logger.warn("Ignored {}: its name is not a backend id in hexadecimal", file);
                } catch (NoSuchFileException e) {
                    // the other process of a hot restart has removed the file
                }
            }
        }
        return ids;
    }
}

package badgermux.operator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.Map;
import java.util.Set;
import org.tinylog.Logger;

/**
 * Keeps the runners that are out by hand beyond the process: an empty file for each, its name the id in hexadecimal, in
 * one folder for those that are out and one for those that came back. To make or to remove a file is one step, so that a
 * crash leaves the set before or after a call, and two processes that overlap don't undo each other's calls. Used by one
 * thread, which may block.
 */
public final class OutFolder {
    private final Path out;
    private final Path back;

    private OutFolder(Path folder) {
        out = folder.resolve("out");
        back = folder.resolve("back");
    }

    /**
     * Opens it, or makes it.
     *
     * @throws IOException where nothing can be kept there
     */
    public static OutFolder open(Path folder) throws IOException {
        OutFolder opened = new OutFolder(folder);
        Files.createDirectories(opened.out);
        Files.createDirectories(opened.back);
        return opened;
    }

    /** The ids of the runners that are out. A file whose name is no id is told in the log, and left alone. */
    public Set<String> out() throws IOException {
        return new HashSet<>(read(out).keySet());
    }

    /** When runners came back, as Unix time in milliseconds; those before {@code since} are forgotten. */
    public Map<String, Long> back(long since) throws IOException {
        Map<String, Long> times = read(back);
        for (String id : Set.copyOf(times.keySet())) {
            if (times.get(id) < since) {
                times.remove(id);
                Files.deleteIfExists(back.resolve(name(id)));
            }
        }
        return times;
    }

    /** Keeps that a runner is out. */
    public void takeOut(String id) throws IOException {
        touch(out.resolve(name(id)));
    }

    /** Keeps that a runner has come back; a crash halfway leaves it out. */
    public void putBack(String id) throws IOException {
        Path file = back.resolve(name(id));
        Files.deleteIfExists(file);
        touch(file);
        Files.deleteIfExists(out.resolve(name(id)));
    }

    private static void touch(Path file) throws IOException {
        if (!Files.exists(file)) {
            Files.write(file, new byte[0]);
        }
    }

    private static String name(String id) {
        return HexFormat.of().formatHex(id.getBytes(StandardCharsets.UTF_8));
    }

    private static Map<String, Long> read(Path folder) throws IOException {
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

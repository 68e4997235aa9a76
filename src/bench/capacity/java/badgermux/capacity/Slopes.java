package badgermux.capacity;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonParseException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * All measured slopes, and the runs that gave them, as {@code docs/capacity/slopes.json} holds them.
 *
 * @param runs   the runs, by their names
 * @param slopes the slopes
 */
public record Slopes(List<Run> runs, List<Slope> slopes) {
    private static final Gson GSON = new GsonBuilder().setPrettyPrinting().disableHtmlEscaping().create();

    /**
     * One run of a measuring program.
     *
     * @param name    its name in {@link Slope#run}
     * @param command what was run
     * @param date    when it ended, as an ISO time in UTC
     * @param machine cores, Java version and the machine's load while it ran
     * @param how     what was measured with, and what the figures leave out
     */
    public record Run(String name, String command, String date, String machine, String how) { }

    /** Reads a file; a file that is missing is empty. */
    public static Slopes read(Path file) throws IOException {
        if (!Files.exists(file)) {
            return new Slopes(List.of(), List.of());
        }
        Slopes read = GSON.fromJson(Files.readString(file), Slopes.class);
        if (read == null || read.runs == null || read.slopes == null) {
            throw new JsonParseException(file + " has no runs or no slopes");
        }
        return read;
    }

    /** Writes a file. */
    public void write(Path file) throws IOException {
        Files.writeString(file, GSON.toJson(this) + "\n");
    }

    /** These, with a run and what it measured in place of what that run, or another of the same costs, gave before. */
    public Slopes withRun(Run run, List<Slope> measured) {
        List<Run> newRuns = new ArrayList<>(runs.stream().filter(old -> !old.name().equals(run.name())).toList());
        newRuns.add(run);
        Set<String> anew = measured.stream().map(Slope::name).collect(Collectors.toSet());
        List<Slope> newSlopes = new ArrayList<>(slopes.stream()
            .filter(old -> !old.run().equals(run.name()) && !anew.contains(old.name())).toList());
        newSlopes.addAll(measured);
        return new Slopes(newRuns, newSlopes);
    }

    /** The slope of a name; an exception that names it where there is none. */
    public Slope get(String name) {
        return slopes.stream().filter(slope -> slope.name().equals(name)).findFirst()
            .orElseThrow(() -> new IllegalArgumentException("no slope " + name + " was measured"));
    }
}

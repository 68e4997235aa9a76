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
 * All measured slopes and the runs that measured them: the contents of {@code docs/capacity/slopes.json}.
 *
 * @param runs   the runs, each with a different name
 * @param slopes the slopes, each with a different name
 */
public record Slopes(List<Run> runs, List<Slope> slopes) {
    private static final Gson GSON = new GsonBuilder().setPrettyPrinting().disableHtmlEscaping().create();

    /**
     * One run of a measuring program.
     *
     * @param name    the name to which {@link Slope#run} refers
     * @param command the command line
     * @param date    end of the run, as an ISO 8601 time in UTC
     * @param machine number of cores, Java version and load average of the machine during the run
     * @param how     how the figures were measured, and what they leave out
     */
    public record Run(String name, String command, String date, String machine, String how) { }

    /** Reads a JSON file. A missing file reads as no runs and no slopes; a file without one of the two arrays is an error. */
    public static Slopes read(Path file) throws IOException {
        if (!Files.exists(file)) {
            return new Slopes(List.of(), List.of());
        }
        Slopes read = GSON.fromJson(Files.readString(file), Slopes.class);
        if (read == null || read.runs == null || read.slopes == null) {
            throw new JsonParseException(file + " lacks runs or slopes");
        }
        return read;
    }

    /** Writes a JSON file. */
    public void write(Path file) throws IOException {
        Files.writeString(file, GSON.toJson(this) + "\n");
    }

    /**
     * Returns a copy with a run and the slopes that it measured. They replace an earlier run of that name with its slopes,
     * and slopes of the same names from other runs.
     */
    public Slopes withRun(Run run, List<Slope> measured) {
        List<Run> newRuns = new ArrayList<>(runs.stream().filter(old -> !old.name().equals(run.name())).toList());
        newRuns.add(run);
        Set<String> measuredNames = measured.stream().map(Slope::name).collect(Collectors.toSet());
        List<Slope> newSlopes = new ArrayList<>(slopes.stream()
            .filter(old -> !old.run().equals(run.name()) && !measuredNames.contains(old.name())).toList());
        newSlopes.addAll(measured);
        return new Slopes(newRuns, newSlopes);
    }

    /**
     * Returns the slope of a name.
     *
     * @throws IllegalArgumentException if there is no slope of that name
     */
    public Slope get(String name) {
        return slopes.stream().filter(slope -> slope.name().equals(name)).findFirst()
            .orElseThrow(() -> new IllegalArgumentException("slope " + name + " has not been measured"));
    }
}

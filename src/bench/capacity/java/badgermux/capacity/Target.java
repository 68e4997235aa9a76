package badgermux.capacity;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The target and what is assumed beside it, as {@code docs/capacity/target.json} holds them.
 *
 * @param budget      what one dispatcher may spend for control
 * @param dispatchers the numbers of dispatchers that are worked out; all guessed
 * @param values      all other figures
 */
public record Target(Budget budget, List<Integer> dispatchers, List<Value> values) {
    /**
     * What one dispatcher may spend for control, and the two times that are promised.
     *
     * @param coreShare      the part of one core
     * @param memoryBytes    resident memory
     * @param bytesPerSecond bytes in both directions
     * @param changeSeconds  until a change of configuration is in force everywhere
     * @param urgentSeconds  until urgent work starts
     */
    public record Budget(double coreShare, double memoryBytes, double bytesPerSecond, double changeSeconds,
            double urgentSeconds) { }

    /** A figure: {@code from} says whether the target names it, or a page, or whether it is a guess. */
    public record Value(String name, double value, String unit, String from) { }

    /** Reads a file. */
    public static Target read(Path file) throws IOException {
        Target read = new Gson().fromJson(Files.readString(file), Target.class);
        if (read == null || read.budget == null || read.dispatchers == null || read.values == null) {
            throw new JsonParseException(file + " lacks budget, dispatchers or values");
        }
        return read;
    }

    /** The figure of a name; an exception that names it where there is none. */
    public double get(String name) {
        return values.stream().filter(value -> value.name().equals(name)).mapToDouble(Value::value).findFirst()
            .orElseThrow(() -> new IllegalArgumentException("the target has no figure " + name));
    }
}

package badgermux.capacity;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The capacity target and further assumptions: the contents of {@code docs/capacity/target.json}.
 *
 * @param budget      what one dispatcher may spend on control
 * @param dispatchers numbers of dispatchers for which demands are computed; all of them are guesses
 * @param values      all other figures
 */
public record Target(Budget budget, List<Integer> dispatchers, List<Value> values) {
    /**
     * What one dispatcher may spend on control, and the two response times that the target promises.
     *
     * @param coreShare      share of one core
     * @param memoryBytes    resident memory
     * @param bytesPerSecond bytes a second in both directions together
     * @param changeSeconds  time until a change of configuration is in force on all dispatchers
     * @param urgentSeconds  time until urgent work starts
     */
    public record Budget(double coreShare, double memoryBytes, double bytesPerSecond, double changeSeconds,
            double urgentSeconds) { }

    /**
     * A named figure.
     *
     * @param from source of the figure: the target, a page, or a guess
     */
    public record Value(String name, double value, String unit, String from) { }

    /** Reads a JSON file; a file without budget, dispatchers or values is an error. */
    public static Target read(Path file) throws IOException {
        Target read = new Gson().fromJson(Files.readString(file), Target.class);
        if (read == null || read.budget == null || read.dispatchers == null || read.values == null) {
            throw new JsonParseException(file + " lacks budget, dispatchers or values");
        }
        return read;
    }

    /**
     * Returns the figure of a name.
     *
     * @throws IllegalArgumentException if there is no figure of that name
     */
    public double get(String name) {
        return values.stream().filter(value -> value.name().equals(name)).mapToDouble(Value::value).findFirst()
            .orElseThrow(() -> new IllegalArgumentException("the target has no figure " + name));
    }
}

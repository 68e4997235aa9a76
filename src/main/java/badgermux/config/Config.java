package badgermux.config;

import badgermux.core.Names;
import badgermux.decide.Dispatch;
import badgermux.discovery.ListDecoder;
import badgermux.http.Address;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * All that a dispatcher is told at its start, checked and with defaults.
 *
 * @param name            its name
 * @param listen          where clients connect
 * @param discovery       where discovery answers
 * @param admin           where operators call; null where they can't
 * @param inherits        whether clients connect to a listening socket that is held for us, descriptor 0
 * @param seed            for random numbers
 * @param sockets         how many descriptors the process may hold
 * @param memoryMb        how much memory the process may take, in MB
 * @param known           the list as last held
 * @param settings        the module's settings
 * @param zones           the names of the zones, in the module's order
 * @param kinds           the names of the kinds of backends, in the module's order
 * @param connectTimeout  how long a connection may take to come up, in microseconds
 * @param fingerprint     of all settings: what was learnt under others is not ours
 */
public record Config(String name, InetSocketAddress listen, InetSocketAddress discovery, InetSocketAddress admin,
        boolean inherits, long seed, int sockets, int memoryMb, ListDecoder.Listing known, Dispatch.Settings settings,
        List<String> zones, List<String> kinds, long connectTimeout, String fingerprint) {
    private static final int DEFAULT_SOCKETS = 1024, FEWEST_SOCKETS = 128;
    private static final int DEFAULT_MEMORY_MB = 192, LEAST_MEMORY_MB = 32;
    private static final double DEFAULT_CONNECT_TIMEOUT_MS = 250;

    /** Reads the environment, and the file that it names; the environment goes first. */
    public static Config read(Map<String, String> environment) throws ConfigException {
        return read(environment, false);
    }

    /** Reads all again once the file has been replaced: where it names a discovery service, that one goes first. */
    public static Config reread(Map<String, String> environment) throws ConfigException {
        return read(environment, true);
    }

    private static Config read(Map<String, String> environment, boolean again) throws ConfigException {
        String path = environment.get("GW_CONFIG");
        if (path == null || path.isBlank()) {
            throw new ConfigException("GW_CONFIG is not set");
        }
        String text;
        try {
            text = Files.readString(Path.of(path));
        } catch (IOException | InvalidPathException e) {
            throw new ConfigException("GW_CONFIG: " + path + " can't be read");
        }
        JsonObject root;
        try {
            root = JsonParser.parseString(text).getAsJsonObject();
        } catch (JsonParseException | IllegalStateException e) {
            throw new ConfigException("GW_CONFIG: " + path + " is no JSON object");
        }
        Map<String, String> variables = new TreeMap<>(environment);
        if (again && root.has("discovery")) {
            variables.remove("GW_DISCOVERY");
        }
        return new Reader(variables, root).read();
    }

    /** Reads the file's object; what the environment says goes before it. */
    private record Reader(Map<String, String> environment, JsonObject root) {
        Config read() throws ConfigException {
            if (!root.has("settings") || !root.get("settings").isJsonObject()) {
                throw new ConfigException("settings is missing or no object");
            }
            Map<String, String> pairs = new TreeMap<>();
            flatten("", root.get("settings"), pairs);
            Dispatch.Settings settings = settings(pairs);
            once("settings.RequestClasses", settings.classes.stream().map(Dispatch.JobClass::name).toList());
            double connect = number(pairs.get("Ceilings.ConnectTimeoutMs"), "settings.Ceilings.ConnectTimeoutMs",
                DEFAULT_CONNECT_TIMEOUT_MS);
            if (connect <= 0) {
                throw new ConfigException("settings.Ceilings.ConnectTimeoutMs must be above 0");
            }
            return new Config(text("GW_NAME", "name", "dispatcher"), endpoint("GW_LISTEN", "listen"),
                endpoint("GW_DISCOVERY", "discovery"), admin(), inherits(), seed(), sockets(), memoryMb(), known(), settings,
                names(pairs, "FailureDomains"), names(pairs, "Kinds"), Math.round(connect * 1000),
                Names.fingerprint(pairs.toString()));
        }

        /** The settings object in the simulator's form: path=value pairs, plain lists joined, object lists counted. */
        private static void flatten(String path, JsonElement value, Map<String, String> pairs) {
            if (value.isJsonObject()) {
                value.getAsJsonObject().entrySet()
                    .forEach(e -> flatten(path.isEmpty() ? e.getKey() : path + '.' + e.getKey(), e.getValue(), pairs));
            } else if (value.isJsonArray()) {
                JsonArray items = value.getAsJsonArray();
                if (items.isEmpty() || items.get(0).isJsonObject()) {
                    pairs.put(path + ".count", String.valueOf(items.size()));
                    for (int i = 0; i < items.size(); i++) {
                        flatten(path + '.' + i, items.get(i), pairs);
                    }
                }
                if (items.isEmpty() || !items.get(0).isJsonObject()) {
                    pairs.put(path, String.join(",", items.asList().stream().map(Reader::plain).toList()));
                }
            } else if (!value.isJsonNull()) {
                pairs.put(path, plain(value));
            }
        }

        private static String plain(JsonElement value) {
            return value.isJsonPrimitive() ? Names.plain(value.getAsString()) : "";
        }

        private static Dispatch.Settings settings(Map<String, String> pairs) throws ConfigException {
            try {
                return SettingsPairs.parse(pairs).settings().checked();
            } catch (IllegalArgumentException e) {
                throw new ConfigException("settings: " + e.getMessage());
            }
        }

        private static List<String> names(Map<String, String> pairs, String key) throws ConfigException {
            return once("settings." + key, Arrays.asList(pairs.getOrDefault(key, "").split(",")));
        }

        /** Guards against names that can't be told apart, as blanks and commas are read as underscores. */
        private static List<String> once(String key, List<String> names) throws ConfigException {
            if (Names.twice(names) != null) {
                throw new ConfigException(key + " has a name twice: " + Names.twice(names));
            }
            return names;
        }

        private String text(String variable, String key, String otherwise) throws ConfigException {
            String value = environment.get(variable);
            if (value != null && !value.isBlank()) {
                return value;
            }
            if (!root.has(key)) {
                return otherwise;
            }
            if (!root.get(key).isJsonPrimitive()) {
                throw new ConfigException(key + " is no text");
            }
            return root.get(key).getAsString();
        }

        private InetSocketAddress endpoint(String variable, String key) throws ConfigException {
            String value = text(variable, key, null);
            InetSocketAddress address = value == null ? null : Address.parse(value);
            if (address == null) {
                throw new ConfigException(variable + " (" + key + ") "
                    + (value == null ? "is missing" : "is no host:port: " + value));
            }
            return address;
        }

        private InetSocketAddress admin() throws ConfigException {
            return text("GW_ADMIN", "admin", null) == null ? null : endpoint("GW_ADMIN", "admin");
        }

        private boolean inherits() throws ConfigException {
            String number = environment.getOrDefault("GW_SOCKET_FD", "");
            // Java can take over the descriptor of its standard input and no other.
            if (!number.isEmpty() && !number.equals("0")) {
                throw new ConfigException("GW_SOCKET_FD must be 0, the only descriptor that can be inherited: " + number);
            }
            return !number.isEmpty();
        }

        private long seed() throws ConfigException {
            String value = text("", "seed", null);
            try {
                return value == null ? System.nanoTime() : Long.parseUnsignedLong(value, 16);
            } catch (NumberFormatException e) {
                throw new ConfigException("seed is no hexadecimal number: " + value);
            }
        }

        private int sockets() throws ConfigException {
            return limit("sockets", DEFAULT_SOCKETS, FEWEST_SOCKETS);
        }

        private int memoryMb() throws ConfigException {
            return limit("memory_mb", DEFAULT_MEMORY_MB, LEAST_MEMORY_MB);
        }

        /** A limit, which is never taken for more than its default. */
        private int limit(String key, int otherwise, int least) throws ConfigException {
            JsonElement limits = root.get("limits");
            JsonElement value = limits != null && limits.isJsonObject() ? limits.getAsJsonObject().get(key) : null;
            double told = number(value == null ? null : plain(value), "limits." + key, otherwise);
            if (told < least) {
                throw new ConfigException("limits." + key + " must be " + least + " or more");
            }
            return (int) Math.min(told, otherwise);
        }

        private ListDecoder.Listing known() throws ConfigException {
            try {
                return ListDecoder.decode(root.has("known") ? root.get("known").toString() : "{}");
            } catch (JsonParseException e) {
                throw new ConfigException("known is no list: " + e.getMessage().lines().findFirst().orElse(""));
            }
        }

        private static double number(String value, String key, double otherwise) throws ConfigException {
            try {
                double number = value == null ? otherwise : Double.parseDouble(value);
                if (Double.isFinite(number)) {
                    return number;
                }
            } catch (NumberFormatException e) {
                // told below, as for a number that is not finite
            }
            throw new ConfigException(key + " is no number: " + value);
        }
    }
}

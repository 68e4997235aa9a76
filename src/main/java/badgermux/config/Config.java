package badgermux.config;

import badgermux.core.Names;
import badgermux.decide.DispatchPolicy;
import badgermux.discovery.BackendListCodec;
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
 * @param listenAddress          where clients connect
 * @param discoveryAddress       where discovery answers
 * @param adminAddress           where operators call; null where they can't
 * @param inheritsSocket        whether clients connect to a listening socket that is held for us, descriptor 0
 * @param seed            for random numbers
 * @param maxDescriptors         how many descriptors the process may hold
 * @param memoryMb        how much memory the process may take, in MB
 * @param cachedList           the list as last held
 * @param settings        the module's settings
 * @param zoneNames           the names of the zones, in the module's order
 * @param kindNames           the names of the kinds of backends, in the module's order
 * @param connectTimeoutMicros  how long a connection may take to come up, in microseconds
 * @param settingsFingerprint     of all settings: what was learnt under others is not ours
 */
public record Config(String name, InetSocketAddress listenAddress, InetSocketAddress discoveryAddress, InetSocketAddress adminAddress,
        boolean inheritsSocket, long seed, int maxDescriptors, int memoryMb, BackendListCodec.BackendList cachedList, DispatchPolicy.Settings settings,
        List<String> zoneNames, List<String> kindNames, long connectTimeoutMicros, String settingsFingerprint) {
    private static final int DEFAULT_MAX_DESCRIPTORS = 1024, MIN_MAX_DESCRIPTORS = 128;
    private static final int DEFAULT_MEMORY_MB = 192, MIN_MEMORY_MB = 32;
    private static final double DEFAULT_CONNECT_TIMEOUT_MS = 250;

    /** Reads the environment, and the file that it names; the environment goes first. */
    public static Config read(Map<String, String> environment) throws ConfigException {
        return read(environment, false);
    }

    /** Reads all again once the file has been replaced: where it names a discovery service, that one goes first. */
    public static Config reload(Map<String, String> environment) throws ConfigException {
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
            DispatchPolicy.Settings settings = settings(pairs);
            requireDistinct("settings.RequestClasses", settings.classes.stream().map(DispatchPolicy.RequestClass::name).toList());
            double connect = number(pairs.get("Ceilings.ConnectTimeoutMs"), "settings.Ceilings.ConnectTimeoutMs",
                DEFAULT_CONNECT_TIMEOUT_MS);
            if (connect <= 0) {
                throw new ConfigException("settings.Ceilings.ConnectTimeoutMs must be above 0");
            }
            return new Config(text("GW_NAME", "name", "dispatcher"), endpoint("GW_LISTEN", "listen"),
                endpoint("GW_DISCOVERY", "discovery"), adminAddress(), inheritsSocket(), seed(), maxDescriptors(), memoryMb(), cachedList(), settings,
                distinctNames(pairs, "FailureDomains"), distinctNames(pairs, "Kinds"), Math.round(connect * 1000),
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
                    pairs.put(path, String.join(",", items.asList().stream().map(Reader::plainText).toList()));
                }
            } else if (!value.isJsonNull()) {
                pairs.put(path, plainText(value));
            }
        }

        private static String plainText(JsonElement value) {
            return value.isJsonPrimitive() ? Names.normalize(value.getAsString()) : "";
        }

        private static DispatchPolicy.Settings settings(Map<String, String> pairs) throws ConfigException {
            try {
                return SettingsParser.parse(pairs).settings().validated();
            } catch (IllegalArgumentException e) {
                throw new ConfigException("settings: " + e.getMessage());
            }
        }

        private static List<String> distinctNames(Map<String, String> pairs, String key) throws ConfigException {
            return requireDistinct("settings." + key, Arrays.asList(pairs.getOrDefault(key, "").split(",")));
        }

        /** Guards against names that can't be told apart, as blanks and commas are read as underscores. */
        private static List<String> requireDistinct(String key, List<String> names) throws ConfigException {
            if (Names.firstDuplicate(names) != null) {
                throw new ConfigException(key + " has a name twice: " + Names.firstDuplicate(names));
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

        private InetSocketAddress adminAddress() throws ConfigException {
            return text("GW_ADMIN", "admin", null) == null ? null : endpoint("GW_ADMIN", "admin");
        }

        private boolean inheritsSocket() throws ConfigException {
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

        private int maxDescriptors() throws ConfigException {
            return limit("sockets", DEFAULT_MAX_DESCRIPTORS, MIN_MAX_DESCRIPTORS);
        }

        private int memoryMb() throws ConfigException {
            return limit("memory_mb", DEFAULT_MEMORY_MB, MIN_MEMORY_MB);
        }

        /** A limit, which is never taken for more than its default. */
        private int limit(String key, int otherwise, int least) throws ConfigException {
            JsonElement limits = root.get("limits");
            JsonElement value = limits != null && limits.isJsonObject() ? limits.getAsJsonObject().get(key) : null;
            double told = number(value == null ? null : plainText(value), "limits." + key, otherwise);
            if (told < least) {
                throw new ConfigException("limits." + key + " must be " + least + " or more");
            }
            return (int) Math.min(told, otherwise);
        }

        private BackendListCodec.BackendList cachedList() throws ConfigException {
            try {
                return BackendListCodec.decode(root.has("known") ? root.get("known").toString() : "{}");
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

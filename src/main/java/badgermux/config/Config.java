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
 * The configuration of a dispatcher, validated and with defaults applied.
 *
 * @param name                 the dispatcher's name
 * @param listenAddress        the address for clients
 * @param discoveryAddress     the address of the discovery service
 * @param adminAddress         the address of the operators' console; null where it is off
 * @param inheritsSocket       whether the listening socket for clients is inherited as descriptor 0
 * @param seed                 the seed of random numbers
 * @param maxDescriptors       how many file descriptors the process may use
 * @param memoryMb             how much memory the process may use, in MB
 * @param cachedList           the backend list in the file, used until discovery returns one
 * @param settings             the settings of the decision module
 * @param zoneNames            the names of the zones, by the decision module's index
 * @param kindNames            the names of the kinds of backends, by the decision module's index
 * @param connectTimeoutMicros how long a connection to a backend may take to be established
 * @param settingsFingerprint  hash of all settings; state learned under another fingerprint is not used
 */
public record Config(String name, InetSocketAddress listenAddress, InetSocketAddress discoveryAddress,
        InetSocketAddress adminAddress, boolean inheritsSocket, long seed, int maxDescriptors, int memoryMb,
        BackendListCodec.BackendList cachedList, DispatchPolicy.Settings settings, List<String> zoneNames,
        List<String> kindNames, long connectTimeoutMicros, String settingsFingerprint) {
    private static final int DEFAULT_DESCRIPTOR_LIMIT = 1024;
    private static final int MIN_DESCRIPTOR_LIMIT = 128;
    private static final int DEFAULT_MEMORY_MB = 192;
    private static final int MIN_MEMORY_MB = 32;
    private static final double DEFAULT_CONNECT_TIMEOUT_MS = 250;

    /** Reads the environment and the file that GW_CONFIG names; environment variables override the file. */
    public static Config read(Map<String, String> environment) throws ConfigException {
        return read(environment, false);
    }

    /** Reads a replaced file: unlike at startup, a discovery address in the file overrides GW_DISCOVERY. */
    public static Config reload(Map<String, String> environment) throws ConfigException {
        return read(environment, true);
    }

    private static Config read(Map<String, String> environment, boolean reloading) throws ConfigException {
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
            throw new ConfigException("GW_CONFIG: " + path + " is not a JSON object");
        }
        Map<String, String> variables = new TreeMap<>(environment);
        if (reloading && root.has("discovery")) {
            variables.remove("GW_DISCOVERY");
        }
        return new Reader(variables, root).read();
    }

    /** Reads the configuration from the file's JSON object; environment variables override it. */
    private record Reader(Map<String, String> environment, JsonObject root) {
        Config read() throws ConfigException {
            if (!root.has("settings") || !root.get("settings").isJsonObject()) {
                throw new ConfigException("settings is missing or not an object");
            }
            Map<String, String> pairs = new TreeMap<>();
            flatten("", root.get("settings"), pairs);
            DispatchPolicy.Settings settings = settings(pairs);
            requireDistinct("settings.RequestClasses",
                settings.classes.stream().map(DispatchPolicy.RequestClass::name).toList());
            double connectTimeoutMs = number(pairs.get("Ceilings.ConnectTimeoutMs"), "settings.Ceilings.ConnectTimeoutMs",
                DEFAULT_CONNECT_TIMEOUT_MS);
            if (connectTimeoutMs <= 0) {
                throw new ConfigException("settings.Ceilings.ConnectTimeoutMs must be above 0");
            }
            return new Config(text("GW_NAME", "name", "dispatcher"), endpoint("GW_LISTEN", "listen"),
                endpoint("GW_DISCOVERY", "discovery"), adminAddress(), inheritsSocket(), seed(), maxDescriptors(), memoryMb(),
                cachedList(), settings, distinctNames(pairs, "FailureDomains"), distinctNames(pairs, "Kinds"),
                Math.round(connectTimeoutMs * 1000), Names.fingerprint(pairs.toString()));
        }

        /**
         * Flattens the settings object to the simulator's format: pairs of a path and a value. A list of plain values becomes
         * one value joined by commas; a list of objects gets a {@code .count} and an index in the paths. An empty list is
         * written in both ways, because its items could be of either kind.
         */
        private static void flatten(String path, JsonElement value, Map<String, String> pairs) {
            if (value.isJsonObject()) {
                value.getAsJsonObject().entrySet()
                    .forEach(entry -> flatten(path.isEmpty() ? entry.getKey() : path + '.' + entry.getKey(),
                        entry.getValue(), pairs));
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

        /** Rejects equal names. Blanks and commas were replaced by underscores, so different names may have become equal. */
        private static List<String> requireDistinct(String key, List<String> names) throws ConfigException {
            if (Names.firstDuplicate(names) != null) {
                throw new ConfigException(key + " contains a duplicate name: " + Names.firstDuplicate(names));
            }
            return names;
        }

        private String text(String variable, String key, String defaultValue) throws ConfigException {
            String value = environment.get(variable);
            if (value != null && !value.isBlank()) {
                return value;
            }
            if (!root.has(key)) {
                return defaultValue;
            }
            if (!root.get(key).isJsonPrimitive()) {
                throw new ConfigException(key + " is not a string");
            }
            return root.get(key).getAsString();
        }

        private InetSocketAddress endpoint(String variable, String key) throws ConfigException {
            String value = text(variable, key, null);
            InetSocketAddress address = value == null ? null : Address.parse(value);
            if (address == null) {
                throw new ConfigException(variable + " (" + key + ") "
                    + (value == null ? "is missing" : "is not HOST:PORT: " + value));
            }
            return address;
        }

        private InetSocketAddress adminAddress() throws ConfigException {
            return text("GW_ADMIN", "admin", null) == null ? null : endpoint("GW_ADMIN", "admin");
        }

        private boolean inheritsSocket() throws ConfigException {
            String number = environment.getOrDefault("GW_SOCKET_FD", "");
            // System.inheritedChannel supports the descriptor of standard input only.
            if (!number.isEmpty() && !number.equals("0")) {
                throw new ConfigException("GW_SOCKET_FD must be 0, the only descriptor that can be inherited: " + number);
            }
            return !number.isEmpty();
        }

        private long seed() throws ConfigException {
            // No environment variable has an empty name, so the seed is read from the file only.
            String value = text("", "seed", null);
            try {
                return value == null ? System.nanoTime() : Long.parseUnsignedLong(value, 16);
            } catch (NumberFormatException e) {
                throw new ConfigException("seed is not a hexadecimal number: " + value);
            }
        }

        private int maxDescriptors() throws ConfigException {
            return limit("sockets", DEFAULT_DESCRIPTOR_LIMIT, MIN_DESCRIPTOR_LIMIT);
        }

        private int memoryMb() throws ConfigException {
            return limit("memory_mb", DEFAULT_MEMORY_MB, MIN_MEMORY_MB);
        }

        /** Reads a limit; a value above the default is reduced to the default. */
        private int limit(String key, int defaultValue, int minimum) throws ConfigException {
            JsonElement limits = root.get("limits");
            JsonElement value = limits != null && limits.isJsonObject() ? limits.getAsJsonObject().get(key) : null;
            double limit = number(value == null ? null : plainText(value), "limits." + key, defaultValue);
            if (limit < minimum) {
                throw new ConfigException("limits." + key + " must be " + minimum + " or more");
            }
            return (int) Math.min(limit, defaultValue);
        }

        private BackendListCodec.BackendList cachedList() throws ConfigException {
            try {
                return BackendListCodec.decode(root.has("known") ? root.get("known").toString() : "{}");
            } catch (JsonParseException e) {
                throw new ConfigException("known is not a backend list: " + e.getMessage().lines().findFirst().orElse(""));
            }
        }

        private static double number(String value, String key, double defaultValue) throws ConfigException {
            try {
                double number = value == null ? defaultValue : Double.parseDouble(value);
                if (Double.isFinite(number)) {
                    return number;
                }
            } catch (NumberFormatException e) {
                // reported below, like a number that is not finite
            }
            throw new ConfigException(key + " is not a number: " + value);
        }
    }
}

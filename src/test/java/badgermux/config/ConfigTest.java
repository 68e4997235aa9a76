package badgermux.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.decide.DispatchPolicy;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConfigTest {
    private static final String VALID_CONFIG = "{\"name\":\"n\",\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:2\","
        + "\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":512,\"memory_mb\":144},"
        + "\"known\":{\"revision\":4,\"members\":[]},"
        + "\"settings\":{\"Kinds\":[\"a\",\"b c\"],\"FailureDomains\":[\"z\"],\"Customers\":[],"
        + "\"Ceilings\":{\"MaxAttempts\":3,\"Cancel\":true},\"Extra\":{\"ClassStretch\":[1.5]},"
        + "\"RequestClasses\":[{\"Name\":\"render\",\"Effect\":\"by_key\",\"Group\":\"zone\",\"TargetMs\":100.5,"
        + "\"GiveUpMs\":2000}]}}";

    @TempDir private Path folder;

    private Config readConfig(String text, Map<String, String> environment) throws ConfigException, IOException {
        Path file = Files.writeString(folder.resolve("config.json"), text);
        Map<String, String> variables = new java.util.HashMap<>(environment);
        variables.put("GW_CONFIG", file.toString());
        return Config.read(variables);
    }

    /** A dispatcher's share of the work for cold backends, and the order in which dispatchers take turns, follow from these. */
    @ParameterizedTest @CsvSource({"1, 0", "14, 13", "100, 99"})
    void readsDispatcherCountAndIndex(int balancers, int me) throws ConfigException, IOException {
        DispatchPolicy.Settings settings = readConfig(VALID_CONFIG.replace("\"Kinds\"",
            "\"Balancers\":" + balancers + ",\"Me\":" + me + ",\"Kinds\""), Map.of()).settings();
        assertEquals(balancers, settings.dispatcherCount);
        assertEquals(me, settings.dispatcherIndex);
        assertEquals(1, readConfig(VALID_CONFIG, Map.of()).settings().dispatcherCount, "one dispatcher by default");
    }

    @ParameterizedTest @CsvSource({"0, 0, dispatcherCount", "14, 14, dispatcherIndex", "-1, 0, Balancers", "1.5, 0, Balancers"})
    void rejectsInvalidDispatcherCountOrIndex(String balancers, int me, String fault) {
        String text = VALID_CONFIG.replace("\"Kinds\"", "\"Balancers\":" + balancers + ",\"Me\":" + me + ",\"Kinds\"");
        String message = assertThrows(ConfigException.class, () -> readConfig(text, Map.of())).getMessage();
        assertTrue(message.contains(fault), message);
    }

    /** Blanks and commas are replaced by underscores, so names that differ only in these become equal. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"[\"a\",\"b c\"]|[\"a b\",\"a_b\"]|Kinds", "[\"z\"]|[\"z 1\",\"z,1\"]|FailureDomains"})
    void rejectsNamesEqualAfterNormalization(String oldNames, String newNames, String fault) {
        String message = assertThrows(ConfigException.class,
            () -> readConfig(VALID_CONFIG.replace(oldNames, newNames), Map.of())).getMessage();
        assertTrue(message.contains(fault), message);
    }

    @Test void fingerprintCoversExactlyTheSettings() throws ConfigException, IOException {
        String fingerprint = readConfig(VALID_CONFIG, Map.of()).settingsFingerprint();
        String sameSettings = VALID_CONFIG.replace("\"revision\":4", "\"revision\":5").replace("8c1f", "8c1e");
        assertEquals(fingerprint, readConfig(sameSettings, Map.of()).settingsFingerprint());
        String otherSettings = VALID_CONFIG.replace("\"GiveUpMs\":2000", "\"GiveUpMs\":2001");
        assertTrue(!fingerprint.equals(readConfig(otherSettings, Map.of()).settingsFingerprint()));
    }

    @Test void environmentOverridesTheFile() throws ConfigException, IOException {
        Config config = readConfig(VALID_CONFIG, Map.of("GW_LISTEN", "127.0.0.9:9"));
        assertEquals("127.0.0.9", config.listenAddress().getHostString());
        assertEquals(2, config.discoveryAddress().getPort());
        assertEquals(0x8c1f30d27a5be964L, config.seed());
        assertEquals(512, config.maxDescriptors());
        assertEquals(144, config.memoryMb());
        assertEquals(List.of("a", "b_c"), config.kindNames());
        assertEquals(250_000, config.connectTimeoutMicros());
        DispatchPolicy.RequestClass render = config.settings().classes.get(0);
        assertEquals(DispatchPolicy.Effect.BY_KEY, render.effect());
        assertEquals(100_500, render.targetMicros());
        assertEquals(1.5, render.targetStretch());
        assertEquals(3, config.settings().maxAttempts);
        assertTrue(config.settings().mayCancel);
    }

    @ParameterizedTest @CsvSource(delimiter = '~', value = {
        "\"127.0.0.1:1\" ~ \"nowhere\" ~ GW_LISTEN (listen)", "\"127.0.0.1:2\" ~ 5 ~ GW_DISCOVERY (discovery)",
        "8c1f ~ zz ~ seed", "512 ~ \"many\" ~ limits.sockets", "512 ~ 3 ~ limits.sockets", "144 ~ 8 ~ limits.memory_mb",
        "\"by_key\" ~ \"often\" ~ RequestClasses.0.Effect", "100.5 ~ \"soon\" ~ RequestClasses.0.TargetMs",
        "\"GiveUpMs\" ~ \"Other\" ~ RequestClasses.0.GiveUpMs", "\"MaxAttempts\":3 ~ \"MaxAttempts\":0 ~ maxAttempts",
        "\"MaxAttempts\":3 ~ \"ConnectTimeoutMs\":0 ~ settings.Ceilings.ConnectTimeoutMs",
        "\"members\":[] ~ \"members\":7 ~ known", "\"settings\" ~ \"setting\" ~ settings", "{\"name\" ~ x ~ GW_CONFIG"})
    void errorsNameTheFaultyKey(String valid, String invalid, String key) {
        assertTrue(VALID_CONFIG.contains(valid), valid);
        String message = assertThrows(ConfigException.class,
            () -> readConfig(VALID_CONFIG.replace(valid, invalid), Map.of())).getMessage();
        assertTrue(message.contains(key) && message.lines().count() == 1, message);
    }

    @Test void addressesMustBeNumeric() {
        assertEquals(80, badgermux.http.Address.parse("10.1.2.3:80").getPort());
        for (String invalid : List.of("", ":", "host:80", "1.2.3.4", "1.2.3.4:", "1.2.3.4:70000", "1.2.3.400:1")) {
            assertNull(badgermux.http.Address.parse(invalid), invalid);
        }
    }
}

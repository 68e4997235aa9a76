package badgermux.scale;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.List;
import java.util.stream.IntStream;

/** Where everybody stands, and the settings that all dispatchers share. Dispatchers are numbered: the real ones come first. */
final class FleetLayout {
    static final int REGIONS = 3, ZONES = 11, SLOTS = 4;
    static final String CLASS = "task", KIND = "k";
    /** A task runs for this multiple of the mean at least, and at most. */
    static final double MIN_RUN_FACTOR = 0.5, MAX_RUN_FACTOR = 1.5;
    /** The platform's rules: the time to stop sending after news, and the budget of cold workers. Milliseconds. */
    static final long STOP_SENDING_MS = 750, SOCKET_MARGIN_MS = 50, WARM_UP_MS = 23_000, OVERLOAD_WINDOW_MS = 2_000;
    static final double COLD_CAPACITY_SHARE = 0.15, OVERLOAD_MULTIPLE = 3;
    private static final long TARGET_MS = 1_800;
    private static final int REAL_SOCKETS = 1024, REAL_MEMORY_MB = 192;

    private final ScaleOptions options;

    FleetLayout(ScaleOptions options) {
        this.options = options;
    }

    int zoneOfBackend(int worker) {
        return worker * ZONES / options.workers;
    }

    int zoneOfDispatcher(int dispatcher) {
        return dispatcher % ZONES;
    }

    static int regionOfZone(int zone) {
        return zone % REGIONS;
    }

    static String zoneName(int zone) {
        return "r" + regionOfZone(zone) + "-z" + zone;
    }

    /** A region's dispatchers see workers at a port of their own where regions may lose each other. */
    int portsPerBackend() {
        return options.scenario == ScaleOptions.Scenario.REGION ? REGIONS : 1;
    }

    int portForDispatcher(int dispatcher) {
        return portsPerBackend() == 1 ? 0 : regionOfZone(zoneOfDispatcher(dispatcher));
    }

    /** What GW_CONFIG of a dispatcher holds. */
    String config(int dispatcher) {
        JsonObject limits = new JsonObject();
        limits.addProperty("sockets", REAL_SOCKETS);
        limits.addProperty("memory_mb", REAL_MEMORY_MB);
        JsonObject config = new JsonObject();
        config.addProperty("name", "d" + dispatcher);
        config.addProperty("seed", Long.toHexString(options.seed * 100_003 + dispatcher));
        config.add("limits", limits);
        config.add("settings", settings(dispatcher));
        return config.toString();
    }

    private JsonObject settings(int dispatcher) {
        JsonObject report = new JsonObject();
        report.addProperty("How", "pull");
        report.add("Columns", array(List.of("x0", "inflight", "queue", "recent_ms")));
        JsonObject ceilings = new JsonObject();
        ceilings.addProperty("Probes", true);
        ceilings.addProperty("MaxAttempts", 3);
        ceilings.addProperty("Cancel", true);
        ceilings.addProperty("RetryAfter", true);
        ceilings.addProperty("MaxRetryAfterMs", 2_000);
        ceilings.addProperty("ConnIdleMs", 15_000);
        ceilings.addProperty("ConnectTimeoutMs", 250);
        JsonObject safety = new JsonObject();
        safety.addProperty("ColdMs", WARM_UP_MS);
        safety.addProperty("ColdShare", COLD_CAPACITY_SHARE);
        safety.addProperty("FallMs", OVERLOAD_WINDOW_MS);
        safety.addProperty("FallMultiple", OVERLOAD_MULTIPLE);
        JsonObject extra = new JsonObject();
        extra.addProperty("TellsStart", true);
        JsonObject settings = new JsonObject();
        settings.addProperty("Balancers", options.allDispatchers());
        settings.addProperty("Me", dispatcher);
        settings.addProperty("Zone", zoneOfDispatcher(dispatcher));
        settings.add("FailureDomains", array(IntStream.range(0, ZONES).mapToObj(FleetLayout::zoneName).toList()));
        settings.add("Kinds", array(List.of(KIND)));
        settings.addProperty("Discovery", "on_request");
        settings.add("Report", report);
        settings.add("Ceilings", ceilings);
        settings.add("Safety", safety);
        settings.add("Extra", extra);
        settings.add("Customers", customers());
        settings.add("RequestClasses", classes());
        return settings;
    }

    private JsonArray customers() {
        JsonArray customers = new JsonArray();
        for (int t = 0; t < options.tenants; t++) {
            JsonObject customer = new JsonObject();
            customer.addProperty("Name", "tenant-" + t);
            customer.addProperty("QuotaPerS", 2 * options.rate / options.tenants);
            customers.add(customer);
        }
        return customers;
    }

    private JsonArray classes() {
        JsonObject task = new JsonObject();
        task.addProperty("Name", CLASS);
        task.addProperty("Effect", "repeatable");
        task.addProperty("TargetMs", TARGET_MS);
        task.addProperty("AimStretch", 1);
        task.addProperty("GiveUpMs", options.giveUpMs());
        JsonArray classes = new JsonArray();
        classes.add(task);
        return classes;
    }

    private static JsonArray array(List<String> names) {
        JsonArray array = new JsonArray();
        names.forEach(array::add);
        return array;
    }
}

package badgermux.scale;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.List;
import java.util.stream.IntStream;

/** The zones and regions of backends and dispatchers, and the dispatchers' settings. Real dispatchers have the first numbers. */
final class FleetLayout {
    static final int REGIONS = 3;
    static final int ZONES = 11;
    /** Slots of a backend. */
    static final int SLOTS = 4;
    /** The name of the only request class. */
    static final String CLASS = "task";
    /** The name of the only machine kind. */
    static final String KIND = "k";
    /** The shortest run time of a request, as a multiple of the mean. */
    static final double MIN_RUN_FACTOR = 0.5;
    /** The longest run time of a request, as a multiple of the mean. */
    static final double MAX_RUN_FACTOR = 1.5;
    /** By the platform's rules, a dispatcher has to stop sending to a backend within this time after it learns of a drain. */
    static final long STOP_SENDING_MS = 750;
    /** Time that an attempt may spend between the sockets of dispatcher and backend. */
    static final long SOCKET_MARGIN_MS = 50;
    static final long WARM_UP_MS = 23_000;
    /** The window over which the work sent to a cold backend is limited. */
    static final long OVERLOAD_WINDOW_MS = 2_000;
    /** The share of its capacity that a backend has when it starts cold. */
    static final double COLD_CAPACITY_SHARE = 0.15;
    /** The limit of the work sent to a cold backend in the window, as a multiple of what it can do in that time. */
    static final double OVERLOAD_MULTIPLE = 3;
    private static final long TARGET_MS = 1_800;
    private static final int REAL_SOCKETS = 1024;
    private static final int REAL_MEMORY_MB = 192;

    private final ScaleOptions options;

    FleetLayout(ScaleOptions options) {
        this.options = options;
    }

    int zoneOfBackend(int backend) {
        return backend * ZONES / options.workers;
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

    /** Returns the number of ports of a backend: one, or one for the dispatchers of each region if regions are cut off. */
    int portsPerBackend() {
        return options.scenario == ScaleOptions.Scenario.REGION ? REGIONS : 1;
    }

    /** Returns the index of the port at which a dispatcher sees the backends. */
    int portForDispatcher(int dispatcher) {
        return portsPerBackend() == 1 ? 0 : regionOfZone(zoneOfDispatcher(dispatcher));
    }

    /** Returns the content of the GW_CONFIG file of a dispatcher. */
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

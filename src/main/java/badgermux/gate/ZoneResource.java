package badgermux.gate;

import badgermux.admin.AdminRequest;
import badgermux.admin.AdminResponse;
import badgermux.admin.Resource;
import badgermux.decide.DispatchPolicy;
import badgermux.operator.OperatorSettings;
import badgermux.operator.SettingsSection;
import badgermux.operator.Snapshot;
import badgermux.operator.SnapshotException;
import badgermux.zone.ZonePolicy;
import badgermux.zone.ZoneSettings;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.function.LongSupplier;

/**
 * The admin resource {@code /v1/zones}: shows the state of each zone, and shows or changes the settings. A changed setting
 * takes effect at the next start, because what a dispatcher has learned about zones depends on the settings. Runs on the
 * admin thread.
 */
public final class ZoneResource implements Resource, SettingsSection {
    /** The name of this resource's section in the snapshot. */
    public static final String SECTION = "zones";
    /** The version of the section's format. */
    private static final int SECTION_VERSION = 1;
    private static final Set<String> SETTING_KEYS = Set.of("openAt", "closeAt", "degradedAt", "darkAt", "leastNodes",
        "evidenceForMs", "spillShare", "spillLeaves", "spillReserve", "holdMs", "longestHoldMs", "forgetsAfterMs", "stageMs",
        "stages", "learnsForMs", "coldForMs", "slotsPerNode", "guardsList", "tiers");

    private final OperatorSettings operatorSettings;
    private final LongSupplier clockMicros;
    private List<String> zoneNames = List.of();
    private DispatchPolicy.Settings dispatchSettings;
    private ZonePolicy zonePolicy;

    /**
     * Creates the resource.
     *
     * @param clockMicros the event loop's clock, in microseconds
     */
    public ZoneResource(OperatorSettings operatorSettings, LongSupplier clockMicros) {
        this.operatorSettings = operatorSettings;
        this.clockMicros = clockMicros;
    }

    /**
     * Creates the zone policy from the settings in the snapshot; returns null if it holds none, and zones are off.
     *
     * @param names    the names of all zones
     * @param settings the settings of the dispatch policy
     * @throws SnapshotException if the snapshot's section can't be used
     */
    public ZonePolicy zonePolicy(List<String> names, DispatchPolicy.Settings settings) throws SnapshotException {
        zoneNames = names;
        dispatchSettings = settings;
        ZoneSettings zoneSettings = readSection(operatorSettings.current());
        zonePolicy = zoneSettings == null ? null : new ZonePolicy(zoneSettings);
        return zonePolicy;
    }

    /** Checks the section, which takes effect at the next start. */
    @Override public Installation prepare(Snapshot snapshot) throws SnapshotException {
        readSection(snapshot);
        return () -> { };
    }

    /** Returns the settings in a snapshot; null if it holds none. */
    private ZoneSettings readSection(Snapshot snapshot) throws SnapshotException {
        JsonElement section = snapshot.section(SECTION);
        if (section == null) {
            return null;
        }
        try {
            JsonObject object = section.getAsJsonObject();
            if (object.get("version").getAsInt() > SECTION_VERSION) {
                throw new SnapshotException("section " + SECTION + " was written by a newer program");
            }
            return parseSettings(object.getAsJsonObject("settings"));
        } catch (IllegalArgumentException e) {
            throw new SnapshotException("section " + SECTION + ": " + e.getMessage());
        } catch (IllegalStateException | NullPointerException | ClassCastException | UnsupportedOperationException e) {
            throw new SnapshotException("section " + SECTION + " is malformed");
        }
    }

    /**
     * Parses settings.
     *
     * @throws IllegalArgumentException if a key is unknown or a value invalid; the message names the key
     */
    private ZoneSettings parseSettings(JsonObject json) {
        ZoneSettings settings = new ZoneSettings();
        settings.zoneNames = zoneNames;
        settings.ownZone = dispatchSettings.ownZone;
        settings.dispatcherCount = dispatchSettings.dispatcherCount;
        settings.dispatcherIndex = dispatchSettings.dispatcherIndex;
        settings.classWorths = dispatchSettings.classes.stream().mapToDouble(DispatchPolicy.RequestClass::worth).toArray();
        settings.warmUpMicros = dispatchSettings.warmUpMicros;
        settings.coldCapacityShare = dispatchSettings.coldCapacityShare;
        settings.overloadMultiple = dispatchSettings.overloadMultiple;
        settings.overloadWindowMicros = dispatchSettings.overloadWindowMicros;
        for (Map.Entry<String, JsonElement> entry : json.entrySet()) {
            if (!SETTING_KEYS.contains(entry.getKey())) {
                throw new IllegalArgumentException(entry.getKey() + " is no setting of zones");
            }
            try {
                applySetting(settings, entry.getKey(), entry.getValue());
            } catch (IllegalStateException | NumberFormatException | UnsupportedOperationException | ClassCastException e) {
                throw new IllegalArgumentException(entry.getKey() + " has a value of the wrong kind");
            }
        }
        return settings.validated();
    }

    private void applySetting(ZoneSettings settings, String key, JsonElement value) {
        switch (key) {
            case "openAt" -> settings.nextTierOpenShare = value.getAsDouble();
            case "closeAt" -> settings.nextTierCloseShare = value.getAsDouble();
            case "degradedAt" -> settings.degradedShare = value.getAsDouble();
            case "darkAt" -> settings.darkShare = value.getAsDouble();
            case "leastNodes" -> settings.minSilentBackends = value.getAsInt();
            case "evidenceForMs" -> settings.evidenceWindowMicros = millisToMicros(value);
            case "spillShare" -> settings.maxSpillShare = value.getAsDouble();
            case "spillLeaves" -> settings.spillHeadroomShare = value.getAsDouble();
            case "spillReserve" -> settings.spillReserveShare = value.getAsDouble();
            case "holdMs" -> settings.initialHoldMicros = millisToMicros(value);
            case "longestHoldMs" -> settings.maxHoldMicros = millisToMicros(value);
            case "forgetsAfterMs" -> settings.lossMemoryMicros = millisToMicros(value);
            case "stageMs" -> settings.minStageMicros = millisToMicros(value);
            case "learnsForMs" -> settings.learningMicros = millisToMicros(value);
            case "coldForMs" -> settings.warmUpMicros = millisToMicros(value);
            case "slotsPerNode" -> settings.defaultSlotsPerBackend = value.getAsDouble();
            case "guardsList" -> {
                if (!value.getAsJsonPrimitive().isBoolean()) {
                    throw new IllegalStateException();
                }
                settings.keepsUnlistedBackends = value.getAsBoolean();
            }
            case "stages" -> {
                JsonArray list = value.getAsJsonArray();
                settings.returnStageShares = new double[list.size()];
                Arrays.setAll(settings.returnStageShares, i -> list.get(i).getAsDouble());
            }
            default -> settings.tiersByClass = parseTiers(value.getAsJsonObject());
        }
    }

    private static long millisToMicros(JsonElement value) {
        return Math.round(value.getAsDouble() * 1000);
    }

    /**
     * Parses the tiers of zones for each class. A member is the name of a class, or {@code default} for all other classes. Its
     * value is a list of tiers in order of preference, each a list of zone names, where {@code own} is the dispatcher's zone
     * and {@code any} all zones that are in no earlier tier. Returns for each class and zone the index of the tier, -1 if the
     * zone is in none. A class without tiers uses the own zone first, then all others.
     */
    private int[][] parseTiers(JsonObject json) {
        for (String name : json.keySet()) {
            if (!name.equals("default")
                    && dispatchSettings.classes.stream().noneMatch(requestClass -> requestClass.name().equals(name))) {
                throw new IllegalArgumentException("tiers: there is no class " + name);
            }
        }
        int[][] tiers = new int[dispatchSettings.classes.size()][zoneNames.size()];
        for (int classIndex = 0; classIndex < tiers.length; classIndex++) {
            JsonElement levels = json.get(dispatchSettings.classes.get(classIndex).name());
            levels = levels == null ? json.get("default") : levels;
            Arrays.fill(tiers[classIndex], -1);
            if (levels == null) {
                Arrays.fill(tiers[classIndex], 1);
                tiers[classIndex][dispatchSettings.ownZone] = 0;
                continue;
            }
            int tier = 0;
            for (JsonElement level : levels.getAsJsonArray()) {
                for (JsonElement name : level.getAsJsonArray()) {
                    String zone = name.getAsString();
                    for (int zoneIndex = 0; zoneIndex < zoneNames.size(); zoneIndex++) {
                        boolean isMatch = zone.equals("any") || zone.equals(zoneIndex == dispatchSettings.ownZone ? "own" : "")
                            || zone.equals(zoneNames.get(zoneIndex));
                        tiers[classIndex][zoneIndex] = isMatch && tiers[classIndex][zoneIndex] < 0 ? tier
                            : tiers[classIndex][zoneIndex];
                    }
                    if (!zone.equals("any") && !zone.equals("own") && !zoneNames.contains(zone)) {
                        throw new IllegalArgumentException("tiers: there is no zone " + zone);
                    }
                }
                tier++;
            }
        }
        return tiers;
    }

    @Override public AdminResponse handle(AdminRequest request) throws Exception {
        if (!request.path().isEmpty()) {
            return AdminResponse.problem(404, "there is only /v1/zones");
        }
        switch (request.method()) {
            case "GET" -> {
                return AdminResponse.json(200, toJson());
            }
            case "DELETE" -> {
                return applyChange(null);
            }
            case "PUT" -> {
                JsonObject object;
                try {
                    object = JsonParser.parseString(new String(request.body(), StandardCharsets.UTF_8)).getAsJsonObject();
                    parseSettings(object);
                } catch (JsonParseException | IllegalStateException e) {
                    return AdminResponse.problem(422, "the body must be a JSON object of settings");
                } catch (IllegalArgumentException e) {
                    return AdminResponse.problem(422, e.getMessage());
                }
                JsonObject section = new JsonObject();
                section.addProperty("version", SECTION_VERSION);
                section.add("settings", object);
                String dryRun = request.query().get("dry-run");
                return dryRun != null && !dryRun.equals("false") ? AdminResponse.json(200, section)
                    : applyChange(section);
            }
            default -> {
                return AdminResponse.problem(405, "GET, PUT or DELETE");
            }
        }
    }

    private AdminResponse applyChange(JsonObject section) throws Exception {
        boolean kept = operatorSettings.change(SECTION, section, () -> { });
        JsonObject report = new JsonObject();
        report.addProperty("revision", operatorSettings.current().revision());
        report.addProperty("kept", kept);
        report.addProperty("counts", "from the next start on");
        return AdminResponse.json(200, report);
    }

    /** Returns the settings and the state of each zone, read on the event loop. */
    private JsonObject toJson() throws InterruptedException, ExecutionException {
        JsonObject json = new JsonObject();
        json.addProperty("on", zonePolicy != null);
        JsonElement section = operatorSettings.current().section(SECTION);
        json.add("settings", section == null ? null : section.getAsJsonObject().get("settings"));
        JsonArray zones = new JsonArray();
        if (zonePolicy != null) {
            long now = clockMicros.getAsLong();
            for (ZonePolicy.Status zone : operatorSettings.callOnEventLoop(() -> zonePolicy.statuses(now))) {
                JsonObject zoneJson = new JsonObject();
                zoneJson.addProperty("zone", zone.zone());
                zoneJson.addProperty("standing", zone.health().name().toLowerCase(Locale.ROOT));
                zoneJson.addProperty("forS", (now - zone.healthSince()) / 100_000 / 10.0);
                zoneJson.addProperty("evidence", zone.evidence());
                zoneJson.addProperty("stage", zone.returnStage());
                zoneJson.addProperty("losses", zone.lossCount());
                zoneJson.addProperty("ready", zone.readyCount());
                zoneJson.addProperty("usual", Math.round(zone.usualReadyCount() * 10) / 10.0);
                zoneJson.addProperty("silent", zone.silentCount());
                zoneJson.addProperty("slotsAtWork", zone.slotsInFlight());
                zoneJson.addProperty("slotsSpilled", zone.spilledSlots());
                zoneJson.addProperty("spillBound", Math.round(zone.spillBound() * 100) / 100.0);
                zoneJson.addProperty("nextTierOpen", zone.isNextTierOpen());
                zoneJson.addProperty("spills", zone.spillCount());
                zoneJson.addProperty("refusals", zone.refusalCount());
                zones.add(zoneJson);
            }
        }
        json.add("zones", zones);
        return json;
    }
}

package badgermux.gate;

import badgermux.admin.AdminRequest;
import badgermux.admin.AdminResponse;
import badgermux.admin.Resource;
import badgermux.decide.DispatchPolicy;
import badgermux.operator.SnapshotException;
import badgermux.operator.SnapshotStore;
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
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.function.LongSupplier;

/**
 * {@code /v1/zones}: what is held of each zone, and the settings. These count from the next start on: what a dispatcher
 * has learnt of zones rests on them. Runs on the admin thread.
 */
public final class ZoneResource implements Resource {
    /** The section of the snapshot. */
    public static final String SECTION = "zones";
    private static final int SECTION_VERSION = 1;
    private static final Set<String> SETTING_KEYS = Set.of("openAt", "closeAt", "degradedAt", "darkAt", "leastNodes",
        "evidenceForMs", "spillShare", "spillLeaves", "spillReserve", "holdMs", "longestHoldMs", "forgetsAfterMs", "stageMs",
        "stages", "learnsForMs", "coldForMs", "slotsPerNode", "guardsList", "tiers");

    private final SnapshotStore store;
    private final ExecutorService eventLoop;
    private final LongSupplier clockMicros;
    private List<String> zoneNames = List.of();
    private DispatchPolicy.Settings dispatchSettings;
    private ZonePolicy zonePolicy;

    public ZoneResource(SnapshotStore store, ExecutorService loop, LongSupplier clock) {
        this.store = store;
        this.eventLoop = loop;
        this.clockMicros = clock;
    }

    /** The policy by what the snapshot holds; null where zones are off. */
    public ZonePolicy zonePolicy(List<String> names, DispatchPolicy.Settings module) throws SnapshotException {
        zoneNames = names;
        dispatchSettings = module;
        JsonElement section = store.current().section(SECTION);
        if (section == null) {
            return null;
        }
        try {
            JsonObject object = section.getAsJsonObject();
            if (object.get("version").getAsInt() > SECTION_VERSION) {
                throw new SnapshotException("section " + SECTION + " was written by a newer program");
            }
            zonePolicy = new ZonePolicy(parseSettings(object.getAsJsonObject("settings")));
            return zonePolicy;
        } catch (IllegalArgumentException e) {
            throw new SnapshotException("section " + SECTION + ": " + e.getMessage());
        } catch (IllegalStateException | NullPointerException | ClassCastException | UnsupportedOperationException e) {
            throw new SnapshotException("section " + SECTION + " is malformed");
        }
    }

    /** Reads settings; what makes no sense is told by the key that says it. */
    private ZoneSettings parseSettings(JsonObject from) {
        ZoneSettings s = new ZoneSettings();
        s.zoneNames = zoneNames;
        s.ownZone = dispatchSettings.ownZone;
        s.dispatcherCount = dispatchSettings.dispatcherCount;
        s.dispatcherIndex = dispatchSettings.dispatcherIndex;
        s.classWorths = dispatchSettings.classes.stream().mapToDouble(DispatchPolicy.RequestClass::worth).toArray();
        s.warmUpMicros = dispatchSettings.warmUpMicros;
        s.coldCapacityShare = dispatchSettings.coldCapacityShare;
        s.overloadMultiple = dispatchSettings.overloadMultiple;
        s.overloadWindowMicros = dispatchSettings.overloadWindowMicros;
        for (Map.Entry<String, JsonElement> entry : from.entrySet()) {
            if (!SETTING_KEYS.contains(entry.getKey())) {
                throw new IllegalArgumentException(entry.getKey() + " is no setting of zones");
            }
            try {
                applySetting(s, entry.getKey(), entry.getValue());
            } catch (IllegalStateException | NumberFormatException | UnsupportedOperationException | ClassCastException e) {
                throw new IllegalArgumentException(entry.getKey() + " has a value of the wrong kind");
            }
        }
        return s.validated();
    }

    private void applySetting(ZoneSettings s, String key, JsonElement value) {
        switch (key) {
            case "openAt" -> s.nextTierOpenShare = value.getAsDouble();
            case "closeAt" -> s.nextTierCloseShare = value.getAsDouble();
            case "degradedAt" -> s.degradedShare = value.getAsDouble();
            case "darkAt" -> s.darkShare = value.getAsDouble();
            case "leastNodes" -> s.minSilentBackends = value.getAsInt();
            case "evidenceForMs" -> s.evidenceWindowMicros = millisToMicros(value);
            case "spillShare" -> s.maxSpillShare = value.getAsDouble();
            case "spillLeaves" -> s.spillHeadroomShare = value.getAsDouble();
            case "spillReserve" -> s.spillReserveShare = value.getAsDouble();
            case "holdMs" -> s.initialHoldMicros = millisToMicros(value);
            case "longestHoldMs" -> s.maxHoldMicros = millisToMicros(value);
            case "forgetsAfterMs" -> s.lossMemoryMicros = millisToMicros(value);
            case "stageMs" -> s.minStageMicros = millisToMicros(value);
            case "learnsForMs" -> s.learningMicros = millisToMicros(value);
            case "coldForMs" -> s.warmUpMicros = millisToMicros(value);
            case "slotsPerNode" -> s.defaultSlotsPerBackend = value.getAsDouble();
            case "guardsList" -> {
                if (!value.getAsJsonPrimitive().isBoolean()) {
                    throw new IllegalStateException();
                }
                s.keepsUnlistedBackends = value.getAsBoolean();
            }
            case "stages" -> {
                JsonArray list = value.getAsJsonArray();
                s.returnStageShares = new double[list.size()];
                Arrays.setAll(s.returnStageShares, i -> list.get(i).getAsDouble());
            }
            default -> s.tiersByClass = parseTiers(value.getAsJsonObject());
        }
    }

    private static long millisToMicros(JsonElement value) {
        return Math.round(value.getAsDouble() * 1000);
    }

    /** For each class, by name or as {@code default}, lists of zones in order of preference; {@code own} and {@code any}. */
    private int[][] parseTiers(JsonObject from) {
        for (String name : from.keySet()) {
            if (!name.equals("default") && dispatchSettings.classes.stream().noneMatch(c -> c.name().equals(name))) {
                throw new IllegalArgumentException("tiers: there is no class " + name);
            }
        }
        int[][] tiers = new int[dispatchSettings.classes.size()][zoneNames.size()];
        for (int c = 0; c < tiers.length; c++) {
            JsonElement of = from.get(dispatchSettings.classes.get(c).name());
            of = of == null ? from.get("default") : of;
            Arrays.fill(tiers[c], -1);
            if (of == null) {
                Arrays.fill(tiers[c], 1);
                tiers[c][dispatchSettings.ownZone] = 0;
                continue;
            }
            int tier = 0;
            for (JsonElement level : of.getAsJsonArray()) {
                for (JsonElement name : level.getAsJsonArray()) {
                    String zone = name.getAsString();
                    for (int z = 0; z < zoneNames.size(); z++) {
                        boolean meant = zone.equals("any") || zone.equals(z == dispatchSettings.ownZone ? "own" : "")
                            || zone.equals(zoneNames.get(z));
                        tiers[c][z] = meant && tiers[c][z] < 0 ? tier : tiers[c][z];
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

    @Override public AdminResponse handle(AdminRequest call) throws Exception {
        if (!call.path().isEmpty()) {
            return AdminResponse.problem(404, "there is only /v1/zones");
        }
        switch (call.method()) {
            case "GET" -> {
                return AdminResponse.json(200, toJson());
            }
            case "DELETE" -> {
                return changeReply(store.replace(store.current().with(SECTION, null)));
            }
            case "PUT" -> {
                JsonObject object;
                try {
                    object = JsonParser.parseString(new String(call.body(), StandardCharsets.UTF_8)).getAsJsonObject();
                    parseSettings(object);
                } catch (JsonParseException | IllegalStateException e) {
                    return AdminResponse.problem(422, "the body must be a JSON object of settings");
                } catch (IllegalArgumentException e) {
                    return AdminResponse.problem(422, e.getMessage());
                }
                JsonObject section = new JsonObject();
                section.addProperty("version", SECTION_VERSION);
                section.add("settings", object);
                String dry = call.query().get("dry-run");
                return dry != null && !dry.equals("false") ? AdminResponse.json(200, section)
                    : changeReply(store.replace(store.current().with(SECTION, section)));
            }
            default -> {
                return AdminResponse.problem(405, "GET, PUT or DELETE");
            }
        }
    }

    private AdminResponse changeReply(boolean kept) {
        JsonObject report = new JsonObject();
        report.addProperty("revision", store.current().revision());
        report.addProperty("kept", kept);
        report.addProperty("counts", "from the next start on");
        return AdminResponse.json(200, report);
    }

    private JsonObject toJson() throws InterruptedException, ExecutionException {
        JsonObject view = new JsonObject();
        view.addProperty("on", zonePolicy != null);
        JsonElement section = store.current().section(SECTION);
        view.add("settings", section == null ? null : section.getAsJsonObject().get("settings"));
        JsonArray all = new JsonArray();
        if (zonePolicy != null) {
            long now = clockMicros.getAsLong();
            for (ZonePolicy.Status zone : eventLoop.submit(() -> zonePolicy.statuses(now)).get()) {
                JsonObject each = new JsonObject();
                each.addProperty("zone", zone.zone());
                each.addProperty("standing", zone.health().name().toLowerCase(java.util.Locale.ROOT));
                each.addProperty("forS", (now - zone.healthSince()) / 100_000 / 10.0);
                each.addProperty("evidence", zone.evidence());
                each.addProperty("stage", zone.returnStage());
                each.addProperty("losses", zone.lossCount());
                each.addProperty("ready", zone.readyCount());
                each.addProperty("usual", Math.round(zone.usualReadyCount() * 10) / 10.0);
                each.addProperty("silent", zone.silentCount());
                each.addProperty("slotsAtWork", zone.slotsInFlight());
                each.addProperty("slotsSpilled", zone.spilledSlots());
                each.addProperty("spillBound", Math.round(zone.spillBound() * 100) / 100.0);
                each.addProperty("nextTierOpen", zone.isNextTierOpen());
                each.addProperty("spills", zone.spillCount());
                each.addProperty("refusals", zone.refusalCount());
                all.add(each);
            }
        }
        view.add("zones", all);
        return view;
    }
}

package badgermux.gate;

import badgermux.admin.Call;
import badgermux.admin.Reply;
import badgermux.admin.Resource;
import badgermux.decide.Dispatch;
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
    private static final Set<String> KEYS = Set.of("openAt", "closeAt", "degradedAt", "darkAt", "leastNodes",
        "evidenceForMs", "spillShare", "spillLeaves", "spillReserve", "holdMs", "longestHoldMs", "forgetsAfterMs", "stageMs",
        "stages", "learnsForMs", "coldForMs", "slotsPerNode", "guardsList", "tiers");

    private final SnapshotStore store;
    private final ExecutorService loop;
    private final LongSupplier clock;
    private List<String> zones = List.of();
    private Dispatch.Settings settings;
    private ZonePolicy policy;

    public ZoneResource(SnapshotStore store, ExecutorService loop, LongSupplier clock) {
        this.store = store;
        this.loop = loop;
        this.clock = clock;
    }

    /** The policy by what the snapshot holds; null where zones are off. */
    public ZonePolicy policy(List<String> names, Dispatch.Settings module) throws SnapshotException {
        zones = names;
        settings = module;
        JsonElement section = store.current().section(SECTION);
        if (section == null) {
            return null;
        }
        try {
            JsonObject object = section.getAsJsonObject();
            if (object.get("version").getAsInt() > SECTION_VERSION) {
                throw new SnapshotException("section " + SECTION + " was written by a newer program");
            }
            policy = new ZonePolicy(read(object.getAsJsonObject("settings")));
            return policy;
        } catch (IllegalArgumentException e) {
            throw new SnapshotException("section " + SECTION + ": " + e.getMessage());
        } catch (IllegalStateException | NullPointerException | ClassCastException | UnsupportedOperationException e) {
            throw new SnapshotException("section " + SECTION + " is malformed");
        }
    }

    /** Reads settings; what makes no sense is told by the key that says it. */
    private ZoneSettings read(JsonObject from) {
        ZoneSettings s = new ZoneSettings();
        s.zones = zones;
        s.own = settings.zone;
        s.dispatchers = settings.dispatchers;
        s.index = settings.index;
        s.worths = settings.classes.stream().mapToDouble(Dispatch.JobClass::worth).toArray();
        s.coldFor = settings.coldFor;
        s.coldShare = settings.coldShare;
        s.fallMultiple = settings.fallMultiple;
        s.fallWindow = settings.fallWindow;
        for (Map.Entry<String, JsonElement> entry : from.entrySet()) {
            if (!KEYS.contains(entry.getKey())) {
                throw new IllegalArgumentException(entry.getKey() + " is no setting of zones");
            }
            try {
                set(s, entry.getKey(), entry.getValue());
            } catch (IllegalStateException | NumberFormatException | UnsupportedOperationException | ClassCastException e) {
                throw new IllegalArgumentException(entry.getKey() + " has a value of the wrong kind");
            }
        }
        return s.checked();
    }

    private void set(ZoneSettings s, String key, JsonElement value) {
        switch (key) {
            case "openAt" -> s.openAt = value.getAsDouble();
            case "closeAt" -> s.closeAt = value.getAsDouble();
            case "degradedAt" -> s.degradedAt = value.getAsDouble();
            case "darkAt" -> s.darkAt = value.getAsDouble();
            case "leastNodes" -> s.leastNodes = value.getAsInt();
            case "evidenceForMs" -> s.evidenceFor = micros(value);
            case "spillShare" -> s.spillShare = value.getAsDouble();
            case "spillLeaves" -> s.spillLeaves = value.getAsDouble();
            case "spillReserve" -> s.spillReserve = value.getAsDouble();
            case "holdMs" -> s.hold = micros(value);
            case "longestHoldMs" -> s.longestHold = micros(value);
            case "forgetsAfterMs" -> s.forgetsAfter = micros(value);
            case "stageMs" -> s.stage = micros(value);
            case "learnsForMs" -> s.learnsFor = micros(value);
            case "coldForMs" -> s.coldFor = micros(value);
            case "slotsPerNode" -> s.slotsPerNode = value.getAsDouble();
            case "guardsList" -> {
                if (!value.getAsJsonPrimitive().isBoolean()) {
                    throw new IllegalStateException();
                }
                s.guardsList = value.getAsBoolean();
            }
            case "stages" -> {
                JsonArray list = value.getAsJsonArray();
                s.stages = new double[list.size()];
                Arrays.setAll(s.stages, i -> list.get(i).getAsDouble());
            }
            default -> s.tiers = tiers(value.getAsJsonObject());
        }
    }

    private static long micros(JsonElement value) {
        return Math.round(value.getAsDouble() * 1000);
    }

    /** For each class, by name or as {@code default}, lists of zones in order of preference; {@code own} and {@code any}. */
    private int[][] tiers(JsonObject from) {
        for (String name : from.keySet()) {
            if (!name.equals("default") && settings.classes.stream().noneMatch(c -> c.name().equals(name))) {
                throw new IllegalArgumentException("tiers: there is no class " + name);
            }
        }
        int[][] tiers = new int[settings.classes.size()][zones.size()];
        for (int c = 0; c < tiers.length; c++) {
            JsonElement of = from.get(settings.classes.get(c).name());
            of = of == null ? from.get("default") : of;
            Arrays.fill(tiers[c], -1);
            if (of == null) {
                Arrays.fill(tiers[c], 1);
                tiers[c][settings.zone] = 0;
                continue;
            }
            int tier = 0;
            for (JsonElement level : of.getAsJsonArray()) {
                for (JsonElement name : level.getAsJsonArray()) {
                    String zone = name.getAsString();
                    for (int z = 0; z < zones.size(); z++) {
                        boolean meant = zone.equals("any") || zone.equals(z == settings.zone ? "own" : "")
                            || zone.equals(zones.get(z));
                        tiers[c][z] = meant && tiers[c][z] < 0 ? tier : tiers[c][z];
                    }
                    if (!zone.equals("any") && !zone.equals("own") && !zones.contains(zone)) {
                        throw new IllegalArgumentException("tiers: there is no zone " + zone);
                    }
                }
                tier++;
            }
        }
        return tiers;
    }

    @Override public Reply handle(Call call) throws Exception {
        if (!call.path().isEmpty()) {
            return Reply.problem(404, "there is only /v1/zones");
        }
        switch (call.method()) {
            case "GET" -> {
                return Reply.json(200, view());
            }
            case "DELETE" -> {
                return kept(store.set(store.current().with(SECTION, null)));
            }
            case "PUT" -> {
                JsonObject object;
                try {
                    object = JsonParser.parseString(new String(call.body(), StandardCharsets.UTF_8)).getAsJsonObject();
                    read(object);
                } catch (JsonParseException | IllegalStateException e) {
                    return Reply.problem(422, "the body must be a JSON object of settings");
                } catch (IllegalArgumentException e) {
                    return Reply.problem(422, e.getMessage());
                }
                JsonObject section = new JsonObject();
                section.addProperty("version", SECTION_VERSION);
                section.add("settings", object);
                String dry = call.query().get("dry-run");
                return dry != null && !dry.equals("false") ? Reply.json(200, section)
                    : kept(store.set(store.current().with(SECTION, section)));
            }
            default -> {
                return Reply.problem(405, "GET, PUT or DELETE");
            }
        }
    }

    private Reply kept(boolean kept) {
        JsonObject report = new JsonObject();
        report.addProperty("revision", store.current().revision());
        report.addProperty("kept", kept);
        report.addProperty("counts", "from the next start on");
        return Reply.json(200, report);
    }

    private JsonObject view() throws InterruptedException, ExecutionException {
        JsonObject view = new JsonObject();
        view.addProperty("on", policy != null);
        JsonElement section = store.current().section(SECTION);
        view.add("settings", section == null ? null : section.getAsJsonObject().get("settings"));
        JsonArray all = new JsonArray();
        if (policy != null) {
            long now = clock.getAsLong();
            for (ZonePolicy.View zone : loop.submit(() -> policy.views(now)).get()) {
                JsonObject each = new JsonObject();
                each.addProperty("zone", zone.zone());
                each.addProperty("standing", zone.standing().name().toLowerCase(java.util.Locale.ROOT));
                each.addProperty("forS", (now - zone.since()) / 100_000 / 10.0);
                each.addProperty("evidence", zone.evidence());
                each.addProperty("stage", zone.stage());
                each.addProperty("losses", zone.losses());
                each.addProperty("ready", zone.ready());
                each.addProperty("usual", Math.round(zone.usual() * 10) / 10.0);
                each.addProperty("silent", zone.silent());
                each.addProperty("slotsAtWork", zone.inFlight());
                each.addProperty("slotsSpilled", zone.spilled());
                each.addProperty("spillBound", Math.round(zone.bound() * 100) / 100.0);
                each.addProperty("nextTierOpen", zone.open());
                each.addProperty("spills", zone.spills());
                each.addProperty("refusals", zone.refusals());
                all.add(each);
            }
        }
        view.add("zones", all);
        return view;
    }
}

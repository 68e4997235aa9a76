package badgermux.gate;

import badgermux.admin.Call;
import badgermux.admin.Reply;
import badgermux.admin.Resource;
import badgermux.contract.Contracts;
import badgermux.contract.Description;
import badgermux.contract.DescriptionException;
import badgermux.contract.Diff;
import badgermux.contract.Document;
import badgermux.contract.Request;
import badgermux.contract.Verdict;
import badgermux.operator.SnapshotException;
import badgermux.operator.SnapshotStore;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.regex.Pattern;
import org.tinylog.Logger;

/**
 * {@code /v1/contracts}: the descriptions in force, set and taken back one at a time. A change is compiled whole, told
 * against what is in force, kept and only then installed; one that can't be used changes nothing. Runs on the admin
 * thread.
 */
public final class ContractResource implements Resource {
    /** The section of the snapshot. */
    public static final String SECTION = "contracts";
    private static final int SECTION_VERSION = 1, MOST = 100, MOST_SAMPLES = 5;
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

    /** A description as it was set, and compiled; {@code revision} is the snapshot's at which that was done. */
    private record Entry(String main, Map<String, String> documents, long revision, Description compiled) { }

    private final SnapshotStore store;
    private final ExecutorService loop;
    private final Map<String, Entry> entries = new TreeMap<>();
    private Contracts contracts;
    private boolean passesUndescribed;
    private ContractGate gate;

    /**
     * Compiles what the snapshot holds.
     *
     * @param loop runs work on the event loop
     * @throws SnapshotException where it can't be used
     */
    public ContractResource(SnapshotStore store, ExecutorService loop) throws SnapshotException {
        this.store = store;
        this.loop = loop;
        JsonElement section = store.current().section(SECTION);
        try {
            if (section != null) {
                read(section.getAsJsonObject());
            }
            contracts = join(entries, passesUndescribed, store.current().revision());
        } catch (DescriptionException e) {
            throw new SnapshotException("section " + SECTION + " can't be used: " + e.problems().get(0));
        } catch (IllegalStateException | NullPointerException | ClassCastException | UnsupportedOperationException e) {
            throw new SnapshotException("section " + SECTION + " is malformed");
        }
    }

    private void read(JsonObject section) throws SnapshotException, DescriptionException {
        if (section.get("version").getAsInt() > SECTION_VERSION) {
            throw new SnapshotException("section " + SECTION + " was written by a newer program");
        }
        passesUndescribed = section.get("undescribed").getAsString().equals("pass");
        for (Map.Entry<String, JsonElement> each : section.getAsJsonObject("descriptions").entrySet()) {
            JsonObject from = each.getValue().getAsJsonObject();
            Map<String, String> documents = new TreeMap<>();
            from.getAsJsonObject("documents").entrySet()
                .forEach(document -> documents.put(document.getKey(), document.getValue().getAsString()));
            entries.put(each.getKey(), compile(each.getKey(), from.get("main").getAsString(), documents,
                from.get("revision").getAsLong()));
        }
    }

    /** The gate that judges by what is set here. */
    public ContractGate gate(java.util.concurrent.Executor onLoop, badgermux.metrics.Metrics metrics) {
        gate = new ContractGate(onLoop, metrics, contracts);
        return gate;
    }

    private static Entry compile(String name, String main, Map<String, String> documents, long revision)
            throws DescriptionException {
        List<Document> others = new ArrayList<>();
        Document primary = null;
        for (Map.Entry<String, String> document : documents.entrySet()) {
            Document read = Document.read(document.getKey(), document.getValue().getBytes(StandardCharsets.UTF_8));
            if (document.getKey().equals(main)) {
                primary = read;
            } else {
                others.add(read);
            }
        }
        return new Entry(main, documents, revision, Description.compile(name, primary, others));
    }

    private static Contracts join(Map<String, Entry> entries, boolean passes, long revision)
            throws DescriptionException {
        return Contracts.of(revision, entries.values().stream().map(Entry::compiled).toList(), passes);
    }

    @Override public Reply handle(Call call) throws Exception {
        if (call.path().isEmpty()) {
            return switch (call.method()) {
                case "GET" -> Reply.json(200, overview());
                case "PUT" -> settings(call);
                default -> Reply.problem(405, "GET or PUT");
            };
        }
        String name = call.path().get(0);
        if (call.path().size() > 1 || !NAME.matcher(name).matches()) {
            return Reply.problem(404, "a description's name has letters, digits, '.', '_' and '-', 64 at most");
        }
        Entry known = entries.get(name);
        if (call.method().equals("GET")) {
            return known == null ? Reply.problem(404, "there is no description of this name")
                : Reply.json(200, etag(known.revision()), detail(name, known));
        }
        if (!call.method().equals("PUT") && !call.method().equals("DELETE")) {
            return Reply.problem(405, "GET, PUT or DELETE");
        }
        Reply refused = precondition(call, known);
        if (refused != null) {
            return refused;
        }
        if (call.method().equals("DELETE")) {
            Map<String, Entry> next = new TreeMap<>(entries);
            next.remove(name);
            return change(call, next, passesUndescribed, null, known, name);
        }
        return put(call, name, known);
    }

    private static String etag(long revision) {
        return "ETag: \"" + revision + "\"\r\n";
    }

    /** Guards against an operator who overwrites what another has just set. */
    private static Reply precondition(Call call, Entry known) {
        if (known == null) {
            return call.method().equals("DELETE") ? Reply.problem(404, "there is no description of this name")
                : call.ifMatch() != null ? Reply.problem(412, "there is no description of this name yet") : null;
        }
        boolean dry = isDry(call);
        if (call.ifMatch() == null) {
            return dry ? null : Reply.problem(428, "If-Match must name the revision that is to be replaced: \""
                + known.revision() + '"');
        }
        return call.ifMatch().equals("*") || call.ifMatch().equals('"' + String.valueOf(known.revision()) + '"') ? null
            : Reply.problem(412, "the description has changed; it is at revision " + known.revision());
    }

    private static boolean isDry(Call call) {
        String dry = call.query().get("dry-run");
        return dry != null && !dry.equals("false");
    }

    private Reply put(Call call, String name, Entry known) throws Exception {
        if (known == null && entries.size() >= MOST) {
            return Reply.problem(409, "there are " + MOST + " descriptions already");
        }
        Map<String, String> documents = new TreeMap<>();
        String main = name;
        String text = new String(call.body(), StandardCharsets.UTF_8);
        JsonObject wrapped = wrapped(text);
        if (wrapped == null) {
            documents.put(name, text);
        } else {
            try {
                wrapped.getAsJsonObject("documents").entrySet()
                    .forEach(document -> documents.put(document.getKey(), document.getValue().getAsString()));
                main = wrapped.get("main").getAsString();
            } catch (IllegalStateException | NullPointerException | ClassCastException
                    | UnsupportedOperationException e) {
                return Reply.problem(422, "documents must map names to texts, and main must name one of them");
            }
            if (!documents.containsKey(main)) {
                return Reply.problem(422, "main names no document: " + main);
            }
        }
        Entry made;
        try {
            made = compile(name, main, documents, store.current().revision() + 1);
        } catch (DescriptionException e) {
            return problems("the description can't be used; nothing has changed", e);
        }
        Map<String, Entry> next = new TreeMap<>(entries);
        next.put(name, made);
        return change(call, next, passesUndescribed, made, known, name);
    }

    /** Several documents in one JSON object; null where the text is a description itself. */
    private static JsonObject wrapped(String text) {
        if (!text.stripLeading().startsWith("{") || !text.contains("\"documents\"")) {
            return null;
        }
        try {
            JsonObject object = JsonParser.parseString(text).getAsJsonObject();
            return object.has("documents") && !object.has("openapi") && !object.has("asyncapi") ? object : null;
        } catch (JsonParseException | IllegalStateException e) {
            return null;
        }
    }

    private static Reply problems(String detail, DescriptionException e) {
        return Reply.problem(422, detail, e.problems().stream().map(problem -> {
            JsonObject each = new JsonObject();
            each.addProperty("document", problem.document());
            each.addProperty("line", problem.line());
            each.addProperty("pointer", problem.pointer());
            each.addProperty("reason", problem.reason());
            return each;
        }).toList());
    }

    private Reply settings(Call call) throws Exception {
        String word;
        try {
            word = JsonParser.parseString(new String(call.body(), StandardCharsets.UTF_8)).getAsJsonObject()
                .get("undescribed").getAsString();
        } catch (RuntimeException e) {
            word = "";
        }
        if (!word.equals("pass") && !word.equals("refuse")) {
            return Reply.problem(422, "undescribed must be pass or refuse");
        }
        return change(call, entries, word.equals("pass"), null, null, null);
    }

    /** Checks a change as a whole, reports on it and, unless it is a dry run, keeps and installs it. */
    private Reply change(Call call, Map<String, Entry> next, boolean passes, Entry made, Entry before, String name)
            throws Exception {
        long revision = store.current().revision() + 1;
        Contracts joined;
        try {
            joined = join(next, passes, revision);
        } catch (DescriptionException e) {
            return problems("it contradicts another description; nothing has changed", e);
        }
        JsonObject report = new JsonObject();
        report.addProperty("revision", revision);
        report.addProperty("dryRun", isDry(call));
        if (made != null) {
            report.addProperty("kind", made.compiled().kind());
            report.addProperty("routes", made.compiled().size());
            report.add("warnings", strings(made.compiled().warnings()));
        }
        report.add("breaking", made == null || before == null ? new JsonArray()
            : strings(Diff.of(before.compiled(), made.compiled())));
        report.add("recent", recent(joined));
        if (!isDry(call)) {
            entries.keySet().retainAll(next.keySet());
            entries.putAll(next);
            passesUndescribed = passes;
            boolean kept = store.set(store.current().with(SECTION, section()));
            contracts = joined;
            onLoop(() -> {
                gate.install(joined);
                return null;
            });
            report.addProperty("kept", kept);
            Logger.info("contracts revision {}: {} descriptions, {} paths and channels{}", revision, entries.size(),
                joined.size(), name == null ? "" : ", changed: " + name);
        }
        return Reply.json(made != null && before == null && !isDry(call) ? 201 : 200,
            made == null || isDry(call) ? "" : etag(revision), report);
    }

    private JsonObject section() {
        JsonObject section = new JsonObject();
        section.addProperty("version", SECTION_VERSION);
        section.addProperty("undescribed", passesUndescribed ? "pass" : "refuse");
        JsonObject all = new JsonObject();
        entries.forEach((name, entry) -> all.add(name, detail(name, entry)));
        section.add("descriptions", all);
        return section;
    }

    private static JsonObject detail(String name, Entry entry) {
        JsonObject detail = new JsonObject();
        detail.addProperty("main", entry.main());
        detail.addProperty("revision", entry.revision());
        JsonObject documents = new JsonObject();
        entry.documents().forEach(documents::addProperty);
        detail.add("documents", documents);
        return detail;
    }

    private JsonObject overview() throws InterruptedException, ExecutionException {
        JsonObject overview = new JsonObject();
        overview.addProperty("revision", contracts.revision());
        overview.addProperty("undescribed", passesUndescribed ? "pass" : "refuse");
        JsonArray all = new JsonArray();
        entries.forEach((name, entry) -> {
            JsonObject each = new JsonObject();
            each.addProperty("name", name);
            each.addProperty("kind", entry.compiled().kind());
            each.addProperty("routes", entry.compiled().size());
            each.addProperty("revision", entry.revision());
            each.add("warnings", strings(entry.compiled().warnings()));
            all.add(each);
        });
        overview.add("descriptions", all);
        JsonArray alive = new JsonArray();
        onLoop(gate::alive).forEach(revision -> {
            JsonObject each = new JsonObject();
            each.addProperty("revision", revision.revision());
            each.addProperty("open", revision.open());
            alive.add(each);
        });
        overview.add("alive", alive);
        return overview;
    }

    private <T> T onLoop(Callable<T> work) throws InterruptedException, ExecutionException {
        return loop.submit(work).get();
    }

    private static JsonArray strings(List<?> of) {
        JsonArray strings = new JsonArray();
        of.forEach(each -> strings.add(each.toString()));
        return strings;
    }

    /** The last requests, judged by what is in force and by what would be. */
    private JsonObject recent(Contracts next) throws InterruptedException, ExecutionException {
        int refused = 0;
        int allowed = 0;
        JsonArray samples = new JsonArray();
        List<Request> requests = onLoop(gate::recent);
        for (Request request : requests) {
            Verdict before = contracts.judge(request).verdict();
            Verdict after = next.judge(request).verdict();
            allowed += !before.conforms() && after.conforms() ? 1 : 0;
            if (before.conforms() && !after.conforms()) {
                refused++;
                if (samples.size() < MOST_SAMPLES) {
                    JsonObject sample = new JsonObject();
                    String target = request.target();
                    sample.addProperty("request", request.method() + ' ' + target.substring(0,
                        Math.min(Math.min(target.length(), 64), target.indexOf('?') < 0 ? 64 : target.indexOf('?'))));
                    sample.addProperty("status", after.status());
                    sample.addProperty("fault", after.faults().get(0).pointer() + ": "
                        + after.faults().get(0).message());
                    samples.add(sample);
                }
            }
        }
        JsonObject report = new JsonObject();
        report.addProperty("judged", requests.size());
        report.addProperty("newlyRefused", refused);
        report.addProperty("newlyAllowed", allowed);
        report.add("samples", samples);
        return report;
    }
}

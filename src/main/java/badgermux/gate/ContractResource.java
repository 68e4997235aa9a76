package badgermux.gate;

import badgermux.admin.AdminRequest;
import badgermux.admin.AdminResponse;
import badgermux.admin.Resource;
import badgermux.contract.ContractSet;
import badgermux.contract.ApiDescription;
import badgermux.contract.DescriptionException;
import badgermux.contract.DescriptionDiff;
import badgermux.contract.Document;
import badgermux.contract.HttpRequest;
import badgermux.contract.ValidationResult;
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
    private static final int SECTION_VERSION = 1, MAX_DESCRIPTIONS = 100, MAX_SAMPLES = 5;
    private static final Pattern DESCRIPTION_NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

    /** A description as it was set, and compiled; {@code revision} is the snapshot's at which that was done. */
    private record StoredDescription(String main, Map<String, String> documents, long revision, ApiDescription description) { }

    private final SnapshotStore store;
    private final ExecutorService eventLoop;
    private final Map<String, StoredDescription> descriptions = new TreeMap<>();
    private ContractSet contracts;
    private boolean passesUndescribed;
    private ContractValidator contractValidator;

    /**
     * Compiles what the snapshot holds.
     *
     * @param loop runs work on the event loop
     * @throws SnapshotException where it can't be used
     */
    public ContractResource(SnapshotStore store, ExecutorService loop) throws SnapshotException {
        this.store = store;
        this.eventLoop = loop;
        JsonElement section = store.current().section(SECTION);
        try {
            if (section != null) {
                readSection(section.getAsJsonObject());
            }
            contracts = combine(descriptions, passesUndescribed, store.current().revision());
        } catch (DescriptionException e) {
            throw new SnapshotException("section " + SECTION + " can't be used: " + e.problems().get(0));
        } catch (IllegalStateException | NullPointerException | ClassCastException | UnsupportedOperationException e) {
            throw new SnapshotException("section " + SECTION + " is malformed");
        }
    }

    private void readSection(JsonObject section) throws SnapshotException, DescriptionException {
        if (section.get("version").getAsInt() > SECTION_VERSION) {
            throw new SnapshotException("section " + SECTION + " was written by a newer program");
        }
        passesUndescribed = section.get("undescribed").getAsString().equals("pass");
        for (Map.Entry<String, JsonElement> each : section.getAsJsonObject("descriptions").entrySet()) {
            JsonObject from = each.getValue().getAsJsonObject();
            Map<String, String> documents = new TreeMap<>();
            from.getAsJsonObject("documents").entrySet()
                .forEach(document -> documents.put(document.getKey(), document.getValue().getAsString()));
            descriptions.put(each.getKey(), compile(each.getKey(), from.get("main").getAsString(), documents,
                from.get("revision").getAsLong()));
        }
    }

    /** The gate that judges by what is set here. */
    public ContractValidator contractValidator(java.util.concurrent.Executor onLoop, badgermux.metrics.Metrics metrics) {
        contractValidator = new ContractValidator(onLoop, metrics, contracts);
        return contractValidator;
    }

    private static StoredDescription compile(String name, String main, Map<String, String> documents, long revision)
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
        return new StoredDescription(main, documents, revision, ApiDescription.compile(name, primary, others));
    }

    private static ContractSet combine(Map<String, StoredDescription> entries, boolean passes, long revision)
            throws DescriptionException {
        return ContractSet.of(revision, entries.values().stream().map(StoredDescription::description).toList(), passes);
    }

    @Override public AdminResponse handle(AdminRequest call) throws Exception {
        if (call.path().isEmpty()) {
            return switch (call.method()) {
                case "GET" -> AdminResponse.json(200, overview());
                case "PUT" -> putSettings(call);
                default -> AdminResponse.problem(405, "GET or PUT");
            };
        }
        String name = call.path().get(0);
        if (call.path().size() > 1 || !DESCRIPTION_NAME.matcher(name).matches()) {
            return AdminResponse.problem(404, "a description's name has letters, digits, '.', '_' and '-', 64 at most");
        }
        StoredDescription known = descriptions.get(name);
        if (call.method().equals("GET")) {
            return known == null ? AdminResponse.problem(404, "there is no description of this name")
                : AdminResponse.json(200, etagHeader(known.revision()), toJson(name, known));
        }
        if (!call.method().equals("PUT") && !call.method().equals("DELETE")) {
            return AdminResponse.problem(405, "GET, PUT or DELETE");
        }
        AdminResponse refused = checkPrecondition(call, known);
        if (refused != null) {
            return refused;
        }
        if (call.method().equals("DELETE")) {
            Map<String, StoredDescription> next = new TreeMap<>(descriptions);
            next.remove(name);
            return applyChange(call, next, passesUndescribed, null, known, name);
        }
        return putDescription(call, name, known);
    }

    private static String etagHeader(long revision) {
        return "ETag: \"" + revision + "\"\r\n";
    }

    /** Guards against an operator who overwrites what another has just set. */
    private static AdminResponse checkPrecondition(AdminRequest call, StoredDescription known) {
        if (known == null) {
            return call.method().equals("DELETE") ? AdminResponse.problem(404, "there is no description of this name")
                : call.ifMatch() != null ? AdminResponse.problem(412, "there is no description of this name yet") : null;
        }
        boolean dry = isDryRun(call);
        if (call.ifMatch() == null) {
            return dry ? null : AdminResponse.problem(428, "If-Match must name the revision that is to be replaced: \""
                + known.revision() + '"');
        }
        return call.ifMatch().equals("*") || call.ifMatch().equals('"' + String.valueOf(known.revision()) + '"') ? null
            : AdminResponse.problem(412, "the description has changed; it is at revision " + known.revision());
    }

    private static boolean isDryRun(AdminRequest call) {
        String dry = call.query().get("dry-run");
        return dry != null && !dry.equals("false");
    }

    private AdminResponse putDescription(AdminRequest call, String name, StoredDescription known) throws Exception {
        if (known == null && descriptions.size() >= MAX_DESCRIPTIONS) {
            return AdminResponse.problem(409, "there are " + MAX_DESCRIPTIONS + " descriptions already");
        }
        Map<String, String> documents = new TreeMap<>();
        String main = name;
        String text = new String(call.body(), StandardCharsets.UTF_8);
        JsonObject wrapped = parseMultipleDocuments(text);
        if (wrapped == null) {
            documents.put(name, text);
        } else {
            try {
                wrapped.getAsJsonObject("documents").entrySet()
                    .forEach(document -> documents.put(document.getKey(), document.getValue().getAsString()));
                main = wrapped.get("main").getAsString();
            } catch (IllegalStateException | NullPointerException | ClassCastException
                    | UnsupportedOperationException e) {
                return AdminResponse.problem(422, "documents must map names to texts, and main must name one of them");
            }
            if (!documents.containsKey(main)) {
                return AdminResponse.problem(422, "main names no document: " + main);
            }
        }
        StoredDescription made;
        try {
            made = compile(name, main, documents, store.current().revision() + 1);
        } catch (DescriptionException e) {
            return problemsReply("the description can't be used; nothing has changed", e);
        }
        Map<String, StoredDescription> next = new TreeMap<>(descriptions);
        next.put(name, made);
        return applyChange(call, next, passesUndescribed, made, known, name);
    }

    /** Several documents in one JSON object; null where the text is a description itself. */
    private static JsonObject parseMultipleDocuments(String text) {
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

    private static AdminResponse problemsReply(String detail, DescriptionException e) {
        return AdminResponse.problem(422, detail, e.problems().stream().map(problem -> {
            JsonObject each = new JsonObject();
            each.addProperty("document", problem.document());
            each.addProperty("line", problem.line());
            each.addProperty("pointer", problem.pointer());
            each.addProperty("reason", problem.reason());
            return each;
        }).toList());
    }

    private AdminResponse putSettings(AdminRequest call) throws Exception {
        String word;
        try {
            word = JsonParser.parseString(new String(call.body(), StandardCharsets.UTF_8)).getAsJsonObject()
                .get("undescribed").getAsString();
        } catch (RuntimeException e) {
            word = "";
        }
        if (!word.equals("pass") && !word.equals("refuse")) {
            return AdminResponse.problem(422, "undescribed must be pass or refuse");
        }
        return applyChange(call, descriptions, word.equals("pass"), null, null, null);
    }

    /** Checks a change as a whole, reports on it and, unless it is a dry run, keeps and installs it. */
    private AdminResponse applyChange(AdminRequest call, Map<String, StoredDescription> next, boolean passes, StoredDescription made, StoredDescription before, String name)
            throws Exception {
        long revision = store.current().revision() + 1;
        ContractSet joined;
        try {
            joined = combine(next, passes, revision);
        } catch (DescriptionException e) {
            return problemsReply("it contradicts another description; nothing has changed", e);
        }
        JsonObject report = new JsonObject();
        report.addProperty("revision", revision);
        report.addProperty("dryRun", isDryRun(call));
        if (made != null) {
            report.addProperty("kind", made.description().specification());
            report.addProperty("routes", made.description().size());
            report.add("warnings", toJsonStrings(made.description().warnings()));
        }
        report.add("breaking", made == null || before == null ? new JsonArray()
            : toJsonStrings(DescriptionDiff.breakingChanges(before.description(), made.description())));
        report.add("recent", compareOnRecentRequests(joined));
        if (!isDryRun(call)) {
            descriptions.keySet().retainAll(next.keySet());
            descriptions.putAll(next);
            passesUndescribed = passes;
            boolean kept = store.replace(store.current().with(SECTION, toSection()));
            contracts = joined;
            callOnEventLoop(() -> {
                contractValidator.install(joined);
                return null;
            });
            report.addProperty("kept", kept);
            Logger.info("contracts revision {}: {} descriptions, {} paths and channels{}", revision, descriptions.size(),
                joined.size(), name == null ? "" : ", changed: " + name);
        }
        return AdminResponse.json(made != null && before == null && !isDryRun(call) ? 201 : 200,
            made == null || isDryRun(call) ? "" : etagHeader(revision), report);
    }

    private JsonObject toSection() {
        JsonObject section = new JsonObject();
        section.addProperty("version", SECTION_VERSION);
        section.addProperty("undescribed", passesUndescribed ? "pass" : "refuse");
        JsonObject all = new JsonObject();
        descriptions.forEach((name, entry) -> all.add(name, toJson(name, entry)));
        section.add("descriptions", all);
        return section;
    }

    private static JsonObject toJson(String name, StoredDescription entry) {
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
        descriptions.forEach((name, entry) -> {
            JsonObject each = new JsonObject();
            each.addProperty("name", name);
            each.addProperty("kind", entry.description().specification());
            each.addProperty("routes", entry.description().size());
            each.addProperty("revision", entry.revision());
            each.add("warnings", toJsonStrings(entry.description().warnings()));
            all.add(each);
        });
        overview.add("descriptions", all);
        JsonArray alive = new JsonArray();
        callOnEventLoop(contractValidator::activeRevisions).forEach(revision -> {
            JsonObject each = new JsonObject();
            each.addProperty("revision", revision.revision());
            each.addProperty("open", revision.openRequests());
            alive.add(each);
        });
        overview.add("alive", alive);
        return overview;
    }

    private <T> T callOnEventLoop(Callable<T> work) throws InterruptedException, ExecutionException {
        return eventLoop.submit(work).get();
    }

    private static JsonArray toJsonStrings(List<?> of) {
        JsonArray strings = new JsonArray();
        of.forEach(each -> strings.add(each.toString()));
        return strings;
    }

    /** The last requests, judged by what is in force and by what would be. */
    private JsonObject compareOnRecentRequests(ContractSet next) throws InterruptedException, ExecutionException {
        int refused = 0;
        int allowed = 0;
        JsonArray samples = new JsonArray();
        List<HttpRequest> requests = callOnEventLoop(contractValidator::recentRequests);
        for (HttpRequest request : requests) {
            ValidationResult before = contracts.validate(request).result();
            ValidationResult after = next.validate(request).result();
            allowed += !before.conforms() && after.conforms() ? 1 : 0;
            if (before.conforms() && !after.conforms()) {
                refused++;
                if (samples.size() < MAX_SAMPLES) {
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

package badgermux.gate;

import badgermux.admin.AdminRequest;
import badgermux.admin.AdminResponse;
import badgermux.admin.Resource;
import badgermux.contract.ApiDescription;
import badgermux.contract.ContractSet;
import badgermux.contract.DescriptionDiff;
import badgermux.contract.DescriptionException;
import badgermux.contract.Document;
import badgermux.contract.HttpRequest;
import badgermux.contract.ValidationResult;
import badgermux.metrics.Metrics;
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
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.regex.Pattern;
import org.tinylog.Logger;

/**
 * The admin resource {@code /v1/contracts}: lists the descriptions in force, and adds, replaces or removes them one at a
 * time. A change is first compiled as a whole and compared with the contracts in force, then stored in the snapshot, and
 * only then installed. A change that can't be used has no effect. Runs on the admin thread.
 */
public final class ContractResource implements Resource {
    /** The name of this resource's section in the snapshot. */
    public static final String SECTION = "contracts";
    /** The version of the section's format. */
    private static final int SECTION_VERSION = 1;
    private static final int MAX_DESCRIPTIONS = 100;
    /** How many newly refused requests a report lists at most. */
    private static final int MAX_SAMPLES = 5;
    private static final Pattern DESCRIPTION_NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

    /**
     * A description as it was received, and compiled.
     *
     * @param main        the name of the document that holds the description
     * @param documents   the texts of all documents, by name
     * @param revision    the revision of the snapshot that stored it first
     * @param description the compiled description
     */
    private record StoredDescription(String main, Map<String, String> documents, long revision, ApiDescription description) { }

    private final SnapshotStore store;
    private final ExecutorService eventLoop;
    private final Map<String, StoredDescription> descriptions = new TreeMap<>();
    private ContractSet contracts;
    /** Whether requests to paths without a description are passed on; otherwise they are refused. */
    private boolean passesUndescribed;
    private ContractValidator contractValidator;

    /**
     * Compiles the descriptions in the snapshot.
     *
     * @param eventLoop runs tasks on the event loop
     * @throws SnapshotException if the snapshot's section can't be used
     */
    public ContractResource(SnapshotStore store, ExecutorService eventLoop) throws SnapshotException {
        this.store = store;
        this.eventLoop = eventLoop;
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
        for (Map.Entry<String, JsonElement> entry : section.getAsJsonObject("descriptions").entrySet()) {
            JsonObject stored = entry.getValue().getAsJsonObject();
            Map<String, String> documents = new TreeMap<>();
            stored.getAsJsonObject("documents").entrySet()
                .forEach(document -> documents.put(document.getKey(), document.getValue().getAsString()));
            descriptions.put(entry.getKey(), compile(entry.getKey(), stored.get("main").getAsString(), documents,
                stored.get("revision").getAsLong()));
        }
    }

    /** Creates the validator that applies the contracts of this resource. To be called once, before the first request. */
    public ContractValidator contractValidator(Executor loopExecutor, Metrics metrics) {
        contractValidator = new ContractValidator(loopExecutor, metrics, contracts);
        return contractValidator;
    }

    private static StoredDescription compile(String name, String main, Map<String, String> documents, long revision)
            throws DescriptionException {
        List<Document> others = new ArrayList<>();
        Document primary = null;
        for (Map.Entry<String, String> document : documents.entrySet()) {
            Document parsed = Document.read(document.getKey(), document.getValue().getBytes(StandardCharsets.UTF_8));
            if (document.getKey().equals(main)) {
                primary = parsed;
            } else {
                others.add(parsed);
            }
        }
        return new StoredDescription(main, documents, revision, ApiDescription.compile(name, primary, others));
    }

    private static ContractSet combine(Map<String, StoredDescription> descriptions, boolean passesUndescribed, long revision)
            throws DescriptionException {
        return ContractSet.of(revision, descriptions.values().stream().map(StoredDescription::description).toList(),
            passesUndescribed);
    }

    @Override public AdminResponse handle(AdminRequest request) throws Exception {
        if (request.path().isEmpty()) {
            return switch (request.method()) {
                case "GET" -> AdminResponse.json(200, overview());
                case "PUT" -> putSettings(request);
                default -> AdminResponse.problem(405, "GET or PUT");
            };
        }
        String name = request.path().get(0);
        if (request.path().size() > 1 || !DESCRIPTION_NAME.matcher(name).matches()) {
            return AdminResponse.problem(404, "a description's name has letters, digits, '.', '_' and '-', 64 at most");
        }
        StoredDescription existing = descriptions.get(name);
        if (request.method().equals("GET")) {
            return existing == null ? AdminResponse.problem(404, "there is no description of this name")
                : AdminResponse.json(200, etagHeader(existing.revision()), toJson(name, existing));
        }
        if (!request.method().equals("PUT") && !request.method().equals("DELETE")) {
            return AdminResponse.problem(405, "GET, PUT or DELETE");
        }
        AdminResponse preconditionFailure = checkPrecondition(request, existing);
        if (preconditionFailure != null) {
            return preconditionFailure;
        }
        if (request.method().equals("DELETE")) {
            Map<String, StoredDescription> updated = new TreeMap<>(descriptions);
            updated.remove(name);
            return applyChange(request, updated, passesUndescribed, null, existing, name);
        }
        return putDescription(request, name, existing);
    }

    private static String etagHeader(long revision) {
        return "ETag: \"" + revision + "\"\r\n";
    }

    /**
     * Checks If-Match, so that an operator can't overwrite another operator's change without having seen it. Returns null if
     * the request may go on, else the response.
     */
    private static AdminResponse checkPrecondition(AdminRequest request, StoredDescription existing) {
        if (existing == null) {
            return request.method().equals("DELETE") ? AdminResponse.problem(404, "there is no description of this name")
                : request.ifMatch() != null ? AdminResponse.problem(412, "there is no description of this name yet") : null;
        }
        boolean dryRun = isDryRun(request);
        if (request.ifMatch() == null) {
            return dryRun ? null : AdminResponse.problem(428, "If-Match must name the revision that is to be replaced: \""
                + existing.revision() + '"');
        }
        return request.ifMatch().equals("*") || request.ifMatch().equals('"' + String.valueOf(existing.revision()) + '"') ? null
            : AdminResponse.problem(412, "the description has changed; it is at revision " + existing.revision());
    }

    private static boolean isDryRun(AdminRequest request) {
        String value = request.query().get("dry-run");
        return value != null && !value.equals("false");
    }

    private AdminResponse putDescription(AdminRequest request, String name, StoredDescription existing) throws Exception {
        if (existing == null && descriptions.size() >= MAX_DESCRIPTIONS) {
            return AdminResponse.problem(409, "there are " + MAX_DESCRIPTIONS + " descriptions already");
        }
        Map<String, String> documents = new TreeMap<>();
        String main = name;
        String text = new String(request.body(), StandardCharsets.UTF_8);
        JsonObject wrapper = parseMultipleDocuments(text);
        if (wrapper == null) {
            documents.put(name, text);
        } else {
            try {
                wrapper.getAsJsonObject("documents").entrySet()
                    .forEach(document -> documents.put(document.getKey(), document.getValue().getAsString()));
                main = wrapper.get("main").getAsString();
            } catch (IllegalStateException | NullPointerException | ClassCastException
                    | UnsupportedOperationException e) {
                return AdminResponse.problem(422, "documents must map names to texts, and main must name one of them");
            }
            if (!documents.containsKey(main)) {
                return AdminResponse.problem(422, "main names no document: " + main);
            }
        }
        StoredDescription compiled;
        try {
            compiled = compile(name, main, documents, store.current().revision() + 1);
        } catch (DescriptionException e) {
            return problemsReply("the description can't be used; nothing has changed", e);
        }
        Map<String, StoredDescription> updated = new TreeMap<>(descriptions);
        updated.put(name, compiled);
        return applyChange(request, updated, passesUndescribed, compiled, existing, name);
    }

    /** Parses a JSON object that holds several documents; returns null if the text is itself a description. */
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
            JsonObject json = new JsonObject();
            json.addProperty("document", problem.document());
            json.addProperty("line", problem.line());
            json.addProperty("pointer", problem.pointer());
            json.addProperty("reason", problem.reason());
            return json;
        }).toList());
    }

    private AdminResponse putSettings(AdminRequest request) throws Exception {
        String undescribed;
        try {
            undescribed = JsonParser.parseString(new String(request.body(), StandardCharsets.UTF_8)).getAsJsonObject()
                .get("undescribed").getAsString();
        } catch (RuntimeException e) {
            undescribed = "";
        }
        if (!undescribed.equals("pass") && !undescribed.equals("refuse")) {
            return AdminResponse.problem(422, "undescribed must be pass or refuse");
        }
        return applyChange(request, descriptions, undescribed.equals("pass"), null, null, null);
    }

    /**
     * Checks a change as a whole and reports its effects; unless it is a dry run, also stores and installs it.
     *
     * @param updated  all descriptions after the change
     * @param compiled the added or replacing description; null for another change
     * @param existing the replaced or removed description; null for another change
     * @param name     the name of the changed description; null if only the setting for undescribed paths changes
     */
    private AdminResponse applyChange(AdminRequest request, Map<String, StoredDescription> updated, boolean passUndescribed,
            StoredDescription compiled, StoredDescription existing, String name) throws Exception {
        long revision = store.current().revision() + 1;
        ContractSet combined;
        try {
            combined = combine(updated, passUndescribed, revision);
        } catch (DescriptionException e) {
            return problemsReply("it contradicts another description; nothing has changed", e);
        }
        JsonObject report = new JsonObject();
        report.addProperty("revision", revision);
        report.addProperty("dryRun", isDryRun(request));
        if (compiled != null) {
            report.addProperty("kind", compiled.description().specification());
            report.addProperty("routes", compiled.description().size());
            report.add("warnings", toJsonStrings(compiled.description().warnings()));
        }
        report.add("breaking", compiled == null || existing == null ? new JsonArray()
            : toJsonStrings(DescriptionDiff.breakingChanges(existing.description(), compiled.description())));
        report.add("recent", compareOnRecentRequests(combined));
        if (!isDryRun(request)) {
            descriptions.keySet().retainAll(updated.keySet());
            descriptions.putAll(updated);
            passesUndescribed = passUndescribed;
            boolean kept = store.replace(store.current().with(SECTION, toSection()));
            contracts = combined;
            callOnEventLoop(() -> {
                contractValidator.install(combined);
                return null;
            });
            report.addProperty("kept", kept);
            Logger.info("contracts revision {}: {} descriptions, {} paths and channels{}", revision, descriptions.size(),
                combined.size(), name == null ? "" : ", changed: " + name);
        }
        return AdminResponse.json(compiled != null && existing == null && !isDryRun(request) ? 201 : 200,
            compiled == null || isDryRun(request) ? "" : etagHeader(revision), report);
    }

    /** Returns the section of the snapshot. */
    private JsonObject toSection() {
        JsonObject section = new JsonObject();
        section.addProperty("version", SECTION_VERSION);
        section.addProperty("undescribed", passesUndescribed ? "pass" : "refuse");
        JsonObject stored = new JsonObject();
        descriptions.forEach((name, entry) -> stored.add(name, toJson(name, entry)));
        section.add("descriptions", stored);
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

    /** Returns the settings, a summary of each description, and the revisions in use. */
    private JsonObject overview() throws InterruptedException, ExecutionException {
        JsonObject overview = new JsonObject();
        overview.addProperty("revision", contracts.revision());
        overview.addProperty("undescribed", passesUndescribed ? "pass" : "refuse");
        JsonArray summaries = new JsonArray();
        descriptions.forEach((name, entry) -> {
            JsonObject json = new JsonObject();
            json.addProperty("name", name);
            json.addProperty("kind", entry.description().specification());
            json.addProperty("routes", entry.description().size());
            json.addProperty("revision", entry.revision());
            json.add("warnings", toJsonStrings(entry.description().warnings()));
            summaries.add(json);
        });
        overview.add("descriptions", summaries);
        JsonArray activeRevisions = new JsonArray();
        callOnEventLoop(contractValidator::activeRevisions).forEach(revision -> {
            JsonObject json = new JsonObject();
            json.addProperty("revision", revision.revision());
            json.addProperty("open", revision.openRequests());
            activeRevisions.add(json);
        });
        overview.add("alive", activeRevisions);
        return overview;
    }

    /** Calls a task on the event loop and waits for its result. */
    private <T> T callOnEventLoop(Callable<T> task) throws InterruptedException, ExecutionException {
        return eventLoop.submit(task).get();
    }

    private static JsonArray toJsonStrings(List<?> values) {
        JsonArray strings = new JsonArray();
        values.forEach(value -> strings.add(value.toString()));
        return strings;
    }

    /** Validates the recent requests against the contracts in force and against the candidate, and reports the differences. */
    private JsonObject compareOnRecentRequests(ContractSet candidate) throws InterruptedException, ExecutionException {
        int refused = 0;
        int allowed = 0;
        JsonArray samples = new JsonArray();
        List<HttpRequest> requests = callOnEventLoop(contractValidator::recentRequests);
        for (HttpRequest request : requests) {
            ValidationResult before = contracts.validate(request).result();
            ValidationResult after = candidate.validate(request).result();
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

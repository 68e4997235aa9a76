package badgermux.gate;

import badgermux.admin.AdminRequest;
import badgermux.admin.AdminResponse;
import badgermux.admin.Resource;
import badgermux.contract.ContractSet;
import badgermux.contract.DescriptionDiff;
import badgermux.contract.DescriptionException;
import badgermux.contract.HttpRequest;
import badgermux.contract.ValidationResult;
import badgermux.gate.ContractSettings.StoredDescription;
import badgermux.metrics.Metrics;
import badgermux.operator.OperatorSettings;
import badgermux.operator.SettingsSection;
import badgermux.operator.Snapshot;
import badgermux.operator.SnapshotException;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.regex.Pattern;
import org.tinylog.Logger;

/**
 * The admin resource {@code /v1/contracts}: lists the descriptions in force, and adds, replaces or removes them one at a
 * time. A change is first compiled as a whole and compared with the contracts in force, then stored in the snapshot, and
 * only then installed. A change that can't be used has no effect. Runs on the admin thread.
 */
public final class ContractResource implements Resource, SettingsSection {
    /** The name of this resource's section in the snapshot. */
    public static final String SECTION = ContractSettings.SECTION;
    private static final int MAX_DESCRIPTIONS = 100;
    /** How many newly refused requests a report lists at most. */
    private static final int MAX_SAMPLES = 5;
    private static final Pattern DESCRIPTION_NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

    private final OperatorSettings settings;
    private volatile ContractSettings inForce = ContractSettings.empty();
    private volatile ContractValidator contractValidator;

    /**
     * Compiles the descriptions in the snapshot.
     *
     * @throws SnapshotException if the snapshot's section can't be used
     */
    public ContractResource(OperatorSettings settings) throws SnapshotException {
        this.settings = settings;
        inForce = ContractSettings.read(settings.current(), inForce);
    }

    /** Creates the validator that applies the contracts of this resource. To be called once, before the first request. */
    public ContractValidator contractValidator(Executor loopExecutor, Metrics metrics) {
        contractValidator = new ContractValidator(loopExecutor, metrics, inForce.contracts());
        return contractValidator;
    }

    @Override public Installation prepare(Snapshot snapshot) throws SnapshotException {
        ContractSettings prepared = ContractSettings.read(snapshot, inForce);
        return () -> install(prepared);
    }

    private void install(ContractSettings prepared) throws InterruptedException, ExecutionException {
        inForce = prepared;
        settings.callOnEventLoop(() -> {
            // Null before the first request can come: the validator is created with what is in force then.
            if (contractValidator != null) {
                contractValidator.install(prepared.contracts());
            }
            return null;
        });
    }

    @Override public AdminResponse handle(AdminRequest request) throws Exception {
        try {
            return handleRequest(request);
        } catch (DescriptionException e) {
            return problemsReply("it contradicts another description; nothing has changed", e);
        }
    }

    private AdminResponse handleRequest(AdminRequest request) throws Exception {
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
        StoredDescription existing = inForce.descriptions().get(name);
        if (request.method().equals("GET")) {
            return existing == null ? AdminResponse.problem(404, "there is no description of this name")
                : AdminResponse.json(200, etagHeader(existing.revision()), existing.toJson());
        }
        if (!request.method().equals("PUT") && !request.method().equals("DELETE")) {
            return AdminResponse.problem(405, "GET, PUT or DELETE");
        }
        AdminResponse preconditionFailure = checkPrecondition(request, existing);
        if (preconditionFailure != null) {
            return preconditionFailure;
        }
        if (request.method().equals("DELETE")) {
            return applyChange(request, inForce.with(nextRevision(), name, null), null, existing, name);
        }
        return putDescription(request, name, existing);
    }

    private long nextRevision() {
        return settings.current().revision() + 1;
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
        if (existing == null && inForce.descriptions().size() >= MAX_DESCRIPTIONS) {
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
            compiled = StoredDescription.compile(name, main, documents, nextRevision());
        } catch (DescriptionException e) {
            return problemsReply("the description can't be used; nothing has changed", e);
        }
        return applyChange(request, inForce.with(nextRevision(), name, compiled), compiled, existing, name);
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
        return applyChange(request, inForce.withUndescribed(nextRevision(), undescribed.equals("pass")), null, null, null);
    }

    /**
     * Reports the effects of a change; unless it is a dry run, also stores and installs it.
     *
     * @param candidate the settings after the change
     * @param compiled  the added or replacing description; null for another change
     * @param existing  the replaced or removed description; null for another change
     * @param name      the name of the changed description; null if only the setting for undescribed paths changes
     */
    private AdminResponse applyChange(AdminRequest request, ContractSettings candidate, StoredDescription compiled,
            StoredDescription existing, String name) throws Exception {
        long revision = candidate.contracts().revision();
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
        report.add("recent", compareOnRecentRequests(candidate.contracts()));
        if (!isDryRun(request)) {
            boolean kept = settings.change(SECTION, candidate.toSection(), () -> install(candidate));
            report.addProperty("kept", kept);
            Logger.info("contracts revision {}: {} descriptions, {} paths and channels{}", revision,
                candidate.descriptions().size(), candidate.contracts().size(), name == null ? "" : ", changed: " + name);
        }
        return AdminResponse.json(compiled != null && existing == null && !isDryRun(request) ? 201 : 200,
            compiled == null || isDryRun(request) ? "" : etagHeader(revision), report);
    }

    /** Returns the settings, a summary of each description, and the revisions in use. */
    private JsonObject overview() throws InterruptedException, ExecutionException {
        JsonObject overview = new JsonObject();
        overview.addProperty("revision", inForce.contracts().revision());
        overview.addProperty("undescribed", inForce.passesUndescribed() ? "pass" : "refuse");
        JsonArray summaries = new JsonArray();
        inForce.descriptions().forEach((name, entry) -> {
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
        settings.callOnEventLoop(contractValidator::activeRevisions).forEach(revision -> {
            JsonObject json = new JsonObject();
            json.addProperty("revision", revision.revision());
            json.addProperty("open", revision.openRequests());
            activeRevisions.add(json);
        });
        overview.add("alive", activeRevisions);
        return overview;
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
        List<HttpRequest> requests = settings.callOnEventLoop(contractValidator::recentRequests);
        for (HttpRequest request : requests) {
            ValidationResult before = inForce.contracts().validate(request).result();
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

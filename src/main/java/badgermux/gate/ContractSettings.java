package badgermux.gate;

import badgermux.contract.ApiDescription;
import badgermux.contract.ContractSet;
import badgermux.contract.DescriptionException;
import badgermux.contract.Document;
import badgermux.operator.Snapshot;
import badgermux.operator.SnapshotException;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * One revision of the contracts' settings, compiled: the descriptions and what they are together. Immutable. It is read from a
 * section of the snapshot and written as one. Pure: no I/O.
 */
final class ContractSettings {
    /** The name of the section in the snapshot. */
    static final String SECTION = "contracts";
    /** The version of the section's format. */
    private static final int SECTION_VERSION = 1;

    /**
     * A description as it was received, and compiled.
     *
     * @param main        the name of the document that holds the description
     * @param documents   the texts of all documents, by name
     * @param revision    the revision of the snapshot that stored it first
     * @param description the compiled description
     */
    record StoredDescription(String main, Map<String, String> documents, long revision, ApiDescription description) {
        /** Compiles the documents of a description. */
        static StoredDescription compile(String name, String main, Map<String, String> documents, long revision)
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

        /** Whether it was compiled from these documents, for this revision. */
        private boolean isSame(String otherMain, Map<String, String> otherDocuments, long otherRevision) {
            return revision == otherRevision && main.equals(otherMain) && documents.equals(otherDocuments);
        }

        /** Returns the description without its compiled form. */
        JsonObject toJson() {
            JsonObject detail = new JsonObject();
            detail.addProperty("main", main);
            detail.addProperty("revision", revision);
            JsonObject documentsJson = new JsonObject();
            documents.forEach(documentsJson::addProperty);
            detail.add("documents", documentsJson);
            return detail;
        }
    }

    private final Map<String, StoredDescription> descriptions;
    private final boolean passesUndescribed;
    private final ContractSet contracts;

    private ContractSettings(long revision, Map<String, StoredDescription> descriptions, boolean passesUndescribed)
            throws DescriptionException {
        this.descriptions = descriptions;
        this.passesUndescribed = passesUndescribed;
        contracts = ContractSet.of(revision, descriptions.values().stream().map(StoredDescription::description).toList(),
            passesUndescribed);
    }

    /** Returns the settings of a dispatcher that has no descriptions. */
    static ContractSettings empty() {
        try {
            return new ContractSettings(0, new TreeMap<>(), false);
        } catch (DescriptionException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Compiles the settings that a snapshot holds.
     *
     * @param earlier settings whose compiled descriptions are used again where they are the same
     * @throws SnapshotException if the snapshot's section can't be used
     */
    static ContractSettings read(Snapshot snapshot, ContractSettings earlier) throws SnapshotException {
        JsonElement section = snapshot.section(SECTION);
        try {
            return section == null ? new ContractSettings(snapshot.revision(), new TreeMap<>(), false)
                : readSection(section.getAsJsonObject(), snapshot.revision(), earlier);
        } catch (DescriptionException e) {
            throw new SnapshotException("section " + SECTION + " can't be used: " + e.problems().get(0));
        } catch (IllegalStateException | NullPointerException | ClassCastException | UnsupportedOperationException e) {
            throw new SnapshotException("section " + SECTION + " is malformed");
        }
    }

    private static ContractSettings readSection(JsonObject section, long revision, ContractSettings earlier)
            throws SnapshotException, DescriptionException {
        if (section.get("version").getAsInt() > SECTION_VERSION) {
            throw new SnapshotException("section " + SECTION + " was written by a newer program");
        }
        Map<String, StoredDescription> descriptions = new TreeMap<>();
        for (Map.Entry<String, JsonElement> entry : section.getAsJsonObject("descriptions").entrySet()) {
            JsonObject stored = entry.getValue().getAsJsonObject();
            Map<String, String> documents = new TreeMap<>();
            stored.getAsJsonObject("documents").entrySet()
                .forEach(document -> documents.put(document.getKey(), document.getValue().getAsString()));
            String main = stored.get("main").getAsString();
            long descriptionRevision = stored.get("revision").getAsLong();
            StoredDescription compiled = earlier.descriptions.get(entry.getKey());
            descriptions.put(entry.getKey(), compiled != null && compiled.isSame(main, documents, descriptionRevision) ? compiled
                : StoredDescription.compile(entry.getKey(), main, documents, descriptionRevision));
        }
        return new ContractSettings(revision, descriptions, section.get("undescribed").getAsString().equals("pass"));
    }

    /**
     * Returns a revision with one description added, replaced, or removed if it is null.
     *
     * @throws DescriptionException if it contradicts another description
     */
    ContractSettings with(long revision, String name, StoredDescription description) throws DescriptionException {
        Map<String, StoredDescription> updated = new TreeMap<>(descriptions);
        if (description == null) {
            updated.remove(name);
        } else {
            updated.put(name, description);
        }
        return new ContractSettings(revision, updated, passesUndescribed);
    }

    /** Returns a revision with another treatment of requests to paths without a description. */
    ContractSettings withUndescribed(long revision, boolean passes) throws DescriptionException {
        return new ContractSettings(revision, descriptions, passes);
    }

    /** Returns the descriptions by name; not to be modified. */
    Map<String, StoredDescription> descriptions() {
        return descriptions;
    }

    /** Whether requests to paths without a description are passed on; otherwise they are refused. */
    boolean passesUndescribed() {
        return passesUndescribed;
    }

    /** Returns what requests are validated against. */
    ContractSet contracts() {
        return contracts;
    }

    /** Returns the section of the snapshot. */
    JsonObject toSection() {
        JsonObject section = new JsonObject();
        section.addProperty("version", SECTION_VERSION);
        section.addProperty("undescribed", passesUndescribed ? "pass" : "refuse");
        JsonObject stored = new JsonObject();
        descriptions.forEach((name, entry) -> stored.add(name, entry.toJson()));
        section.add("descriptions", stored);
        return section;
    }
}

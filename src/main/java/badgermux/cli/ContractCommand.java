package badgermux.cli;

import badgermux.contract.ContractSet;
import badgermux.contract.ApiDescription;
import badgermux.contract.DescriptionException;
import badgermux.contract.DescriptionDiff;
import badgermux.contract.Document;
import badgermux.contract.ProblemDetails;
import badgermux.contract.HttpRequest;
import badgermux.contract.ValidationResult;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The command {@code contract}: checks and compares descriptions and validates requests, without a dispatcher. */
@Command(name = "contract", mixinStandardHelpOptions = true, versionProvider = Commands.VersionProvider.class,
    description = "Checks OpenAPI and AsyncAPI descriptions, and validates requests against them.",
    subcommands = {ContractCommand.Check.class, ContractCommand.DiffCommand.class, ContractCommand.Judge.class})
final class ContractCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Override public Integer call() {
        throw new ParameterException(spec.commandLine(), "Missing required subcommand");
    }

    private static Document readDocument(Path file) throws IOException, DescriptionException {
        try {
            return Document.read(file.toString(), Files.readAllBytes(file));
        } catch (IOException e) {
            throw new IOException(file + " can't be read", e);
        }
    }

    /** Compiles a file, which may refer to others; its name without extension is the name of the description. */
    private static ApiDescription compile(Path file, List<Path> referencedFiles) throws IOException, DescriptionException {
        List<Document> referenced = new ArrayList<>();
        for (Path referencedFile : referencedFiles) {
            referenced.add(readDocument(referencedFile));
        }
        return ApiDescription.compile(descriptionName(file), readDocument(file), referenced);
    }

    private static String descriptionName(Path file) {
        return file.getFileName().toString().replaceFirst("\\.(json|ya?ml)$", "");
    }

    @Command(name = "check", mixinStandardHelpOptions = true, versionProvider = Commands.VersionProvider.class,
        description = "Checks descriptions, which may refer to each other, and prints their problems. "
            + "Exit status 0: all are valid; 1: at least one is not; 2: a file can't be read.")
    static final class Check implements Callable<Integer> {
        @Spec private CommandSpec spec;
        @Parameters(arity = "1..*", paramLabel = "FILE", description = "JSON or YAML documents.")
        private List<Path> files;
        @Option(names = {"-q", "--quiet"}, description = "Prints problems only.")
        private boolean quiet;

        @Override public Integer call() throws IOException {
            PrintWriter out = spec.commandLine().getOut();
            Map<Path, Document> documents = new LinkedHashMap<>();
            int status = 0;
            for (Path file : files) {
                try {
                    documents.put(file, readDocument(file));
                } catch (DescriptionException e) {
                    e.problems().forEach(out::println);
                    status = 1;
                }
            }
            List<ApiDescription> descriptions = new ArrayList<>();
            for (Map.Entry<Path, Document> entry : documents.entrySet()) {
                if (status == 1 && documents.size() < files.size() || files.size() > 1 && !entry.getValue().isDescription()) {
                    continue;
                }
                try {
                    ApiDescription description = ApiDescription.compile(descriptionName(entry.getKey()), entry.getValue(),
                        List.copyOf(documents.values()));
                    descriptions.add(description);
                    if (!quiet) {
                        description.warnings().forEach(warning -> out.println("warning: " + warning));
                        out.println(entry.getKey() + ": " + description.specification() + ", " + description.size()
                            + " routes and channels");
                    }
                } catch (DescriptionException e) {
                    e.problems().forEach(out::println);
                    status = 1;
                }
            }
            try {
                ContractSet.of(0, descriptions, false);
            } catch (DescriptionException e) {
                e.problems().forEach(out::println);
                status = 1;
            }
            out.flush();
            return status;
        }
    }

    @Command(name = "diff", mixinStandardHelpOptions = true, versionProvider = Commands.VersionProvider.class,
        description = "Prints breaking changes: what NEW refuses and OLD allows. Exit status 0: none; 1: at least one.")
    static final class DiffCommand implements Callable<Integer> {
        @Spec private CommandSpec spec;
        @Parameters(index = "0", paramLabel = "OLD") private Path oldFile;
        @Parameters(index = "1", paramLabel = "NEW") private Path newFile;
        @Option(names = "--with", paramLabel = "FILE", arity = "1..*",
            description = "Documents that both may refer to.")
        private List<Path> referencedFiles = List.of();

        @Override public Integer call() throws IOException, DescriptionException {
            PrintWriter out = spec.commandLine().getOut();
            List<DescriptionDiff.BreakingChange> changes = DescriptionDiff.breakingChanges(
                compile(oldFile, referencedFiles), compile(newFile, referencedFiles));
            changes.forEach(out::println);
            out.flush();
            return changes.isEmpty() ? 0 : 1;
        }
    }

    @Command(name = "judge", mixinStandardHelpOptions = true, versionProvider = Commands.VersionProvider.class,
        description = "Validates requests, one JSON object per line, and prints a result for each. "
            + "Exit status 0: all conform; 1: at least one does not; 2: an input can't be read.")
    static final class Judge implements Callable<Integer> {
        @Spec private CommandSpec spec;
        @Parameters(index = "0", paramLabel = "DESCRIPTION") private Path descriptionFile;
        @Parameters(index = "1", paramLabel = "REQUESTS.jsonl", description = "- for standard input.")
        private Path requestsFile;
        @Option(names = "--with", paramLabel = "FILE", arity = "1..*",
            description = "Further descriptions, and documents that they may refer to.")
        private List<Path> referencedFiles = List.of();
        @Option(names = "--undescribed", paramLabel = "refuse|pass", defaultValue = "refuse",
            description = "How to treat paths that are not described; default: ${DEFAULT-VALUE}.")
        private Undescribed undescribed;
        @Option(names = "--format", paramLabel = "lines|problem", defaultValue = "lines",
            description = "lines: one result per line; problem: the response body for clients; default: "
                + "${DEFAULT-VALUE}.")
        private Format format;

        /** How to treat paths that are not described. */
        enum Undescribed { refuse, pass }

        /** How results are printed. */
        enum Format { lines, problem }

        @Override public Integer call() throws IOException, DescriptionException {
            List<ApiDescription> descriptions = new ArrayList<>(List.of(compile(descriptionFile, referencedFiles)));
            for (Path file : referencedFiles) {
                if (readDocument(file).isDescription()) {
                    descriptions.add(compile(file, referencedFiles));
                }
            }
            ContractSet contracts = ContractSet.of(0, descriptions, undescribed == Undescribed.pass);
            PrintWriter out = spec.commandLine().getOut();
            boolean allConform = true;
            try (BufferedReader lines = requestsFile.toString().equals("-")
                    ? new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))
                    : Files.newBufferedReader(requestsFile)) {
                int lineNumber = 0;
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    lineNumber++;
                    if (!line.isBlank()) {
                        ValidationResult result = contracts.validate(parseRequest(line, lineNumber)).result();
                        allConform &= result.conforms();
                        out.println(formatResult(result));
                    }
                }
            } finally {
                out.flush();
            }
            return allConform ? 0 : 1;
        }

        private String formatResult(ValidationResult result) {
            if (result.conforms()) {
                return "{\"conforms\":true}";
            }
            return format == Format.problem ? new String(ProblemDetails.encode(result, 0), StandardCharsets.UTF_8)
                : "{\"conforms\":false,\"status\":" + result.status() + ",\"faults\":" + ProblemDetails.faultArray(result)
                    + '}';
        }

        private HttpRequest parseRequest(String line, int lineNumber) throws IOException {
            try {
                JsonObject object = JsonParser.parseString(line).getAsJsonObject();
                Map<String, List<String>> headers = new LinkedHashMap<>();
                if (object.has("headers")) {
                    object.getAsJsonObject("headers").entrySet().forEach(header -> headers.put(
                        header.getKey().toLowerCase(java.util.Locale.ROOT), headerValues(header.getValue())));
                }
                byte[] body = object.has("bodyBase64")
                    ? Base64.getDecoder().decode(object.get("bodyBase64").getAsString())
                    : object.has("body") && !object.get("body").isJsonNull()
                        ? object.get("body").getAsString().getBytes(StandardCharsets.UTF_8) : new byte[0];
                return new HttpRequest(object.get("method").getAsString(), object.get("target").getAsString(),
                    name -> headers.getOrDefault(name.toLowerCase(java.util.Locale.ROOT), List.of()), body);
            } catch (JsonParseException | IllegalStateException | IllegalArgumentException | NullPointerException
                    | ClassCastException | UnsupportedOperationException e) {
                throw new IOException(requestsFile + ":" + lineNumber + ": not a request");
            }
        }

        private static List<String> headerValues(JsonElement value) {
            return value.isJsonArray() ? value.getAsJsonArray().asList().stream().map(JsonElement::getAsString).toList()
                : List.of(value.getAsString());
        }
    }
}

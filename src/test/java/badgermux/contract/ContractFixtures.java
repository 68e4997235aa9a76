package badgermux.contract;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/** Compiles descriptions for tests and validates requests against them. */
final class ContractFixtures {
    private ContractFixtures() { }

    static ApiDescription compileDescription(String text) throws DescriptionException {
        return ApiDescription.compile("d", Document.read("d.yaml", text.getBytes(StandardCharsets.UTF_8)), List.of());
    }

    static ContractSet compileContracts(String... texts) throws DescriptionException {
        List<ApiDescription> descriptions = new ArrayList<>();
        for (String text : texts) {
            descriptions.add(compileDescription(text));
        }
        return ContractSet.of(7, descriptions, false);
    }

    /** Returns the problems of a description, one on each line; empty if it can be used. */
    static String compileProblems(String text) {
        try {
            compileDescription(text);
            return "";
        } catch (DescriptionException e) {
            return e.problems().stream().map(Object::toString).collect(Collectors.joining("\n"));
        }
    }

    static HttpRequest postRequest(String target, Map<String, String> headers, byte[] body) {
        return new HttpRequest("POST", target, name -> headers.entrySet().stream()
            .filter(header -> header.getKey().toLowerCase(Locale.ROOT).equals(name.toLowerCase(Locale.ROOT)))
            .map(Map.Entry::getValue).toList(), body);
    }

    static ValidationResult validateJson(ContractSet contracts, String target, String body) {
        return contracts.validate(postRequest(target, Map.of("Content-Type", "application/json"),
            body.getBytes(StandardCharsets.UTF_8))).result();
    }

    static ValidationResult validateWithoutBody(ContractSet contracts, String target) {
        return contracts.validate(postRequest(target, Map.of(), new byte[0])).result();
    }

    /** Returns "ok", or the status and the first fault's pointer and keyword. */
    static String summary(ValidationResult result) {
        return result.conforms() ? "ok" : result.status() + " " + result.faults().get(0).pointer() + ' '
            + result.faults().get(0).keyword();
    }

    /**
     * Returns an OpenAPI description of one POST operation.
     *
     * @param parameters the parameters in YAML flow style
     * @param schema     the schema of a JSON body in YAML flow style; null for no body
     */
    static String openApiWithPost(String version, String path, String parameters, String schema) {
        return "openapi: " + version + "\ninfo: {title: t, version: '1'}\npaths:\n  " + path + ":\n    post:\n"
            + "      parameters: " + parameters + "\n" + (schema == null ? "" : "      requestBody:\n"
            + "        required: true\n        content: {application/json: {schema: " + schema + "}}\n")
            + "      responses: {'200': {description: ok}}\n";
    }
}

package badgermux.contract;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/** Short ways to descriptions and verdicts. */
final class ContractFixtures {
    private ContractFixtures() { }

    static ApiDescription compileDescription(String text) throws DescriptionException {
        return ApiDescription.compile("d", Document.read("d.yaml", text.getBytes(StandardCharsets.UTF_8)), List.of());
    }

    static ContractSet compileContracts(String... texts) throws DescriptionException {
        List<ApiDescription> all = new java.util.ArrayList<>();
        for (String text : texts) {
            all.add(compileDescription(text));
        }
        return ContractSet.of(7, all, false);
    }

    /** The reasons why a text is no description, a line each. */
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
            .filter(h -> h.getKey().toLowerCase(Locale.ROOT).equals(name.toLowerCase(Locale.ROOT)))
            .map(Map.Entry::getValue).toList(), body);
    }

    static ValidationResult validateJson(ContractSet by, String target, String body) {
        return by.validate(postRequest(target, Map.of("Content-Type", "application/json"),
            body.getBytes(StandardCharsets.UTF_8))).result();
    }

    static ValidationResult validateWithoutBody(ContractSet by, String target) {
        return by.validate(postRequest(target, Map.of(), new byte[0])).result();
    }

    /** A verdict in short: its status, and the first fault's pointer and keyword. */
    static String summary(ValidationResult verdict) {
        return verdict.conforms() ? "ok" : verdict.status() + " " + verdict.faults().get(0).pointer() + ' '
            + verdict.faults().get(0).keyword();
    }

    /** A 3.0 or 3.1 description of one POST path with parameters (YAML flow) and a JSON body schema (null for none). */
    static String openApiWithPost(String version, String path, String parameters, String schema) {
        return "openapi: " + version + "\ninfo: {title: t, version: '1'}\npaths:\n  " + path + ":\n    post:\n"
            + "      parameters: " + parameters + "\n" + (schema == null ? "" : "      requestBody:\n"
            + "        required: true\n        content: {application/json: {schema: " + schema + "}}\n")
            + "      responses: {'200': {description: ok}}\n";
    }
}

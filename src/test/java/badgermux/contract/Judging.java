package badgermux.contract;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/** Short ways to descriptions and verdicts. */
final class Judging {
    private Judging() { }

    static Description description(String text) throws DescriptionException {
        return Description.compile("d", Document.read("d.yaml", text.getBytes(StandardCharsets.UTF_8)), List.of());
    }

    static Contracts contracts(String... texts) throws DescriptionException {
        List<Description> all = new java.util.ArrayList<>();
        for (String text : texts) {
            all.add(description(text));
        }
        return Contracts.of(7, all, false);
    }

    /** The reasons why a text is no description, a line each. */
    static String problems(String text) {
        try {
            description(text);
            return "";
        } catch (DescriptionException e) {
            return e.problems().stream().map(Object::toString).collect(Collectors.joining("\n"));
        }
    }

    static Request request(String target, Map<String, String> headers, byte[] body) {
        return new Request("POST", target, name -> headers.entrySet().stream()
            .filter(h -> h.getKey().toLowerCase(Locale.ROOT).equals(name.toLowerCase(Locale.ROOT)))
            .map(Map.Entry::getValue).toList(), body);
    }

    static Verdict json(Contracts by, String target, String body) {
        return by.judge(request(target, Map.of("Content-Type", "application/json"),
            body.getBytes(StandardCharsets.UTF_8))).verdict();
    }

    static Verdict bare(Contracts by, String target) {
        return by.judge(request(target, Map.of(), new byte[0])).verdict();
    }

    /** A verdict in short: its status, and the first fault's pointer and keyword. */
    static String brief(Verdict verdict) {
        return verdict.conforms() ? "ok" : verdict.status() + " " + verdict.faults().get(0).pointer() + ' '
            + verdict.faults().get(0).keyword();
    }

    /** A 3.0 or 3.1 description of one POST path with parameters (YAML flow) and a JSON body schema (null for none). */
    static String one(String version, String path, String parameters, String schema) {
        return "openapi: " + version + "\ninfo: {title: t, version: '1'}\npaths:\n  " + path + ":\n    post:\n"
            + "      parameters: " + parameters + "\n" + (schema == null ? "" : "      requestBody:\n"
            + "        required: true\n        content: {application/json: {schema: " + schema + "}}\n")
            + "      responses: {'200': {description: ok}}\n";
    }
}

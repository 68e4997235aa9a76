package badgermux.contract;

import static badgermux.contract.ContractFixtures.compileContracts;
import static badgermux.contract.ContractFixtures.compileDescription;
import static badgermux.contract.ContractFixtures.compileProblems;
import static badgermux.contract.ContractFixtures.openApiWithPost;
import static badgermux.contract.ContractFixtures.summary;
import static badgermux.contract.ContractFixtures.validateJson;
import static badgermux.contract.ContractFixtures.validateWithoutBody;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Compilation of descriptions: references, routes, problems with their location, and breaking changes. */
class DescriptionCompilationTest {
    private static final String OK_RESPONSES = "{'200': {description: ok}}";

    /** Returns an OpenAPI description of operations, each given as a method and a path template. */
    private static String openApiWithPaths(String... rows) {
        StringBuilder text = new StringBuilder("openapi: 3.0.3\ninfo: {title: t, version: '1'}\npaths:\n");
        for (String row : rows) {
            String[] parts = row.split(" ");
            StringBuilder parameters = new StringBuilder();
            RouteTable.parameterNames(parts[1]).forEach(name -> parameters.append("{name: ").append(name)
                .append(", in: path, required: true, schema: {}},"));
            text.append("  ").append(parts[1]).append(": {").append(parts[0]).append(": {parameters: [").append(parameters)
                .append("], responses: ").append(OK_RESPONSES).append("}}\n");
        }
        return text.toString();
    }

    @ParameterizedTest
    @CsvSource({"/a/mine,405", "/a/x,0", "/a/x/y,0", "/a/,404", "/a,404", "/a/x.json,0", "/a/.json,0", "/b,404", "/a/x/,404",
        "/a//y,404", "//a/x,404", "/a/%6Dine,405", "/a/x%2Fy,0", "/a/x%2Fy/y,0", "/a/%2E/y,400", "/c/d/e,0", "/c/d/f,0",
        "/c/x/f,0"})
    void mostConcretePathWins(String path, int status) throws DescriptionException {
        ContractSet contracts = compileContracts(openApiWithPaths("get /a/mine", "post /a/{id}", "post /a/{id}.json",
            "post /a/{id}/y", "post /c/d/e", "post /c/{x}/f"));
        assertEquals(status, validateWithoutBody(contracts, path).status());
    }

    @Test void expandsServerVariablesIntoBasePaths() throws DescriptionException {
        ContractSet contracts = compileContracts(openApiWithPaths("post /a")
            + "servers: [{url: 'https://h.example/{v}/api/', variables: {v: {default: v1, enum: [v1, v2]}}}, {url: /old}]\n");
        for (String path : List.of("/v1/api/a", "/v2/api/a", "/old/a")) {
            assertEquals("ok", summary(validateWithoutBody(contracts, path)), path);
        }
        assertEquals(404, validateWithoutBody(contracts, "/a").status());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "a: 1|d.yaml:1: neither openapi nor asyncapi", "openapi: 2.0|only OpenAPI 3.0 and 3.1",
        "openapi: 3.0.1|paths is missing", "a: [|malformed YAML", "{\"a\":1,\"a\":2}|stands twice",
        "a: 1\\na: 2|d.yaml:2: a name stands twice", "asyncapi: 2.5.0|only AsyncAPI",
        "openapi: 3.0.1\\npaths: {a: {}}|d.yaml:2: a path must begin with /",
        "openapi: 3.0.1\\npaths:\\n  /a/{b}:\\n    post: {}|d.yaml:4: the path's parameter is not described: b",
        "openapi: 3.0.1\\npaths:\\n  /a:\\n    $ref: 'http://h.example/x.yaml#/a'|d.yaml:4: $ref leads to a remote address",
        "openapi: 3.0.1\\npaths:\\n  /a:\\n    $ref: '#/b'|d.yaml:4: $ref leads nowhere",
        "openapi: 3.0.1\\npaths:\\n  /a: {$ref: '#/x'}\\nx: {$ref: '#/y'}\\ny: {$ref: '#/x'}|$ref leads back to itself",
        "openapi: 3.0.1\\npaths: {/a: {$ref: 'other.yaml#/a'}}|a document that was not given"})
    void reportsProblemsWithLocation(String text, String reason) {
        String problems = compileProblems(text.replace("\\n", "\n"));
        assertTrue(problems.contains(reason), problems);
    }

    @Test void rejectsPatternsWithoutLinearTime() throws DescriptionException {
        String lookahead = compileProblems(openApiWithPost("3.0.3", "/a", "[]", "{type: string, pattern: '(?=a)b'}"));
        assertTrue(lookahead.matches("(?s)d.yaml:9: pattern can't be run in linear time.*"), lookahead);
        String backreference = compileProblems(openApiWithPost("3.0.3", "/a", "[]", "{type: string, pattern: '(a)\\1'}"));
        assertTrue(backreference.contains("linear time"), backreference);
        ContractSet contracts = compileContracts(openApiWithPost("3.0.3", "/a", "[]", "{type: string, pattern: '^\\u00e1\\d$'}"));
        assertEquals("ok", summary(validateJson(contracts, "/a", "\"\u00e11\"")));
    }

    @Test void reportsAllProblemsAtOnce() {
        assertEquals(3, compileProblems(
            "openapi: 3.0.3\npaths:\n  /a: {post: {parameters: [{in: query}], requestBody: {}}}\n  b: {}\n").lines().count());
    }

    @Test void resolvesReferencesAcrossDocumentsAndRecursion() throws DescriptionException {
        Document main = Document.read("in/main.yaml",
            openApiWithPost("3.1.0", "/a", "[]", "{$ref: '../common/types.json#/Node'}").getBytes(StandardCharsets.UTF_8));
        Document types = Document.read("common/types.json", ("{\"Node\":{\"type\":\"object\",\"required\":[\"v\"],"
            + "\"properties\":{\"v\":{\"$ref\":\"more.yaml\"},\"next\":{\"$ref\":\"#/Node\"}}}}")
            .getBytes(StandardCharsets.UTF_8));
        Document more = Document.read("common/more.yaml", "type: integer".getBytes(StandardCharsets.UTF_8));
        ContractSet contracts = ContractSet.of(1, List.of(ApiDescription.compile("d", main, List.of(types, more))), false);
        assertEquals("ok", summary(validateJson(contracts, "/a", "{\"v\":1,\"next\":{\"v\":2}}")));
        assertEquals("422 /next/v type", summary(validateJson(contracts, "/a", "{\"v\":1,\"next\":{\"v\":\"x\"}}")));
        DescriptionException e = assertThrows(DescriptionException.class, () -> ApiDescription.compile("d", main,
            List.of(types, Document.read("common/more.yaml", "$ref: 'x.yaml'".getBytes(StandardCharsets.UTF_8)))));
        assertEquals("common/more.yaml", e.problems().get(0).document());
    }

    /** Aliases of aliases would expand to 2^40 values (the "billion laughs" attack), an alias to itself without end. */
    @Test void rejectsExplodingYamlAliases() {
        StringBuilder aliases = new StringBuilder("a0: &a0 [x, x]\n");
        for (int i = 1; i < 40; i++) {
            aliases.append("a").append(i).append(": &a").append(i).append(" [*a").append(i - 1).append(", *a").append(i - 1)
                .append("]\n");
        }
        assertTrue(compileProblems(aliases.toString()).contains("too many values"));
        assertTrue(compileProblems("a: &a [*a]").contains("nested too deep"));
        assertTrue(compileProblems("[".repeat(100_000)).length() > 0);
    }

    @Test void rejectsDuplicateRoutes() {
        assertThrows(DescriptionException.class,
            () -> compileContracts(openApiWithPaths("post /a/{x}"), openApiWithPaths("post /a/{y}")));
        assertThrows(DescriptionException.class, () -> compileContracts(openApiWithPaths("post /a/{x}", "post /a/{y}")));
    }

    @Test void passesUndescribedPathsIfConfigured() throws DescriptionException {
        ContractSet contracts = ContractSet.of(1, List.of(compileDescription(openApiWithPaths("post /a"))), true);
        assertEquals("ok", summary(validateWithoutBody(contracts, "/b")));
        assertEquals(405, contracts.validate(new HttpRequest("PUT", "/a", name -> List.of(), new byte[0])).result().status());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "{type: object}|{type: object}|", "{type: object}|{type: object, required: [a]}|a is now required",
        "{type: integer}|{type: number}|", "{type: number}|{type: integer}|no longer takes number",
        "{type: integer, maximum: 5}|{type: integer, maximum: 6}|",
        "{type: integer, maximum: 5}|{type: integer, maximum: 4}|maximum is now 4",
        "{type: string}|{type: string, enum: [a]}|only listed values", "{enum: [a, b]}|{enum: [a, b, c]}|",
        "{enum: [a, b]}|{enum: [a]}|no longer takes \"b\"", "{type: string}|{type: string, pattern: a}|pattern was added",
        "{type: object}|{type: object, additionalProperties: false}|members that are not described",
        "{type: object, properties: {a: {type: string}}}|{type: object, properties: {a: {type: integer}}}|no longer takes string",
        "{type: array, items: {maxLength: 5}}|{type: array, items: {maxLength: 3}}|maxLength is now 3",
        "{anyOf: [{type: string}, {type: integer}]}|{anyOf: [{type: string}]}|anyOf has become narrower",
        "{type: string, nullable: true}|{type: string}|no longer takes null"})
    void reportsBreakingChanges(String oldSchema, String newSchema, String change) throws DescriptionException {
        ApiDescription before = compileDescription(openApiWithPost("3.0.3", "/a/{p}",
            "[{name: p, in: path, required: true, schema: {}}]", oldSchema));
        ApiDescription after = compileDescription(openApiWithPost("3.0.3", "/a/{q}",
            "[{name: q, in: path, required: true, schema: {}}]", newSchema));
        List<DescriptionDiff.BreakingChange> changes = DescriptionDiff.breakingChanges(before, after);
        assertEquals(change == null ? 0 : 1, changes.size(), changes.toString());
        assertTrue(change == null || changes.get(0).toString().contains(change), changes.toString());
    }

    @Test void compilesExampleDescriptions() throws Exception {
        ApiDescription openApi = ApiDescription.compile("press", Document.read("press.openapi.yaml",
            Files.readAllBytes(Path.of("deploy/press.openapi.yaml"))), List.of());
        ApiDescription asyncApi = ApiDescription.compile("lines", Document.read("press.asyncapi.yaml",
            Files.readAllBytes(Path.of("deploy/press.asyncapi.yaml"))), List.of());
        ContractSet contracts = ContractSet.of(1, List.of(openApi, asyncApi), false);
        assertEquals("ok", summary(validateJson(contracts, "/preview/nhan-dan?width=640", "{\"story\":\"123456\"}")));
        assertEquals("422 /story pattern", summary(validateJson(contracts, "/preview/nhan-dan", "{\"story\":\"1\"}")));
        assertEquals(List.of(), openApi.warnings());
    }
}

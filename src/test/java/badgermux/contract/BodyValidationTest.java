package badgermux.contract;

import static badgermux.contract.ContractFixtures.compileContracts;
import static badgermux.contract.ContractFixtures.openApiWithPost;
import static badgermux.contract.ContractFixtures.postRequest;
import static badgermux.contract.ContractFixtures.summary;
import static badgermux.contract.ContractFixtures.validateJson;
import static badgermux.contract.ContractFixtures.validateWithoutBody;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTimeout;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Validation of bodies by media type and schema dialect, and bounds on the cost of hostile bodies. */
class BodyValidationTest {
    private static String validateBody(String version, String schema, String body) throws DescriptionException {
        return summary(validateJson(compileContracts(openApiWithPost(version, "/a", "[]", schema)), "/a", body));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "{type: string, nullable: true}|null|ok|422  type", "{type: [string, 'null']}|null||ok",
        "{type: integer, minimum: 3, exclusiveMinimum: true}|3|422  minimum|", "{type: integer}|1.0|422  type|ok",
        "{type: integer, exclusiveMinimum: 3}|3||422  exclusiveMinimum", "{const: 4}|5||422  const",
        "{type: object, properties: {a: {type: string, readOnly: true}}}|{\"a\":\"x\"}|422 /a readOnly|422 /a readOnly",
        "{type: object, required: [a], properties: {a: {type: string, readOnly: true}}}|{}|ok|ok",
        "{type: object, properties: {a: {type: string, writeOnly: true}}}|{\"a\":\"x\"}|ok|ok",
        "{type: string, format: date}|\"2026-02-30\"|422  format|422  format",
        "{type: integer, format: int32}|3000000000|422  format|422  format",
        "{type: array, prefixItems: [{type: integer}], items: false}|[1,2]||422  items"})
    void validatesByDialect(String schema, String body, String expected30, String expected31) throws DescriptionException {
        if (expected30 != null) {
            assertEquals(expected30, validateBody("3.0.3", schema, body), "3.0");
        }
        if (expected31 != null) {
            assertEquals(expected31, validateBody("3.1.0", schema, body), "3.1");
        }
    }

    @Test void discriminatorSelectsSchema() throws DescriptionException {
        String text = openApiWithPost("3.0.3", "/a", "[]", "{$ref: '#/components/schemas/Pet'}") + """
            components:
              schemas:
                Pet: {oneOf: [{$ref: '#/components/schemas/Cat'}, {$ref: '#/components/schemas/Dog'}],
                  discriminator: {propertyName: kind, mapping: {cat: '#/components/schemas/Cat', dog: '#/components/schemas/Dog'}}}
                Cat: {type: object, required: [kind, lives], properties: {kind: {type: string}, lives: {type: integer}}}
                Dog: {type: object, required: [kind, bark], properties: {kind: {type: string}, bark: {type: string}}}
            """;
        ContractSet contracts = compileContracts(text);
        assertEquals("ok", summary(validateJson(contracts, "/a", "{\"kind\":\"cat\",\"lives\":9}")));
        assertFalse(validateJson(contracts, "/a", "{\"kind\":\"cat\",\"bark\":\"x\"}").conforms());
        assertFalse(validateJson(contracts, "/a", "{\"kind\":\"cow\",\"lives\":9}").conforms());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', value = {
        "{\"a\":1,\"a\":2}|400", "1e400|0", "1e999999999|400", "-1e-999999999|400", "[1,2|400", "{} x|400", "\"\\ud800\"|400",
        "\"\\udc00\\ud800\"|400", "\"\\ud83d\\ude00\"|0", "NaN|400", "01|400", "'a'|400", "|422", "{\"\\ud800\":1}|400",
        "[1,]|400", "tru|400", "{\"a\":1}//x|400"})
    void parsesJsonStrictly(String body, int status) throws DescriptionException {
        ContractSet contracts = compileContracts(openApiWithPost("3.1.0", "/a", "[]", "{}"));
        assertEquals(status, validateJson(contracts, "/a", body == null ? "" : body).status());
    }

    /** A byte order mark, UTF-16, overlong forms, encoded surrogates: a backend's parser could read them differently. */
    @Test void rejectsAmbiguousEncodings() throws DescriptionException {
        ContractSet contracts = compileContracts(openApiWithPost("3.1.0", "/a", "[]", "{}"));
        Map<String, String> json = Map.of("Content-Type", "application/json");
        for (byte[] bytes : new byte[][] {{(byte) 0xef, (byte) 0xbb, (byte) 0xbf, '1'}, {0, '1'}, {'1', 0},
            {'"', (byte) 0xc0, (byte) 0x80, '"'}, {'"', (byte) 0xed, (byte) 0xa0, (byte) 0x80, '"'}, {(byte) 0xff}}) {
            assertEquals(400, contracts.validate(postRequest("/a", json, bytes)).result().status());
        }
    }

    /**
     * Without bounds, these bodies would overflow the stack, or take seconds or gigabytes: deep nesting, a long array of unique
     * objects, a pattern that makes a backtracking engine exponential, and a recursive schema with three alternatives on each
     * level.
     */
    @Test void boundsCostOfHostileBodies() throws DescriptionException {
        String deep = "[".repeat(10_000) + "]".repeat(10_000);
        ContractSet any = compileContracts(openApiWithPost("3.1.0", "/a", "[]", "{}"));
        ContractSet unique = compileContracts(openApiWithPost("3.1.0", "/a", "[]", "{type: array, uniqueItems: true}"));
        ContractSet pattern = compileContracts(openApiWithPost("3.1.0", "/a", "[]", "{type: string, pattern: '^(a+)+$'}"));
        ContractSet recursive = compileContracts(openApiWithPost("3.1.0", "/a", "[]", "{$ref: '#/components/schemas/T'}")
            + "components:\n  schemas:\n"
            + "    T: {anyOf: [{type: object, required: [z], properties: {n: {$ref: '#/components/schemas/T'}}},"
            + " {type: object, properties: {n: {$ref: '#/components/schemas/T'}}},"
            + " {type: object, maxProperties: 0, properties: {n: {$ref: '#/components/schemas/T'}}}]}\n");
        StringBuilder objects = new StringBuilder("[{\"a\":0}");
        for (int i = 1; objects.length() < 64_000; i++) {
            objects.append(",{\"a\":").append(i).append('}');
        }
        assertTimeout(Duration.ofSeconds(5), () -> {
            assertEquals(400, validateJson(any, "/a", deep).status());
            assertEquals("ok", summary(validateJson(unique, "/a", objects + "]")));
            assertEquals("422  uniqueItems", summary(validateJson(unique, "/a", objects + ",{\"a\":7}]")));
            assertEquals("422  pattern", summary(validateJson(pattern, "/a", '"' + "a".repeat(60_000) + "b\"")));
            ValidationResult costly = validateJson(recursive, "/a", "{\"n\":".repeat(60) + "1" + "}".repeat(60));
            assertEquals("limit", costly.faults().get(0).keyword());
        });
    }

    @Test void truncatesClientTextInFaults() throws DescriptionException {
        String name = "n".repeat(5_000);
        ContractSet lenient = compileContracts(openApiWithPost("3.1.0", "/a", "[]",
            "{type: object, additionalProperties: {type: integer}, propertyNames: {maxLength: 3}}"));
        ValidationResult result = validateJson(lenient, "/a", "{\"" + name + "\":\"" + "v".repeat(5_000) + "\"}");
        String problem = new String(ProblemDetails.encode(result, 1), StandardCharsets.UTF_8);
        assertEquals(422, result.status());
        assertFalse(problem.contains("n".repeat(65)) || problem.contains("vv"), problem);
        ContractSet integers = compileContracts(openApiWithPost("3.1.0", "/a", "[]", "{type: array, items: {type: integer}}"));
        assertEquals(8, validateJson(integers, "/a", "[" + "\"x\",".repeat(1_000) + "1]").faults().size());
    }

    @Test void selectsSchemaByMediaType() throws DescriptionException {
        ContractSet contracts = compileContracts(openApiWithPost("3.0.3", "/a", "[]", "{type: object}").replace(
            "{application/json: {schema: {type: object}}}",
            "{application/json: {schema: {type: object}}, 'text/*': {schema: {type: string, maxLength: 3}}, "
            + "application/octet-stream: {schema: {type: string, format: binary, maxLength: 2}}, "
            + "application/x-www-form-urlencoded: {schema: {type: object, required: [n], properties: {n: {type: integer}, "
            + "l: {type: array, items: {type: string}}, o: {type: object, required: [x]}}}}}"));
        for (String row : new String[] {"application/json;{};0", "application/json; charset=utf-8;{};0",
            "application/json; charset=utf-16;{};400", "Application/JSON;{};0", "application/xml;<a/>;415", "text/plain;abc;0",
            "text/plain;abcd;422", "none;ab;0", "none;abc;422", "application;x;415",
            "application/x-www-form-urlencoded;n=5&l=a&l=b;0", "application/x-www-form-urlencoded;n=x;422",
            "application/x-www-form-urlencoded;n=5&n=6;422", "application/x-www-form-urlencoded;l=%;400",
            "application/x-www-form-urlencoded;n=1&o={\"x\":1};0", "application/x-www-form-urlencoded;n=1&o={};422"}) {
            int last = row.lastIndexOf(';');
            int middle = row.lastIndexOf(';', last - 1);
            String type = row.substring(0, middle);
            Map<String, String> headers = type.equals("none") ? Map.of() : Map.of("Content-Type", type);
            byte[] body = row.substring(middle + 1, last).getBytes(StandardCharsets.UTF_8);
            assertEquals(Integer.parseInt(row.substring(last + 1)),
                contracts.validate(postRequest("/a", headers, body)).result().status(), row);
        }
        assertEquals("422  required", summary(validateWithoutBody(contracts, "/a")));
        assertTrue(contracts.validate(postRequest("/a", Map.of("Content-Type", "application/xml"), new byte[1])).result()
            .allowed().contains("application/json"));
    }
}

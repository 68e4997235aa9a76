package badgermux.contract;

import static badgermux.contract.ContractFixtures.compileContracts;
import static badgermux.contract.ContractFixtures.openApiWithPost;
import static badgermux.contract.ContractFixtures.postRequest;
import static badgermux.contract.ContractFixtures.summary;
import static badgermux.contract.ContractFixtures.validateWithoutBody;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Validation of parameters in each location and style of OpenAPI. */
class ParameterValidationTest {
    private static final String ARRAY = "schema: {type: array, items: {type: integer}, minItems: 2}";
    private static final String OBJECT =
        "schema: {type: object, required: [r], properties: {r: {type: integer}, g: {type: string}}}";

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "simple|false|{type: integer}|5|ok", "simple|false|{type: integer}|x|422 /p type",
        "simple|false|{type: number}|1e2|ok", "simple|false|{type: integer}|0x1|422 /p type",
        "simple|false|{type: string, maxLength: 3}|a%2Fb|ok", "simple|false|{type: string}|a%|400  syntax",
        "simple|false|{type: string}|%c0%af|400  syntax", "simple|false|{type: string}|%2e%2e|400  syntax",
        "simple|false|{type: string}|..|400  syntax", "simple|false|{type: string}||404  path",
        "simple|false|{type: string}|a/b|404  path", "simple|false|{type: boolean}|true|ok",
        "simple|false|{type: boolean}|True|422 /p type", "simple|false|ARRAY|1,2|ok",
        "simple|false|ARRAY|1|422 /p minItems", "simple|false|ARRAY|1,x|422 /p/1 type",
        "simple|false|OBJECT|r,1,g,x|ok", "simple|false|OBJECT|g,x|422 /p required", "simple|false|OBJECT|g|422 /p style",
        "simple|true|OBJECT|r=1,g=x|ok", "simple|true|OBJECT|r,1|422 /p style",
        "label|false|ARRAY|.1,2|ok", "label|true|ARRAY|.1.2|ok", "label|true|ARRAY|1.2|422 /p style",
        "matrix|false|ARRAY|;p=1,2|ok", "matrix|true|ARRAY|;p=1;p=2|ok", "matrix|true|ARRAY|;q=1;p=2|422 /p style",
        "matrix|false|{type: integer}|;p=7|ok", "matrix|true|OBJECT|;r=1;g=a|ok", "matrix|false|OBJECT|;p=r,1|ok"})
    void validatesPathParameters(String style, boolean explode, String schema, String value, String expected)
            throws DescriptionException {
        String schemaMember = schema.equals("ARRAY") ? ARRAY : schema.equals("OBJECT") ? OBJECT : "schema: " + schema;
        ContractSet contracts = compileContracts(openApiWithPost("3.0.3", "/a/{p}",
            "[{name: p, in: path, required: true, style: " + style + ", explode: " + explode + ", " + schemaMember + "}]", null));
        assertEquals(expected, summary(validateWithoutBody(contracts, "/a/" + (value == null ? "" : value))).stripTrailing());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "form|true|{type: integer}|p=5|ok", "form|true|{type: integer}|p=5&p=6|422 /p repeated",
        "form|true|{type: integer}|q=5|422 /p required", "form|true|{type: string}|p=|ok", "form|true|{type: string}|p|ok",
        "form|true|{type: string, enum: ['a b']}|p=a+b|ok", "form|true|{type: string, enum: ['a b']}|p=a%20b|ok",
        "form|true|{type: [string, integer], enum: ['1']}|p=1|ok", "form|true|{type: [string, integer], enum: [1]}|p=1|ok",
        "form|true|ARRAY|p=1&p=2|ok", "form|true|ARRAY|p=1|422 /p minItems", "form|false|ARRAY|p=1,2|ok",
        "form|false|{type: array, maxItems: 1, items: {type: string}}|p=a%2Cb|ok",
        "spaceDelimited|false|ARRAY|p=1%202|ok", "pipeDelimited|false|ARRAY|p=1%7C2|ok",
        "form|true|OBJECT|r=1&g=x|ok", "form|true|OBJECT|r=x|422 /p/r type", "form|true|OBJECT|z=1|422 /p required",
        "form|false|OBJECT|p=r,1|ok", "deepObject|true|OBJECT|p[r]=1&p[g]=a|ok",
        "deepObject|true|OBJECT|p%5Br%5D=1|ok", "deepObject|true|OBJECT|p[g]=a|422 /p required",
        "deepObject|true|OBJECT|p[r]=1&p[r]=2|422 /p repeated", "form|true|{type: integer}|p=%|400  syntax"})
    void validatesQueryParameters(String style, boolean explode, String schema, String query, String expected)
            throws DescriptionException {
        String schemaMember = schema.equals("ARRAY") ? ARRAY : schema.equals("OBJECT") ? OBJECT : "schema: " + schema;
        ContractSet contracts = compileContracts(openApiWithPost("3.1.0", "/a",
            "[{name: p, in: query, required: true, style: " + style + ", explode: " + explode + ", " + schemaMember + "}]",
            null));
        assertEquals(expected, summary(validateWithoutBody(contracts, "/a?" + query)));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "header|{name: X-P, schema: {type: integer}}|x-p: 5|ok",
        "header|{name: X-P, schema: {type: integer}}|x-p: a|422 /X-P type",
        "header|{name: X-P, schema: {type: array, items: {type: integer}}}|X-P: 1, 2|ok",
        "header|{name: X-P, required: true, schema: {type: string}}|Y: 1|422 /X-P required",
        "header|{name: Content-Type, required: true, schema: {enum: [no]}}|Y: 1|ok",
        "header|{name: X-P, content: {application/json: {schema: {type: object, required: [a]}}}}|X-P: {\"a\":1}|ok",
        "header|{name: X-P, content: {application/json: {schema: {type: object, required: [a]}}}}|X-P: {}|422 /X-P required",
        "header|{name: X-P, content: {application/json: {schema: {type: object}}}}|X-P: {|400  syntax",
        "cookie|{name: s, required: true, schema: {type: integer}}|Cookie: a=b; s=5|ok",
        "cookie|{name: s, required: true, schema: {type: integer}}|Cookie: s=5; s=6|422 /s repeated",
        "cookie|{name: s, required: true, schema: {type: integer}}|Cookie: ss=5|422 /s required"})
    void validatesHeadersAndCookies(String in, String parameter, String line, String expected) throws DescriptionException {
        ContractSet contracts = compileContracts(openApiWithPost("3.0.3", "/a",
            "[" + parameter.replaceFirst("\\{", "{in: " + in + ", ") + "]", null));
        String[] header = line.split(": ", 2);
        assertEquals(expected,
            summary(contracts.validate(postRequest("/a", Map.of(header[0], header[1]), new byte[0])).result()));
    }
}

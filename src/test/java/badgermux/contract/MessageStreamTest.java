package badgermux.contract;

import static badgermux.contract.ContractFixtures.compileContracts;
import static badgermux.contract.ContractFixtures.compileProblems;
import static badgermux.contract.ContractFixtures.postRequest;
import static badgermux.contract.ContractFixtures.summary;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Validation of message streams and their order, in both versions of AsyncAPI. */
class MessageStreamTest {
    private static final String MESSAGES = """
        components:
          messages:
            a: {correlationId: {location: '$message.payload#/id'}, payload: {type: object, required: [id, m], properties: {m: {const: a}}}}
            b: {correlationId: {location: '$message.payload#/id'}, payload: {type: object, required: [id, m], properties: {m: {const: b}}}}
            c: {correlationId: {location: '$message.payload#/id'}, payload: {type: object, required: [id, m], properties: {m: {const: c}}}}
        """;
    private static final String ORDER = "x-order: {first: [a], follow: {a: [b, c], b: [b, c]}, last: [c]}";
    private static final String ASYNCAPI_3 = """
        asyncapi: 3.0.0
        info: {title: t, version: '1'}
        channels:
          ch: {address: '/s/{p}', messages: {a: {$ref: '#/components/messages/a'}, b: {$ref: '#/components/messages/b'}, c: {$ref: '#/components/messages/c'}}}
        operations:
          in: {action: receive, channel: {$ref: '#/channels/ch'}, ORDER}
          out: {action: send, channel: {$ref: '#/channels/ch'}, ORDER}
        """.replace("ORDER", ORDER) + MESSAGES;
    private static final String ASYNCAPI_2 = """
        asyncapi: 2.6.0
        info: {title: t, version: '1'}
        channels:
          /s/{p}:
            publish: {message: {oneOf: [{$ref: '#/components/messages/a'}, {$ref: '#/components/messages/b'}, {$ref: '#/components/messages/c'}]}, ORDER}
        """.replace("ORDER", ORDER) + MESSAGES;

    /** Returns a line for each word: "a1" is message a with correlation id 1, a single character stands for itself. */
    private static String jsonLines(String messages) {
        StringBuilder body = new StringBuilder();
        for (String word : messages.split(" ")) {
            body.append(word.length() < 2 ? word : "{\"id\":\"" + word.charAt(1) + "\",\"m\":\"" + word.charAt(0) + "\"}")
                .append('\n');
        }
        return body.toString();
    }

    private static byte[] jsonLine(String message) {
        return jsonLines(message).strip().getBytes(StandardCharsets.UTF_8);
    }

    @ParameterizedTest
    @CsvSource({"a1 b1 c1,ok", "a1 c1,ok", "b1 c1,422 /0 x-order", "a1 a1,422 /1 x-order", "a1 c1 c1,422 /2 x-order",
        "a1 b1,422 /1 x-order", "a1 a2 b2 c1 c2,ok", "a1 a2 c1 b1 c2,422 /3 x-order", "a1 d1,422 /1 message", "x,400  syntax",
        "a1 b1 b1 b1 c1 a2 c2,ok"})
    void enforcesOrderPerCorrelationId(String messages, String expected) throws DescriptionException {
        for (String description : List.of(ASYNCAPI_3, ASYNCAPI_2)) {
            assertEquals(expected, summary(compileContracts(description).validate(postRequest("/s/1",
                Map.of("Content-Type", "application/x-ndjson"),
                jsonLines(messages).getBytes(StandardCharsets.UTF_8))).result()));
        }
    }

    @Test void validatesResponsesLineByLine() throws DescriptionException {
        ContractSet.RequestValidation validation = compileContracts(ASYNCAPI_3)
            .validate(postRequest("/s/1", Map.of(), new byte[0]));
        ContractSet.LineValidator firstResponse = validation.responseValidator().lineValidator(name -> List.of());
        assertNull(firstResponse.validate(jsonLine("a1")));
        assertNull(firstResponse.validate(jsonLine("b1")));
        assertEquals("x-order", firstResponse.validate(jsonLine("a1")).keyword());
        ContractSet.LineValidator secondResponse = validation.responseValidator().lineValidator(name -> List.of());
        assertEquals("x-order", secondResponse.validate(jsonLine("c1")).keyword());
    }

    @ParameterizedTest
    @ValueSource(strings = {"{first: [z], follow: {}, last: [a]}", "{first: [a], follow: {a: [b]}, last: [b]}",
        "{first: [a], follow: {a: [b, c], b: [b]}, last: [c]}", "{first: [], last: [a]}", "{start: [a]}", "[a]"})
    void rejectsUnsatisfiableOrder(String order) {
        assertTrue(compileProblems(ASYNCAPI_3.replace(ORDER, "x-order: " + order)).contains("x-order"), order);
    }

    @Test void validatesMessageHeaders() throws DescriptionException {
        ContractSet contracts = compileContracts(ASYNCAPI_3.replace("a: {correlationId",
            "a: {headers: {type: object, required: [X-Desk], properties: {X-Desk: {enum: [sport]}}}, correlationId"));
        Map<String, String> headers = Map.of("Content-Type", "application/x-ndjson", "x-desk", "sport");
        byte[] body = jsonLines("a1 c1").getBytes(StandardCharsets.UTF_8);
        assertTrue(contracts.validate(postRequest("/s/1", headers, body)).result().conforms());
        assertEquals(422, contracts.validate(postRequest("/s/1", Map.of("Content-Type", "application/x-ndjson"), body))
            .result().status());
    }
}

package badgermux.contract;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.node.JsonNodeFactory;
import tools.jackson.databind.node.ObjectNode;

/** A described stream of messages, one JSON value on each line, and the order in which they are allowed. */
final class MessageStream {
    /** The maximum number of lines in one stream. */
    static final int MAX_LINES = 4_096;
    /** The maximum number of correlation ids in one stream. */
    static final int MAX_CORRELATION_IDS = 1_024;

    /**
     * A message of the stream.
     *
     * @param payload           the schema of the payload; null for any payload
     * @param headers           the schema of the headers; null for any headers
     * @param headerNames       the header names in this schema
     * @param correlationIdPath the JSON pointer tokens of the correlation id in the payload; null for none
     */
    record Message(String name, SchemaCompiler.CompiledSchema payload, SchemaCompiler.CompiledSchema headers,
            Set<String> headerNames, List<String> correlationIdPath) { }

    private final String descriptionName;
    private final String address;
    private final Map<String, Message> messages;
    private final MessageOrder order;

    /** {@code messages} has each message by its name; {@code order} is null if any message is allowed at any time. */
    MessageStream(String descriptionName, String address, Map<String, Message> messages, MessageOrder order) {
        this.descriptionName = descriptionName;
        this.address = address;
        this.messages = messages;
        this.order = order;
    }

    String descriptionName() {
        return descriptionName;
    }

    String address() {
        return address;
    }

    Map<String, Message> messages() {
        return messages;
    }

    MessageOrder order() {
        return order;
    }

    /** Returns a validator for one stream, whose HTTP message has these headers. */
    Validator newValidator(HttpRequest.Headers headers, SchemaCompiler.Direction direction) {
        return new Validator(headers, direction);
    }

    /**
     * Returns the faults of a complete body. Only the faults of the first invalid line are reported, because the validity of
     * later lines depends on it.
     *
     * @throws SyntaxException    if a line is not valid JSON
     * @throws StepLimitException if the validation of one line exceeds the step limit
     */
    List<Fault> validateBody(byte[] body, HttpRequest.Headers headers, long maxSteps) throws SyntaxException {
        Validator validator = newValidator(headers, SchemaCompiler.Direction.REQUEST);
        int lineNumber = 0;
        int lineStart = 0;
        for (int i = 0; i <= body.length; i++) {
            if (i == body.length ? lineStart < i : body[i] == '\n') {
                int end = i > lineStart && body[i - 1] == '\r' ? i - 1 : i;
                byte[] line = Arrays.copyOfRange(body, lineStart, end);
                lineStart = i + 1;
                lineNumber++;
                if (!new String(line, StandardCharsets.ISO_8859_1).isBlank()) {
                    List<Fault> faults;
                    try {
                        faults = validator.validateLine(line, maxSteps);
                    } catch (SyntaxException e) {
                        throw new SyntaxException(lineNumber, e.getMessage());
                    }
                    if (!faults.isEmpty()) {
                        return prefixLine(faults, lineNumber);
                    }
                }
            }
        }
        return prefixLine(validator.validateEnd(), lineNumber);
    }

    /** Returns the faults with the index of the line, counted from 0, in front of their pointers. */
    private static List<Fault> prefixLine(List<Fault> faults, int lineNumber) {
        return faults.stream().map(fault -> fault.in().equals("body")
            ? new Fault(fault.in(), "/" + (lineNumber - 1) + fault.pointer(), fault.keyword(), fault.message()) : fault)
            .toList();
    }

    /** Validates the lines of one stream as they arrive. */
    final class Validator {
        private final HttpRequest.Headers headers;
        private final SchemaCompiler.Direction direction;
        /** For each correlation id, the names of the messages that the last line with this id matched and that were allowed. */
        private final Map<String, Set<String>> statesByCorrelation = new HashMap<>();
        private int lineCount;

        private Validator(HttpRequest.Headers headers, SchemaCompiler.Direction direction) {
            this.headers = headers;
            this.direction = direction;
        }

        /**
         * Returns the faults of the next line; none if the line is allowed here.
         *
         * @throws SyntaxException    if the line is not valid JSON
         * @throws StepLimitException if the validation exceeds the step limit
         */
        List<Fault> validateLine(byte[] line, long maxSteps) throws SyntaxException {
            if (++lineCount > MAX_LINES) {
                return List.of(Fault.inBody("", "maxItems", "must have " + MAX_LINES + " lines or fewer"));
            }
            JsonNode value = Json.parseMessage(line);
            long maxMessageSteps = Math.min(maxSteps, SchemaCompiler.MAX_QUICK_STEPS);
            Map<String, Set<String>> matchesByCorrelation = new HashMap<>();
            // The faults of the only described message; stays empty where the stream has several messages.
            List<Fault> onlyMessageFaults = new ArrayList<>();
            for (Message message : messages.values()) {
                List<Fault> faults = validateMessage(message, value, maxMessageSteps);
                if (faults.isEmpty()) {
                    matchesByCorrelation.computeIfAbsent(correlationKey(message, value), key -> new LinkedHashSet<>())
                        .add(message.name());
                } else if (messages.size() == 1) {
                    onlyMessageFaults = faults;
                }
            }
            if (matchesByCorrelation.isEmpty()) {
                return !onlyMessageFaults.isEmpty() ? onlyMessageFaults : List.of(Fault.inBody("", "message",
                    "conforms to none of the messages " + String.join(", ", messages.keySet())));
            }
            return order == null ? List.of() : advance(matchesByCorrelation);
        }

        /**
         * Replaces the state of the line's correlation id with the messages that the line matches and the order allows. A line
         * can match messages with different correlation ids; the first id for which a match is allowed is used.
         */
        private List<Fault> advance(Map<String, Set<String>> matchesByCorrelation) {
            Set<String> received = new LinkedHashSet<>();
            Set<String> expected = new LinkedHashSet<>();
            for (Map.Entry<String, Set<String>> entry : matchesByCorrelation.entrySet()) {
                Set<String> allowed = order.allowedAfter(statesByCorrelation.get(entry.getKey()));
                Set<String> accepted = new LinkedHashSet<>(entry.getValue());
                received.addAll(accepted);
                expected.addAll(allowed);
                accepted.retainAll(allowed);
                if (!accepted.isEmpty()) {
                    if (!statesByCorrelation.containsKey(entry.getKey()) && statesByCorrelation.size() >= MAX_CORRELATION_IDS) {
                        return List.of(Fault.inBody("", MessageOrder.EXTENSION_KEY,
                            "has more than " + MAX_CORRELATION_IDS + " correlation ids"));
                    }
                    statesByCorrelation.put(entry.getKey(), accepted);
                    return List.of();
                }
            }
            return List.of(Fault.inBody("", MessageOrder.EXTENSION_KEY, String.join(" or ", received)
                + " may not come here, but " + (expected.isEmpty() ? "nothing more" : String.join(" or ", expected))));
        }

        /** Returns the faults of a stream that ends here. */
        List<Fault> validateEnd() {
            if (order != null) {
                for (Set<String> state : statesByCorrelation.values()) {
                    if (!order.mayEnd(state)) {
                        return List.of(Fault.inBody("", MessageOrder.EXTENSION_KEY,
                            "may not end after " + String.join(" or ", state)));
                    }
                }
                if (statesByCorrelation.isEmpty()) {
                    return List.of(Fault.inBody("", MessageOrder.EXTENSION_KEY, "must begin with " + String.join(" or ",
                        order.allowedAfter(null))));
                }
            }
            return List.of();
        }

        private List<Fault> validateMessage(Message message, JsonNode value, long maxSteps) {
            List<Fault> faults = message.payload() == null ? List.of()
                : message.payload().validate(value, direction, "body", "", maxSteps);
            if (faults.isEmpty() && message.correlationIdPath() != null
                    && Json.valueAt(value, message.correlationIdPath()) == null) {
                return List.of(Fault.inBody("", "correlationId", "must have a correlation id at /"
                    + String.join("/", message.correlationIdPath())));
            }
            if (faults.isEmpty() && message.headers() != null) {
                return message.headers().validate(headersOf(message), direction, "header", "", maxSteps);
            }
            return faults;
        }

        /** Returns those headers that the message's schema names, as an object of strings. */
        private JsonNode headersOf(Message message) {
            ObjectNode object = JsonNodeFactory.instance.objectNode();
            for (String name : message.headerNames()) {
                List<String> values = headers.values(name);
                if (!values.isEmpty()) {
                    object.put(name, String.join(", ", values));
                }
            }
            return object;
        }

        /** Returns the type and the text of the correlation id, so that 1 and "1" differ; empty if there is none. */
        private String correlationKey(Message message, JsonNode value) {
            JsonNode correlationId = message.correlationIdPath() == null ? null
                : Json.valueAt(value, message.correlationIdPath());
            return correlationId == null ? ""
                : correlationId.getNodeType().name().toLowerCase(Locale.ROOT) + ' ' + correlationId;
        }
    }
}

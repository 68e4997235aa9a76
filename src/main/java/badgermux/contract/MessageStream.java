package badgermux.contract;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.node.JsonNodeFactory;
import tools.jackson.databind.node.ObjectNode;

/** A described stream of messages, one JSON value a line, and the order in which they may come. */
final class MessageStream {
    /** How many lines one stream may have, and how many correlation ids may be open in it at once. */
    static final int MAX_LINES = 4_096, MAX_CORRELATION_IDS = 1_024;

    /**
     * A message that may come.
     *
     * @param name        its name
     * @param payload     the schema of its payload; null for any
     * @param headers     the schema of its headers; null for any
     * @param headerNames the header names that this schema speaks of
     * @param correlationIdPath the steps to its correlation id in the payload; null for none
     */
    record Message(String name, SchemaCompiler.CompiledSchema payload, SchemaCompiler.CompiledSchema headers, Set<String> headerNames,
            List<String> correlationIdPath) { }

    private final String description;
    private final String address;
    private final Map<String, Message> messages;
    private final MessageOrder order;

    /** {@code order} is null where any message may come at any time. */
    MessageStream(String description, String address, Map<String, Message> messages, MessageOrder order) {
        this.description = description;
        this.address = address;
        this.messages = messages;
        this.order = order;
    }

    String description() {
        return description;
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

    /** Begins to judge a stream whose message came with these headers. */
    Validator newValidator(HttpRequest.Headers headers, SchemaCompiler.Direction way) {
        return new Validator(headers, way);
    }

    /** The faults of a whole body; only the first line at fault is told, since what follows rests on it. */
    List<Fault> validateBody(byte[] body, HttpRequest.Headers headers, long steps) throws SyntaxException {
        Validator stream = newValidator(headers, SchemaCompiler.Direction.REQUEST);
        int number = 0;
        int from = 0;
        for (int i = 0; i <= body.length; i++) {
            if (i == body.length ? from < i : body[i] == '\n') {
                int end = i > from && body[i - 1] == '\r' ? i - 1 : i;
                byte[] line = java.util.Arrays.copyOfRange(body, from, end);
                from = i + 1;
                number++;
                if (!new String(line, StandardCharsets.ISO_8859_1).isBlank()) {
                    List<Fault> faults;
                    try {
                        faults = stream.validateLine(line, steps);
                    } catch (SyntaxException e) {
                        throw new SyntaxException(number, e.getMessage());
                    }
                    if (!faults.isEmpty()) {
                        return prefixLine(faults, number);
                    }
                }
            }
        }
        return prefixLine(stream.validateEnd(), number);
    }

    /** The same faults with the line in front of their pointers, counted from 0 as in an array. */
    private static List<Fault> prefixLine(List<Fault> faults, int number) {
        return faults.stream().map(fault -> fault.in().equals("body")
            ? new Fault(fault.in(), "/" + (number - 1) + fault.pointer(), fault.keyword(), fault.message()) : fault)
            .toList();
    }

    /** One stream as it goes on. */
    final class Validator {
        private final HttpRequest.Headers headers;
        private final SchemaCompiler.Direction direction;
        /** The messages that each open correlation id may have come to. */
        private final Map<String, Set<String>> statesByCorrelation = new HashMap<>();
        private int lineCount;

        private Validator(HttpRequest.Headers headers, SchemaCompiler.Direction way) {
            this.headers = headers;
            this.direction = way;
        }

        /** The faults of the next line; none where it may come now. */
        List<Fault> validateLine(byte[] line, long steps) throws SyntaxException {
            if (++lineCount > MAX_LINES) {
                return List.of(Fault.inBody("", "maxItems", "must have " + MAX_LINES + " lines or fewer"));
            }
            JsonNode value = Json.parseMessage(line);
            long each = Math.min(steps, SchemaCompiler.MAX_QUICK_STEPS);
            Map<String, Set<String>> fitting = new HashMap<>();
            List<Fault> why = new ArrayList<>();
            for (Message message : messages.values()) {
                List<Fault> faults = validateMessage(message, value, each);
                if (faults.isEmpty()) {
                    fitting.computeIfAbsent(correlationKey(message, value), key -> new LinkedHashSet<>())
                        .add(message.name());
                } else if (messages.size() == 1) {
                    why = faults;
                }
            }
            if (fitting.isEmpty()) {
                return !why.isEmpty() ? why : List.of(Fault.inBody("", "message", "conforms to none of the messages "
                    + String.join(", ", messages.keySet())));
            }
            return order == null ? List.of() : advance(fitting);
        }

        private List<Fault> advance(Map<String, Set<String>> fitting) {
            Set<String> came = new LinkedHashSet<>();
            Set<String> expected = new LinkedHashSet<>();
            for (Map.Entry<String, Set<String>> entry : fitting.entrySet()) {
                Set<String> allowed = order.allowedAfter(statesByCorrelation.get(entry.getKey()));
                Set<String> now = new LinkedHashSet<>(entry.getValue());
                came.addAll(now);
                expected.addAll(allowed);
                now.retainAll(allowed);
                if (!now.isEmpty()) {
                    if (!statesByCorrelation.containsKey(entry.getKey()) && statesByCorrelation.size() >= MAX_CORRELATION_IDS) {
                        return List.of(Fault.inBody("", MessageOrder.EXTENSION_KEY, "has more than " + MAX_CORRELATION_IDS + " correlation ids"));
                    }
                    statesByCorrelation.put(entry.getKey(), now);
                    return List.of();
                }
            }
            return List.of(Fault.inBody("", MessageOrder.EXTENSION_KEY, String.join(" or ", came) + " may not come here, but "
                + (expected.isEmpty() ? "nothing more" : String.join(" or ", expected))));
        }

        /** What is wrong with a stream that ends here. */
        List<Fault> validateEnd() {
            if (order != null) {
                for (Set<String> state : statesByCorrelation.values()) {
                    if (!order.mayEnd(state)) {
                        return List.of(Fault.inBody("", MessageOrder.EXTENSION_KEY, "may not end after " + String.join(" or ", state)));
                    }
                }
                if (statesByCorrelation.isEmpty()) {
                    return List.of(Fault.inBody("", MessageOrder.EXTENSION_KEY, "must begin with " + String.join(" or ",
                        order.allowedAfter(null))));
                }
            }
            return List.of();
        }

        private List<Fault> validateMessage(Message message, JsonNode value, long steps) {
            List<Fault> faults = message.payload() == null ? List.of()
                : message.payload().validate(value, direction, "body", "", steps);
            if (faults.isEmpty() && message.correlationIdPath() != null && Json.valueAt(value, message.correlationIdPath()) == null) {
                return List.of(Fault.inBody("", "correlationId", "must have a correlation id at /"
                    + String.join("/", message.correlationIdPath())));
            }
            if (faults.isEmpty() && message.headers() != null) {
                return message.headers().validate(headers(message), direction, "header", "", steps);
            }
            return faults;
        }

        private JsonNode headers(Message message) {
            ObjectNode object = JsonNodeFactory.instance.objectNode();
            for (String name : message.headerNames()) {
                List<String> values = headers.values(name);
                if (!values.isEmpty()) {
                    object.put(name, String.join(", ", values));
                }
            }
            return object;
        }

        private String correlationKey(Message message, JsonNode value) {
            JsonNode at = message.correlationIdPath() == null ? null : Json.valueAt(value, message.correlationIdPath());
            return at == null ? "" : at.getNodeType().name().toLowerCase(Locale.ROOT) + ' ' + at;
        }
    }
}

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
final class Flow {
    /** How many lines one stream may have, and how many correlation ids may be open in it at once. */
    static final int MAX_LINES = 4_096, MAX_OPEN = 1_024;

    /**
     * A message that may come.
     *
     * @param name        its name
     * @param payload     the schema of its payload; null for any
     * @param headers     the schema of its headers; null for any
     * @param headerNames the header names that this schema speaks of
     * @param correlation the steps to its correlation id in the payload; null for none
     */
    record Message(String name, Schemas.Compiled payload, Schemas.Compiled headers, Set<String> headerNames,
            List<String> correlation) { }

    private final String description;
    private final String address;
    private final Map<String, Message> messages;
    private final Order order;

    /** {@code order} is null where any message may come at any time. */
    Flow(String description, String address, Map<String, Message> messages, Order order) {
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

    Order order() {
        return order;
    }

    /** Begins to judge a stream whose message came with these headers. */
    Stream open(Request.Headers headers, Schemas.Way way) {
        return new Stream(headers, way);
    }

    /** The faults of a whole body; only the first line at fault is told, since what follows rests on it. */
    List<Fault> judgeWhole(byte[] body, Request.Headers headers, long steps) throws Unreadable {
        Stream stream = open(headers, Schemas.Way.REQUEST);
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
                        faults = stream.line(line, steps);
                    } catch (Unreadable e) {
                        throw new Unreadable(number, e.getMessage());
                    }
                    if (!faults.isEmpty()) {
                        return at(faults, number);
                    }
                }
            }
        }
        return at(stream.end(), number);
    }

    /** The same faults with the line in front of their pointers, counted from 0 as in an array. */
    private static List<Fault> at(List<Fault> faults, int number) {
        return faults.stream().map(fault -> fault.in().equals("body")
            ? new Fault(fault.in(), "/" + (number - 1) + fault.pointer(), fault.keyword(), fault.message()) : fault)
            .toList();
    }

    /** One stream as it goes on. */
    final class Stream {
        private final Request.Headers headers;
        private final Schemas.Way way;
        /** The messages that each open correlation id may have come to. */
        private final Map<String, Set<String>> states = new HashMap<>();
        private int lines;

        private Stream(Request.Headers headers, Schemas.Way way) {
            this.headers = headers;
            this.way = way;
        }

        /** The faults of the next line; none where it may come now. */
        List<Fault> line(byte[] line, long steps) throws Unreadable {
            if (++lines > MAX_LINES) {
                return List.of(Fault.body("", "maxItems", "must have " + MAX_LINES + " lines or fewer"));
            }
            JsonNode value = Json.message(line);
            long each = Math.min(steps, Schemas.FEW_STEPS);
            Map<String, Set<String>> fitting = new HashMap<>();
            List<Fault> why = new ArrayList<>();
            for (Message message : messages.values()) {
                List<Fault> faults = judge(message, value, each);
                if (faults.isEmpty()) {
                    fitting.computeIfAbsent(correlation(message, value), key -> new LinkedHashSet<>())
                        .add(message.name());
                } else if (messages.size() == 1) {
                    why = faults;
                }
            }
            if (fitting.isEmpty()) {
                return !why.isEmpty() ? why : List.of(Fault.body("", "message", "conforms to none of the messages "
                    + String.join(", ", messages.keySet())));
            }
            return order == null ? List.of() : next(fitting);
        }

        private List<Fault> next(Map<String, Set<String>> fitting) {
            Set<String> came = new LinkedHashSet<>();
            Set<String> expected = new LinkedHashSet<>();
            for (Map.Entry<String, Set<String>> entry : fitting.entrySet()) {
                Set<String> allowed = order.after(states.get(entry.getKey()));
                Set<String> now = new LinkedHashSet<>(entry.getValue());
                came.addAll(now);
                expected.addAll(allowed);
                now.retainAll(allowed);
                if (!now.isEmpty()) {
                    if (!states.containsKey(entry.getKey()) && states.size() >= MAX_OPEN) {
                        return List.of(Fault.body("", Order.KEY, "has more than " + MAX_OPEN + " correlation ids"));
                    }
                    states.put(entry.getKey(), now);
                    return List.of();
                }
            }
            return List.of(Fault.body("", Order.KEY, String.join(" or ", came) + " may not come here, but "
                + (expected.isEmpty() ? "nothing more" : String.join(" or ", expected))));
        }

        /** What is wrong with a stream that ends here. */
        List<Fault> end() {
            if (order != null) {
                for (Set<String> state : states.values()) {
                    if (!order.mayEnd(state)) {
                        return List.of(Fault.body("", Order.KEY, "may not end after " + String.join(" or ", state)));
                    }
                }
                if (states.isEmpty()) {
                    return List.of(Fault.body("", Order.KEY, "must begin with " + String.join(" or ",
                        order.after(null))));
                }
            }
            return List.of();
        }

        private List<Fault> judge(Message message, JsonNode value, long steps) {
            List<Fault> faults = message.payload() == null ? List.of()
                : message.payload().judge(value, way, "body", "", steps);
            if (faults.isEmpty() && message.correlation() != null && Json.at(value, message.correlation()) == null) {
                return List.of(Fault.body("", "correlationId", "must have a correlation id at /"
                    + String.join("/", message.correlation())));
            }
            if (faults.isEmpty() && message.headers() != null) {
                return message.headers().judge(headers(message), way, "header", "", steps);
            }
            return faults;
        }

        private JsonNode headers(Message message) {
            ObjectNode object = JsonNodeFactory.instance.objectNode();
            for (String name : message.headerNames()) {
                List<String> values = headers.all(name);
                if (!values.isEmpty()) {
                    object.put(name, String.join(", ", values));
                }
            }
            return object;
        }

        private String correlation(Message message, JsonNode value) {
            JsonNode at = message.correlation() == null ? null : Json.at(value, message.correlation());
            return at == null ? "" : at.getNodeType().name().toLowerCase(Locale.ROOT) + ' ' + at;
        }
    }
}

package badgermux.contract;

import com.networknt.schema.dialect.Dialects;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tools.jackson.databind.JsonNode;

/**
 * Reads AsyncAPI 2.6 and 3.0. The application described is the backend: what it receives (2.6: publish) is what clients
 * post, what it sends (2.6: subscribe) are the lines of its answers. A channel's address is the path of its reqs.
 */
final class AsyncApi extends Compiler {
    private static final String PAYLOAD = "$message.payload#";

    private final boolean old;

    AsyncApi(Description description, Bundle bundle, boolean old) {
        super(description, bundle, Dialects.getDraft7(), true);
        this.old = old;
    }

    @Override void readAll() {
        if (bundle.root().get("channels") == null) {
            problem("", "channels is missing");
            return;
        }
        List<String> bases = servers();
        Map<String, String[]> operations = old ? Map.of() : operations();
        for (Map.Entry<String, JsonNode> member : members("/channels")) {
            String at = bundle.resolve("/channels/" + Json.step(member.getKey()));
            JsonNode channel = bundle.at(at);
            JsonNode address = old ? null : channel.get("address");
            String template = old ? member.getKey() : address == null ? member.getKey()
                : address.isString() ? address.stringValue() : null;
            if (template == null) {
                warn(at, "a channel without an address is not judged");
                continue;
            }
            template = template.startsWith("/") ? template : '/' + template;
            if (!isTemplate(template, at)) {
                continue;
            }
            Flow posted;
            Flow answered;
            if (old) {
                posted = channel.get("publish") == null ? null : oldFlow(template, at + "/publish");
                answered = channel.get("subscribe") == null ? null : oldFlow(template, at + "/subscribe");
            } else {
                String[] pair = operations.getOrDefault(at, new String[2]);
                posted = pair[0] == null ? null : flow(template, at, pair[0]);
                answered = pair[1] == null ? null : flow(template, at, pair[1]);
            }
            for (String base : posted == null && answered == null ? List.<String>of() : bases) {
                description.channels.add(new Description.Channel(base + template, posted, answered));
            }
            if (isFull()) {
                return;
            }
        }
    }

    private List<String> servers() {
        List<String> bases = new ArrayList<>();
        for (Map.Entry<String, JsonNode> member : members("/servers")) {
            String at = bundle.resolve("/servers/" + Json.step(member.getKey()));
            JsonNode server = bundle.at(at);
            String protocol = text(server, "protocol");
            String url = old ? text(server, "url") : text(server, "pathname");
            if (protocol != null && protocol.startsWith("http")) {
                for (String base : bases(url == null ? "" : url, server.get("variables"), at)) {
                    if (!bases.contains(base)) {
                        bases.add(base);
                    }
                }
            }
        }
        return bases.isEmpty() ? List.of("") : bases;
    }

    /** For each channel's pointer the pointers of the operation that receives there and of the one that sends. */
    private Map<String, String[]> operations() {
        Map<String, String[]> found = new LinkedHashMap<>();
        for (Map.Entry<String, JsonNode> member : members("/operations")) {
            String at = bundle.resolve("/operations/" + Json.step(member.getKey()));
            String action = text(bundle.at(at), "action");
            if (action == null || !Set.of("send", "receive").contains(action)) {
                problem(at, "action must be send or receive");
                continue;
            }
            if (bundle.at(at + "/channel") == null) {
                problem(at, "channel is missing");
                continue;
            }
            String[] pair = found.computeIfAbsent(bundle.resolve(at + "/channel"), channel -> new String[2]);
            int which = action.equals("receive") ? 0 : 1;
            if (pair[which] != null) {
                problem(at, "a second operation of this action on one channel");
            }
            pair[which] = at;
        }
        return found;
    }

    private Flow flow(String template, String channel, String operation) {
        Map<String, Flow.Message> messages = new LinkedHashMap<>();
        JsonNode list = bundle.at(operation + "/messages");
        if (list != null && list.isArray()) {
            for (int i = 0; i < list.size(); i++) {
                String reference = text(list.get(i), "$ref");
                List<String> steps = reference == null ? null : Bundle.steps(reference);
                String name = steps == null || steps.isEmpty() ? String.valueOf(i) : steps.get(steps.size() - 1);
                messages.put(name, message(name, bundle.resolve(operation + "/messages/" + i)));
            }
        } else {
            String map = bundle.resolve(channel + "/messages");
            for (Map.Entry<String, JsonNode> member : members(map)) {
                messages.put(member.getKey(), message(member.getKey(),
                    bundle.resolve(map + '/' + Json.step(member.getKey()))));
            }
        }
        return flow(template, operation, messages);
    }

    private Flow oldFlow(String template, String operation) {
        Map<String, Flow.Message> messages = new LinkedHashMap<>();
        String at = operation + "/message";
        JsonNode alternatives = bundle.at(at) == null ? null : bundle.at(at).get("oneOf");
        for (int i = 0; i < (alternatives == null ? 1 : alternatives.size()); i++) {
            String each = alternatives == null ? at : at + "/oneOf/" + i;
            String reference = text(bundle.at(each), "$ref");
            String resolved = bundle.resolve(each);
            JsonNode message = bundle.at(resolved);
            if (message == null) {
                problem(operation, "message is missing");
                return null;
            }
            List<String> steps = reference == null ? null : Bundle.steps(reference);
            String name = steps != null && !steps.isEmpty() ? steps.get(steps.size() - 1)
                : text(message, "messageId") != null ? text(message, "messageId")
                : text(message, "name") != null ? text(message, "name") : String.valueOf(i);
            messages.put(name, message(name, resolved));
        }
        return flow(template, operation, messages);
    }

    private Flow flow(String template, String operation, Map<String, Flow.Message> messages) {
        if (messages.isEmpty() || messages.containsValue(null)) {
            if (messages.isEmpty()) {
                problem(operation, "there are no messages");
            }
            return null;
        }
        Order order = null;
        if (bundle.at(operation).get(Order.KEY) != null) {
            String extension = bundle.resolve(operation + '/' + Order.KEY);
            Map<String, String> problems = new LinkedHashMap<>();
            order = Order.read(bundle.at(extension), messages.keySet(), problems);
            problems.forEach((at, reason) -> problem(extension + at, reason));
        }
        return new Flow(description.name(), template, messages, order);
    }

    private Flow.Message message(String name, String at) {
        JsonNode message = bundle.at(at);
        if (message == null || !message.isObject()) {
            problem(at, "a message must be an object");
            return null;
        }
        String payload = payload(at, message);
        String headers = part(at, "headers");
        List<String> correlation = null;
        String location = part(at, "correlationId");
        if (location != null) {
            String expression = text(bundle.at(bundle.resolve(location)), "location");
            correlation = expression == null || !expression.startsWith(PAYLOAD) ? null
                : Json.steps(expression.substring(PAYLOAD.length()));
            if (correlation == null) {
                problem(location, "a correlation id must lie in the payload: " + PAYLOAD + "/...");
            }
        }
        Set<String> names = new LinkedHashSet<>();
        if (headers != null) {
            JsonNode schema = bundle.at(bundle.resolve(headers));
            if (schema.get("properties") != null) {
                names.addAll(schema.get("properties").propertyNames());
            }
            if (schema.get("required") != null) {
                schema.get("required").forEach(required -> names.add(required.asString("")));
            }
        }
        return new Flow.Message(name, payload == null ? null : schema(payload),
            headers == null ? null : schema(headers), names, correlation);
    }

    /** A part of a message, its own or else that of the first trait that has it; null for none. */
    private String part(String at, String name) {
        if (bundle.at(at).get(name) != null) {
            return at + '/' + name;
        }
        JsonNode traits = bundle.at(at).get("traits");
        for (int i = 0; traits != null && i < traits.size(); i++) {
            String trait = bundle.resolve(at + "/traits/" + i);
            if (bundle.at(trait) != null && bundle.at(trait).get(name) != null) {
                return trait + '/' + name;
            }
        }
        return null;
    }

    /** Where the payload's schema stands; null where any payload will do. */
    private String payload(String at, JsonNode message) {
        if (message.get("payload") == null) {
            return null;
        }
        String pointer = bundle.resolve(at + "/payload");
        JsonNode payload = bundle.at(pointer);
        String format = old ? text(message, "schemaFormat") : text(payload, "schemaFormat");
        if (format != null && !format.startsWith("application/vnd.aai.asyncapi")
                && !format.startsWith("application/schema+json") && !format.startsWith("application/schema+yaml")) {
            problem(at, "only JSON Schema can be read as a payload's format");
            return null;
        }
        return !old && format != null && payload.get("schema") != null ? pointer + "/schema" : pointer;
    }
}

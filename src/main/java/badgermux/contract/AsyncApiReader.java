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
final class AsyncApiReader extends DescriptionReader {
    private static final String PAYLOAD_PREFIX = "$message.payload#";

    private final boolean isVersion2;

    AsyncApiReader(ApiDescription description, DocumentBundle bundle, boolean old) {
        super(description, bundle, Dialects.getDraft7(), true);
        this.isVersion2 = old;
    }

    @Override void readDescription() {
        if (bundle.root().get("channels") == null) {
            addProblem("", "channels is missing");
            return;
        }
        List<String> bases = readBasePaths();
        Map<String, String[]> operations = isVersion2 ? Map.of() : readOperationPointers();
        for (Map.Entry<String, JsonNode> member : members("/channels")) {
            String at = bundle.resolve("/channels/" + Json.escapeToken(member.getKey()));
            JsonNode channel = bundle.valueAt(at);
            JsonNode address = isVersion2 ? null : channel.get("address");
            String template = isVersion2 ? member.getKey() : address == null ? member.getKey()
                : address.isString() ? address.stringValue() : null;
            if (template == null) {
                addWarning(at, "a channel without an address is not judged");
                continue;
            }
            template = template.startsWith("/") ? template : '/' + template;
            if (!isValidTemplate(template, at)) {
                continue;
            }
            MessageStream posted;
            MessageStream answered;
            if (isVersion2) {
                posted = channel.get("publish") == null ? null : readVersion2Stream(template, at + "/publish");
                answered = channel.get("subscribe") == null ? null : readVersion2Stream(template, at + "/subscribe");
            } else {
                String[] pair = operations.getOrDefault(at, new String[2]);
                posted = pair[0] == null ? null : readStream(template, at, pair[0]);
                answered = pair[1] == null ? null : readStream(template, at, pair[1]);
            }
            for (String base : posted == null && answered == null ? List.<String>of() : bases) {
                description.channels.add(new ApiDescription.Channel(base + template, posted, answered));
            }
            if (hasMaxProblems()) {
                return;
            }
        }
    }

    private List<String> readBasePaths() {
        List<String> bases = new ArrayList<>();
        for (Map.Entry<String, JsonNode> member : members("/servers")) {
            String at = bundle.resolve("/servers/" + Json.escapeToken(member.getKey()));
            JsonNode server = bundle.valueAt(at);
            String protocol = stringMember(server, "protocol");
            String url = isVersion2 ? stringMember(server, "url") : stringMember(server, "pathname");
            if (protocol != null && protocol.startsWith("http")) {
                for (String base : basePaths(url == null ? "" : url, server.get("variables"), at)) {
                    if (!bases.contains(base)) {
                        bases.add(base);
                    }
                }
            }
        }
        return bases.isEmpty() ? List.of("") : bases;
    }

    /** For each channel's pointer the pointers of the operation that receives there and of the one that sends. */
    private Map<String, String[]> readOperationPointers() {
        Map<String, String[]> found = new LinkedHashMap<>();
        for (Map.Entry<String, JsonNode> member : members("/operations")) {
            String at = bundle.resolve("/operations/" + Json.escapeToken(member.getKey()));
            String action = stringMember(bundle.valueAt(at), "action");
            if (action == null || !Set.of("send", "receive").contains(action)) {
                addProblem(at, "action must be send or receive");
                continue;
            }
            if (bundle.valueAt(at + "/channel") == null) {
                addProblem(at, "channel is missing");
                continue;
            }
            String[] pair = found.computeIfAbsent(bundle.resolve(at + "/channel"), channel -> new String[2]);
            int which = action.equals("receive") ? 0 : 1;
            if (pair[which] != null) {
                addProblem(at, "a second operation of this action on one channel");
            }
            pair[which] = at;
        }
        return found;
    }

    private MessageStream readStream(String template, String channel, String operation) {
        Map<String, MessageStream.Message> messages = new LinkedHashMap<>();
        JsonNode list = bundle.valueAt(operation + "/messages");
        if (list != null && list.isArray()) {
            for (int i = 0; i < list.size(); i++) {
                String reference = stringMember(list.get(i), "$ref");
                List<String> steps = reference == null ? null : DocumentBundle.referenceTokens(reference);
                String name = steps == null || steps.isEmpty() ? String.valueOf(i) : steps.get(steps.size() - 1);
                messages.put(name, readMessage(name, bundle.resolve(operation + "/messages/" + i)));
            }
        } else {
            String map = bundle.resolve(channel + "/messages");
            for (Map.Entry<String, JsonNode> member : members(map)) {
                messages.put(member.getKey(), readMessage(member.getKey(),
                    bundle.resolve(map + '/' + Json.escapeToken(member.getKey()))));
            }
        }
        return readStream(template, operation, messages);
    }

    private MessageStream readVersion2Stream(String template, String operation) {
        Map<String, MessageStream.Message> messages = new LinkedHashMap<>();
        String at = operation + "/message";
        JsonNode alternatives = bundle.valueAt(at) == null ? null : bundle.valueAt(at).get("oneOf");
        for (int i = 0; i < (alternatives == null ? 1 : alternatives.size()); i++) {
            String each = alternatives == null ? at : at + "/oneOf/" + i;
            String reference = stringMember(bundle.valueAt(each), "$ref");
            String resolved = bundle.resolve(each);
            JsonNode message = bundle.valueAt(resolved);
            if (message == null) {
                addProblem(operation, "message is missing");
                return null;
            }
            List<String> steps = reference == null ? null : DocumentBundle.referenceTokens(reference);
            String name = steps != null && !steps.isEmpty() ? steps.get(steps.size() - 1)
                : stringMember(message, "messageId") != null ? stringMember(message, "messageId")
                : stringMember(message, "name") != null ? stringMember(message, "name") : String.valueOf(i);
            messages.put(name, readMessage(name, resolved));
        }
        return readStream(template, operation, messages);
    }

    private MessageStream readStream(String template, String operation, Map<String, MessageStream.Message> messages) {
        if (messages.isEmpty() || messages.containsValue(null)) {
            if (messages.isEmpty()) {
                addProblem(operation, "there are no messages");
            }
            return null;
        }
        MessageOrder order = null;
        if (bundle.valueAt(operation).get(MessageOrder.EXTENSION_KEY) != null) {
            String extension = bundle.resolve(operation + '/' + MessageOrder.EXTENSION_KEY);
            Map<String, String> problems = new LinkedHashMap<>();
            order = MessageOrder.read(bundle.valueAt(extension), messages.keySet(), problems);
            problems.forEach((at, reason) -> addProblem(extension + at, reason));
        }
        return new MessageStream(description.name(), template, messages, order);
    }

    private MessageStream.Message readMessage(String name, String at) {
        JsonNode message = bundle.valueAt(at);
        if (message == null || !message.isObject()) {
            addProblem(at, "a message must be an object");
            return null;
        }
        String payload = payloadPointer(at, message);
        String headers = findPart(at, "headers");
        List<String> correlation = null;
        String location = findPart(at, "correlationId");
        if (location != null) {
            String expression = stringMember(bundle.valueAt(bundle.resolve(location)), "location");
            correlation = expression == null || !expression.startsWith(PAYLOAD_PREFIX) ? null
                : Json.pointerTokens(expression.substring(PAYLOAD_PREFIX.length()));
            if (correlation == null) {
                addProblem(location, "a correlation id must lie in the payload: " + PAYLOAD_PREFIX + "/...");
            }
        }
        Set<String> names = new LinkedHashSet<>();
        if (headers != null) {
            JsonNode schema = bundle.valueAt(bundle.resolve(headers));
            if (schema.get("properties") != null) {
                names.addAll(schema.get("properties").propertyNames());
            }
            if (schema.get("required") != null) {
                schema.get("required").forEach(required -> names.add(required.asString("")));
            }
        }
        return new MessageStream.Message(name, payload == null ? null : compileSchema(payload),
            headers == null ? null : compileSchema(headers), names, correlation);
    }

    /** A part of a message, its own or else that of the first trait that has it; null for none. */
    private String findPart(String at, String name) {
        if (bundle.valueAt(at).get(name) != null) {
            return at + '/' + name;
        }
        JsonNode traits = bundle.valueAt(at).get("traits");
        for (int i = 0; traits != null && i < traits.size(); i++) {
            String trait = bundle.resolve(at + "/traits/" + i);
            if (bundle.valueAt(trait) != null && bundle.valueAt(trait).get(name) != null) {
                return trait + '/' + name;
            }
        }
        return null;
    }

    /** Where the payload's schema stands; null where any payload will do. */
    private String payloadPointer(String at, JsonNode message) {
        if (message.get("payload") == null) {
            return null;
        }
        String pointer = bundle.resolve(at + "/payload");
        JsonNode payload = bundle.valueAt(pointer);
        String format = isVersion2 ? stringMember(message, "schemaFormat") : stringMember(payload, "schemaFormat");
        if (format != null && !format.startsWith("application/vnd.aai.asyncapi")
                && !format.startsWith("application/schema+json") && !format.startsWith("application/schema+yaml")) {
            addProblem(at, "only JSON Schema can be read as a payload's format");
            return null;
        }
        return !isVersion2 && format != null && payload.get("schema") != null ? pointer + "/schema" : pointer;
    }
}

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
 * Reads AsyncAPI 2.6 and 3.0. The described application is the backend: the messages that it receives (2.6: publish) are the
 * lines of request bodies, those that it sends (2.6: subscribe) are the lines of its responses. A channel's address is the
 * path of the requests.
 */
final class AsyncApiReader extends DescriptionReader {
    /** Begins a runtime expression that refers to the payload. */
    private static final String PAYLOAD_PREFIX = "$message.payload#";

    private final boolean isVersion2;

    AsyncApiReader(ApiDescription description, DocumentBundle bundle, boolean isVersion2) {
        super(description, bundle, Dialects.getDraft7(), true);
        this.isVersion2 = isVersion2;
    }

    @Override void readDescription() {
        if (bundle.root().get("channels") == null) {
            addProblem("", "channels is missing");
            return;
        }
        List<String> basePaths = readBasePaths();
        Map<String, String[]> operations = isVersion2 ? Map.of() : readOperationPointers();
        for (Map.Entry<String, JsonNode> member : members("/channels")) {
            String pointer = bundle.resolve("/channels/" + Json.escapeToken(member.getKey()));
            JsonNode channel = bundle.valueAt(pointer);
            JsonNode address = isVersion2 ? null : channel.get("address");
            String template = isVersion2 ? member.getKey() : address == null ? member.getKey()
                : address.isString() ? address.stringValue() : null;
            if (template == null) {
                addWarning(pointer, "a channel without an address is not judged");
                continue;
            }
            template = template.startsWith("/") ? template : '/' + template;
            if (!isValidTemplate(template, pointer)) {
                continue;
            }
            MessageStream requestStream;
            MessageStream responseStream;
            if (isVersion2) {
                requestStream = channel.get("publish") == null ? null : readVersion2Stream(template, pointer + "/publish");
                responseStream = channel.get("subscribe") == null ? null : readVersion2Stream(template, pointer + "/subscribe");
            } else {
                String[] operationPointers = operations.getOrDefault(pointer, new String[2]);
                requestStream = operationPointers[0] == null ? null : readStream(template, pointer, operationPointers[0]);
                responseStream = operationPointers[1] == null ? null : readStream(template, pointer, operationPointers[1]);
            }
            for (String base : requestStream == null && responseStream == null ? List.<String>of() : basePaths) {
                description.channels.add(new ApiDescription.Channel(base + template, requestStream, responseStream));
            }
            if (hasMaxProblems()) {
                return;
            }
        }
    }

    /** Returns the base paths of all HTTP servers; the root if there are none. */
    private List<String> readBasePaths() {
        List<String> paths = new ArrayList<>();
        for (Map.Entry<String, JsonNode> member : members("/servers")) {
            String pointer = bundle.resolve("/servers/" + Json.escapeToken(member.getKey()));
            JsonNode server = bundle.valueAt(pointer);
            String protocol = stringMember(server, "protocol");
            String url = isVersion2 ? stringMember(server, "url") : stringMember(server, "pathname");
            if (protocol != null && protocol.startsWith("http")) {
                for (String base : basePaths(url == null ? "" : url, server.get("variables"), pointer)) {
                    if (!paths.contains(base)) {
                        paths.add(base);
                    }
                }
            }
        }
        return paths.isEmpty() ? List.of("") : paths;
    }

    /**
     * Returns for each channel's pointer the pointers of its operations: first the one that receives, then the one that sends;
     * null for none.
     */
    private Map<String, String[]> readOperationPointers() {
        Map<String, String[]> pointersByChannel = new LinkedHashMap<>();
        for (Map.Entry<String, JsonNode> member : members("/operations")) {
            String pointer = bundle.resolve("/operations/" + Json.escapeToken(member.getKey()));
            String action = stringMember(bundle.valueAt(pointer), "action");
            if (action == null || !Set.of("send", "receive").contains(action)) {
                addProblem(pointer, "action must be send or receive");
                continue;
            }
            if (bundle.valueAt(pointer + "/channel") == null) {
                addProblem(pointer, "channel is missing");
                continue;
            }
            String[] pointers = pointersByChannel.computeIfAbsent(bundle.resolve(pointer + "/channel"),
                channel -> new String[2]);
            int index = action.equals("receive") ? 0 : 1;
            if (pointers[index] != null) {
                addProblem(pointer, "a second operation of this action on one channel");
            }
            pointers[index] = pointer;
        }
        return pointersByChannel;
    }

    /** Reads a stream of AsyncAPI 3.0. An operation without a list of messages has all messages of its channel. */
    private MessageStream readStream(String template, String channelPointer, String operationPointer) {
        Map<String, MessageStream.Message> messages = new LinkedHashMap<>();
        JsonNode messageList = bundle.valueAt(operationPointer + "/messages");
        if (messageList != null && messageList.isArray()) {
            for (int i = 0; i < messageList.size(); i++) {
                String reference = stringMember(messageList.get(i), "$ref");
                List<String> tokens = reference == null ? null : DocumentBundle.referenceTokens(reference);
                String name = tokens == null || tokens.isEmpty() ? String.valueOf(i) : tokens.get(tokens.size() - 1);
                messages.put(name, readMessage(name, bundle.resolve(operationPointer + "/messages/" + i)));
            }
        } else {
            String messagesPointer = bundle.resolve(channelPointer + "/messages");
            for (Map.Entry<String, JsonNode> member : members(messagesPointer)) {
                messages.put(member.getKey(), readMessage(member.getKey(),
                    bundle.resolve(messagesPointer + '/' + Json.escapeToken(member.getKey()))));
            }
        }
        return readStream(template, operationPointer, messages);
    }

    /** Reads a stream of AsyncAPI 2.6. */
    private MessageStream readVersion2Stream(String template, String operationPointer) {
        Map<String, MessageStream.Message> messages = new LinkedHashMap<>();
        String messagePointer = operationPointer + "/message";
        JsonNode alternatives = bundle.valueAt(messagePointer) == null ? null : bundle.valueAt(messagePointer).get("oneOf");
        for (int i = 0; i < (alternatives == null ? 1 : alternatives.size()); i++) {
            String alternativePointer = alternatives == null ? messagePointer : messagePointer + "/oneOf/" + i;
            String reference = stringMember(bundle.valueAt(alternativePointer), "$ref");
            String resolved = bundle.resolve(alternativePointer);
            JsonNode message = bundle.valueAt(resolved);
            if (message == null) {
                addProblem(operationPointer, "message is missing");
                return null;
            }
            List<String> tokens = reference == null ? null : DocumentBundle.referenceTokens(reference);
            String name = tokens != null && !tokens.isEmpty() ? tokens.get(tokens.size() - 1)
                : stringMember(message, "messageId") != null ? stringMember(message, "messageId")
                : stringMember(message, "name") != null ? stringMember(message, "name") : String.valueOf(i);
            messages.put(name, readMessage(name, resolved));
        }
        return readStream(template, operationPointer, messages);
    }

    private MessageStream readStream(String template, String operationPointer, Map<String, MessageStream.Message> messages) {
        if (messages.isEmpty() || messages.containsValue(null)) {
            if (messages.isEmpty()) {
                addProblem(operationPointer, "there are no messages");
            }
            return null;
        }
        MessageOrder order = null;
        if (bundle.valueAt(operationPointer).get(MessageOrder.EXTENSION_KEY) != null) {
            String extensionPointer = bundle.resolve(operationPointer + '/' + MessageOrder.EXTENSION_KEY);
            Map<String, String> problems = new LinkedHashMap<>();
            order = MessageOrder.read(bundle.valueAt(extensionPointer), messages.keySet(), problems);
            problems.forEach((subpointer, reason) -> addProblem(extensionPointer + subpointer, reason));
        }
        return new MessageStream(description.name(), template, messages, order);
    }

    /** Reads a message; returns null if it is not an object. */
    private MessageStream.Message readMessage(String name, String pointer) {
        JsonNode message = bundle.valueAt(pointer);
        if (message == null || !message.isObject()) {
            addProblem(pointer, "a message must be an object");
            return null;
        }
        String payloadPointer = payloadPointer(pointer, message);
        String headersPointer = findPart(pointer, "headers");
        List<String> correlationIdPath = null;
        String correlationIdPointer = findPart(pointer, "correlationId");
        if (correlationIdPointer != null) {
            String expression = stringMember(bundle.valueAt(bundle.resolve(correlationIdPointer)), "location");
            correlationIdPath = expression == null || !expression.startsWith(PAYLOAD_PREFIX) ? null
                : Json.pointerTokens(expression.substring(PAYLOAD_PREFIX.length()));
            if (correlationIdPath == null) {
                addProblem(correlationIdPointer, "a correlation id must lie in the payload: " + PAYLOAD_PREFIX + "/...");
            }
        }
        Set<String> headerNames = new LinkedHashSet<>();
        if (headersPointer != null) {
            JsonNode schema = bundle.valueAt(bundle.resolve(headersPointer));
            if (schema.get("properties") != null) {
                headerNames.addAll(schema.get("properties").propertyNames());
            }
            if (schema.get("required") != null) {
                schema.get("required").forEach(required -> headerNames.add(required.asString("")));
            }
        }
        return new MessageStream.Message(name, payloadPointer == null ? null : compileSchema(payloadPointer),
            headersPointer == null ? null : compileSchema(headersPointer), headerNames, correlationIdPath);
    }

    /** Returns the pointer of a member of a message, its own or that of the first trait that has it; null if there is none. */
    private String findPart(String messagePointer, String name) {
        if (bundle.valueAt(messagePointer).get(name) != null) {
            return messagePointer + '/' + name;
        }
        JsonNode traits = bundle.valueAt(messagePointer).get("traits");
        for (int i = 0; traits != null && i < traits.size(); i++) {
            String traitPointer = bundle.resolve(messagePointer + "/traits/" + i);
            if (bundle.valueAt(traitPointer) != null && bundle.valueAt(traitPointer).get(name) != null) {
                return traitPointer + '/' + name;
            }
        }
        return null;
    }

    /** Returns the pointer of the payload's schema; null if any payload is allowed. */
    private String payloadPointer(String messagePointer, JsonNode message) {
        if (message.get("payload") == null) {
            return null;
        }
        String pointer = bundle.resolve(messagePointer + "/payload");
        JsonNode payload = bundle.valueAt(pointer);
        String format = isVersion2 ? stringMember(message, "schemaFormat") : stringMember(payload, "schemaFormat");
        if (format != null && !format.startsWith("application/vnd.aai.asyncapi")
                && !format.startsWith("application/schema+json") && !format.startsWith("application/schema+yaml")) {
            addProblem(messagePointer, "only JSON Schema can be read as a payload's format");
            return null;
        }
        return !isVersion2 && format != null && payload.get("schema") != null ? pointer + "/schema" : pointer;
    }
}

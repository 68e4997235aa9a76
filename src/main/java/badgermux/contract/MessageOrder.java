package badgermux.contract;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tools.jackson.databind.JsonNode;

/**
 * The allowed order of messages with the same correlation id: an automaton whose states are the names of messages. It is
 * described by the extension {@code x-order}, because AsyncAPI has no keyword for it.
 *
 * @param first  the messages that may come first
 * @param follow for each message, those that may follow it; nothing may follow a message that is not a key
 * @param last   the messages that may come last
 */
record MessageOrder(Set<String> first, Map<String, Set<String>> follow, Set<String> last) {
    static final String EXTENSION_KEY = "x-order";

    /**
     * Reads an order; returns null if it can't be used.
     *
     * @param messages the names of the operation's messages
     * @param problems receives the reasons why the order can't be used, by their pointers relative to {@code node}
     */
    static MessageOrder read(JsonNode node, Set<String> messages, Map<String, String> problems) {
        if (!node.isObject()) {
            problems.put("", "must be an object of first, follow and last");
            return null;
        }
        for (String key : node.propertyNames()) {
            if (!Set.of("first", "follow", "last").contains(key)) {
                problems.put('/' + Json.escapeToken(key), "is none of first, follow and last");
            }
        }
        Set<String> first = readNames(node.get("first"), "/first", messages, problems);
        Set<String> last = readNames(node.get("last"), "/last", messages, problems);
        Map<String, Set<String>> follow = new LinkedHashMap<>();
        JsonNode followNode = node.get("follow");
        if (followNode != null && !followNode.isObject()) {
            problems.put("/follow", "must be an object of message names");
        } else if (followNode != null) {
            for (Map.Entry<String, JsonNode> entry : followNode.properties()) {
                String pointer = "/follow/" + Json.escapeToken(entry.getKey());
                if (!messages.contains(entry.getKey())) {
                    problems.put(pointer, "is no message of this operation");
                }
                follow.put(entry.getKey(), readNames(entry.getValue(), pointer, messages, problems));
            }
        }
        if (!problems.isEmpty()) {
            return null;
        }
        MessageOrder order = new MessageOrder(first, follow, last);
        order.checkReachability(messages, problems);
        return problems.isEmpty() ? order : null;
    }

    private static Set<String> readNames(JsonNode list, String pointer, Set<String> messages, Map<String, String> problems) {
        Set<String> names = new LinkedHashSet<>();
        if (list == null || !list.isArray() || list.isEmpty()) {
            problems.put(pointer, "must be a list of message names");
            return names;
        }
        for (int i = 0; i < list.size(); i++) {
            if (!list.get(i).isString() || !messages.contains(list.get(i).stringValue())) {
                problems.put(pointer + '/' + i, "is no message of this operation");
            } else {
                names.add(list.get(i).stringValue());
            }
        }
        return names;
    }

    /** Checks that each message is reachable from a first one, and that a last one is reachable from each message. */
    private void checkReachability(Set<String> messages, Map<String, String> problems) {
        Set<String> reachable = new LinkedHashSet<>(first);
        for (List<String> pending = new ArrayList<>(first); !pending.isEmpty();) {
            for (String next : follow.getOrDefault(pending.remove(pending.size() - 1), Set.of())) {
                if (reachable.add(next)) {
                    pending.add(next);
                }
            }
        }
        Set<String> terminating = new LinkedHashSet<>(last);
        boolean changed = true;
        while (changed) {
            changed = false;
            for (Map.Entry<String, Set<String>> entry : follow.entrySet()) {
                changed |= entry.getValue().stream().anyMatch(terminating::contains) && terminating.add(entry.getKey());
            }
        }
        for (String message : messages) {
            if (!reachable.contains(message)) {
                problems.put("", "the message " + message + " can never come");
            } else if (!terminating.contains(message)) {
                problems.put("", "from the message " + message + " there is no way to a last one");
            }
        }
    }

    /** Returns the messages that may follow any of these; {@code null} stands for the start of the stream. */
    Set<String> allowedAfter(Set<String> states) {
        if (states == null) {
            return first;
        }
        Set<String> next = new LinkedHashSet<>();
        states.forEach(state -> next.addAll(follow.getOrDefault(state, Set.of())));
        return next;
    }

    /** Whether the order may end after any of these messages. */
    boolean mayEnd(Set<String> states) {
        return states.stream().anyMatch(last::contains);
    }
}

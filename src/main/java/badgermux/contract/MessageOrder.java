package badgermux.contract;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tools.jackson.databind.JsonNode;

/**
 * Which message may come when, for one correlation id: the extension {@code x-order}, an automaton whose states are the
 * messages. AsyncAPI itself has no word for it.
 *
 * @param first  what may come first
 * @param follow what may come after each message; one that is not named there ends the order
 * @param last   what may come last
 */
record MessageOrder(Set<String> first, Map<String, Set<String>> follow, Set<String> last) {
    static final String EXTENSION_KEY = "x-order";

    /** Reads it; the reasons why it can't be used go to {@code problems}, each with the pointer below it. */
    static MessageOrder read(JsonNode from, Set<String> messages, Map<String, String> problems) {
        if (!from.isObject()) {
            problems.put("", "must be an object of first, follow and last");
            return null;
        }
        for (String key : from.propertyNames()) {
            if (!Set.of("first", "follow", "last").contains(key)) {
                problems.put('/' + Json.escapeToken(key), "is none of first, follow and last");
            }
        }
        Set<String> first = readNames(from.get("first"), "/first", messages, problems);
        Set<String> last = readNames(from.get("last"), "/last", messages, problems);
        Map<String, Set<String>> follow = new LinkedHashMap<>();
        JsonNode next = from.get("follow");
        if (next != null && !next.isObject()) {
            problems.put("/follow", "must be an object of message names");
        } else if (next != null) {
            for (Map.Entry<String, JsonNode> entry : next.properties()) {
                String at = "/follow/" + Json.escapeToken(entry.getKey());
                if (!messages.contains(entry.getKey())) {
                    problems.put(at, "is no message of this operation");
                }
                follow.put(entry.getKey(), readNames(entry.getValue(), at, messages, problems));
            }
        }
        if (!problems.isEmpty()) {
            return null;
        }
        MessageOrder order = new MessageOrder(first, follow, last);
        order.checkReachability(messages, problems);
        return problems.isEmpty() ? order : null;
    }

    private static Set<String> readNames(JsonNode list, String at, Set<String> messages, Map<String, String> problems) {
        Set<String> names = new LinkedHashSet<>();
        if (list == null || !list.isArray() || list.isEmpty()) {
            problems.put(at, "must be a list of message names");
            return names;
        }
        for (int i = 0; i < list.size(); i++) {
            if (!list.get(i).isString() || !messages.contains(list.get(i).stringValue())) {
                problems.put(at + '/' + i, "is no message of this operation");
            } else {
                names.add(list.get(i).stringValue());
            }
        }
        return names;
    }

    /** Each message can come, and from each there is a way to a last one. */
    private void checkReachability(Set<String> messages, Map<String, String> problems) {
        Set<String> reached = new LinkedHashSet<>(first);
        for (List<String> open = new ArrayList<>(first); !open.isEmpty();) {
            for (String next : follow.getOrDefault(open.remove(open.size() - 1), Set.of())) {
                if (reached.add(next)) {
                    open.add(next);
                }
            }
        }
        Set<String> ending = new LinkedHashSet<>(last);
        boolean grew = true;
        while (grew) {
            grew = false;
            for (Map.Entry<String, Set<String>> entry : follow.entrySet()) {
                grew |= entry.getValue().stream().anyMatch(ending::contains) && ending.add(entry.getKey());
            }
        }
        for (String message : messages) {
            if (!reached.contains(message)) {
                problems.put("", "the message " + message + " can never come");
            } else if (!ending.contains(message)) {
                problems.put("", "from the message " + message + " there is no way to a last one");
            }
        }
    }

    /** What may come after any of these; {@code null} stands for the beginning. */
    Set<String> allowedAfter(Set<String> states) {
        if (states == null) {
            return first;
        }
        Set<String> next = new LinkedHashSet<>();
        states.forEach(state -> next.addAll(follow.getOrDefault(state, Set.of())));
        return next;
    }

    boolean mayEnd(Set<String> states) {
        return states.stream().anyMatch(last::contains);
    }
}

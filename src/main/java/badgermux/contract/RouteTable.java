package badgermux.contract;

import com.google.re2j.Matcher;
import com.google.re2j.Pattern;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A table of routes by path template, stored as a tree of path segments. A lookup tries literal segments first, then segments
 * with literal parts and parameters, then plain parameters. A concrete path is therefore preferred to a template, as OpenAPI
 * requires. The cost of a lookup grows with the length of the path, not with the number of routes.
 *
 * @param <T> the value of a route
 */
final class RouteTable<T> {
    /** How many segments a path may have. */
    static final int MAX_SEGMENTS = 64;

    /** A route and the values of its parameters, in the order in which the template names them. */
    record Match<T>(T route, List<String> parameterValues) { }

    /**
     * An edge of the tree for a segment with parameters.
     *
     * @param normalizedSegment the segment with the parameters' names left out
     * @param pattern           matches the segment; null if it consists of one parameter and nothing else
     */
    private record TemplateEdge<T>(String normalizedSegment, Pattern pattern, Node<T> child) {
        /** Whether one parameter stands for the whole segment. */
        boolean isWholeSegment() {
            return pattern == null;
        }
    }

    private static final class Node<T> {
        private final Map<String, Node<T>> literalChildren = new LinkedHashMap<>();
        private final List<TemplateEdge<T>> templateChildren = new ArrayList<>();
        private T route;
    }

    private final Node<T> root = new Node<>();
    private int size;

    /**
     * Adds a route for a path template and returns null. If there is a route for the same template already, returns it and
     * changes nothing; the names of its parameters may differ.
     */
    T put(String template, T route) {
        Node<T> node = root;
        for (String segment : template.substring(1).split("/", -1)) {
            node = segment.indexOf('{') < 0 ? node.literalChildren.computeIfAbsent(segment, literal -> new Node<>())
                : templateChild(node, segment);
        }
        T existing = node.route;
        if (existing == null) {
            node.route = route;
            size++;
        }
        return existing;
    }

    int size() {
        return size;
    }

    /** Returns the child for a segment with parameters, and adds it if necessary. */
    private static <T> Node<T> templateChild(Node<T> node, String segment) {
        String normalizedSegment = segment.replaceAll("\\{[^}]*}", "{}");
        for (TemplateEdge<T> edge : node.templateChildren) {
            if (edge.normalizedSegment.equals(normalizedSegment)) {
                return edge.child;
            }
        }
        StringBuilder pattern = new StringBuilder();
        for (String part : normalizedSegment.split("\\{}", -1)) {
            pattern.append(pattern.isEmpty() ? "" : "(.+?)").append(Pattern.quote(part));
            if (pattern.isEmpty()) {
                pattern.append("(?:)");
            }
        }
        TemplateEdge<T> newEdge = new TemplateEdge<>(normalizedSegment,
            normalizedSegment.equals("{}") ? null : Pattern.compile(pattern.toString(), Pattern.DOTALL), new Node<>());
        node.templateChildren.add(newEdge);
        // Edges with longer literal parts are more concrete and are tried first.
        node.templateChildren.sort(Comparator.comparingInt((TemplateEdge<T> candidate) -> -candidate.normalizedSegment.length()));
        return newEdge.child;
    }

    /** Returns the names of a template's parameters in their order. */
    static List<String> parameterNames(String template) {
        List<String> names = new ArrayList<>();
        for (int start = template.indexOf('{'); start >= 0; start = template.indexOf('{', start + 1)) {
            int end = template.indexOf('}', start);
            names.add(template.substring(start + 1, end < 0 ? template.length() : end));
        }
        return names;
    }

    /**
     * Returns the route of a path; null if there is none.
     *
     * @throws SyntaxException if the path has too many segments, or if a backend might interpret it as another path
     */
    Match<T> find(String path) throws SyntaxException {
        String[] rawSegments = path.substring(1).split("/", -1);
        if (rawSegments.length > MAX_SEGMENTS) {
            throw new SyntaxException(0, "the path has more than " + MAX_SEGMENTS + " segments");
        }
        String[] segments = new String[rawSegments.length];
        for (int i = 0; i < rawSegments.length; i++) {
            segments[i] = PercentEncoding.decode(rawSegments[i]);
            // A backend that normalizes such a path would serve another one than was validated.
            if (segments[i].equals(".") || segments[i].equals("..") || segments[i].indexOf('\0') >= 0) {
                throw new SyntaxException(0, "the path has a dot segment or a NUL");
            }
        }
        List<String> values = new ArrayList<>();
        T route = find(root, segments, 0, values);
        return route == null ? null : new Match<>(route, values);
    }

    /** Searches below a node, with backtracking; {@code values} receives the parameter values on the way to the route. */
    private T find(Node<T> node, String[] segments, int depth, List<String> values) {
        if (depth == segments.length) {
            return node.route;
        }
        Node<T> literal = node.literalChildren.get(segments[depth]);
        T found = literal == null ? null : find(literal, segments, depth + 1, values);
        int valueCountBefore = values.size();
        for (int i = 0; found == null && i < node.templateChildren.size(); i++) {
            TemplateEdge<T> edge = node.templateChildren.get(i);
            if (matchSegment(edge, segments[depth], values)) {
                found = find(edge.child, segments, depth + 1, values);
            }
            if (found == null) {
                values.subList(valueCountBefore, values.size()).clear();
            }
        }
        return found;
    }

    /** Matches a segment and adds the values of its parameters. A parameter never matches empty text. */
    private static <T> boolean matchSegment(TemplateEdge<T> edge, String segment, List<String> values) {
        if (edge.isWholeSegment()) {
            values.add(segment);
            return !segment.isEmpty();
        }
        Matcher matcher = edge.pattern.matcher(segment);
        if (!matcher.matches()) {
            return false;
        }
        for (int group = 1; group <= matcher.groupCount(); group++) {
            values.add(matcher.group(group));
        }
        return true;
    }
}

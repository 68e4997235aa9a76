package badgermux.contract;

import com.google.re2j.Matcher;
import com.google.re2j.Pattern;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Path templates as a tree of segments. A look-up goes down literals before templates with literal parts before plain
 * parameters, so that a concrete path wins over a template as OpenAPI asks; its cost grows with the path, not with the
 * number of routes.
 *
 * @param <T> what a route leads to
 */
final class RouteTable<T> {
    /** How many segments a path may have. */
    static final int MAX_SEGMENTS = 64;

    /** A route and the values of its parameters, in the order in which the template names them. */
    record Match<T>(T route, List<String> parameterValues) { }

    /** A segment with parameters in it; {@code whole} where it is one parameter and nothing else. */
    private record TemplateEdge<T>(String normalizedSegment, Pattern pattern, Node<T> child) {
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

    /** Puts a route at a template; returns the one that stands there already, whose parameters may have other names. */
    T put(String template, T route) {
        Node<T> at = root;
        for (String segment : template.substring(1).split("/", -1)) {
            at = segment.indexOf('{') < 0 ? at.literalChildren.computeIfAbsent(segment, s -> new Node<>()) : templateChild(at, segment);
        }
        T known = at.route;
        if (known == null) {
            at.route = route;
            size++;
        }
        return known;
    }

    int size() {
        return size;
    }

    private static <T> Node<T> templateChild(Node<T> at, String segment) {
        String shape = segment.replaceAll("\\{[^}]*}", "{}");
        for (TemplateEdge<T> template : at.templateChildren) {
            if (template.normalizedSegment.equals(shape)) {
                return template.child;
            }
        }
        StringBuilder pattern = new StringBuilder();
        for (String part : shape.split("\\{}", -1)) {
            pattern.append(pattern.isEmpty() ? "" : "(.+?)").append(Pattern.quote(part));
            if (pattern.isEmpty()) {
                pattern.append("(?:)");
            }
        }
        TemplateEdge<T> made = new TemplateEdge<>(shape,
            shape.equals("{}") ? null : Pattern.compile(pattern.toString(), Pattern.DOTALL), new Node<>());
        at.templateChildren.add(made);
        // Among templates, the one with the longest literal part is the most concrete.
        at.templateChildren.sort(Comparator.comparingInt((TemplateEdge<T> t) -> -t.normalizedSegment.length()));
        return made.child;
    }

    /** The names of a template's parameters. */
    static List<String> parameterNames(String template) {
        List<String> names = new ArrayList<>();
        for (int open = template.indexOf('{'); open >= 0; open = template.indexOf('{', open + 1)) {
            int close = template.indexOf('}', open);
            names.add(template.substring(open + 1, close < 0 ? template.length() : close));
        }
        return names;
    }

    /**
     * The route of a path; null where there is none.
     *
     * @throws SyntaxException for a path that readers may take for different ones
     */
    Match<T> find(String path) throws SyntaxException {
        String[] raw = path.substring(1).split("/", -1);
        if (raw.length > MAX_SEGMENTS) {
            throw new SyntaxException(0, "the path has more than " + MAX_SEGMENTS + " segments");
        }
        String[] segments = new String[raw.length];
        for (int i = 0; i < raw.length; i++) {
            segments[i] = PercentEncoding.decode(raw[i]);
            // Guards against a path that a backend takes for another one once it has tidied it up.
            if (segments[i].equals(".") || segments[i].equals("..") || segments[i].indexOf('\0') >= 0) {
                throw new SyntaxException(0, "the path has a dot segment or a NUL");
            }
        }
        List<String> values = new ArrayList<>();
        T route = find(root, segments, 0, values);
        return route == null ? null : new Match<>(route, values);
    }

    private T find(Node<T> at, String[] segments, int depth, List<String> values) {
        if (depth == segments.length) {
            return at.route;
        }
        Node<T> literal = at.literalChildren.get(segments[depth]);
        T found = literal == null ? null : find(literal, segments, depth + 1, values);
        int before = values.size();
        for (int i = 0; found == null && i < at.templateChildren.size(); i++) {
            TemplateEdge<T> template = at.templateChildren.get(i);
            if (matchSegment(template, segments[depth], values)) {
                found = find(template.child, segments, depth + 1, values);
            }
            if (found == null) {
                values.subList(before, values.size()).clear();
            }
        }
        return found;
    }

    /** A parameter is never empty: an empty segment is another path. */
    private static <T> boolean matchSegment(TemplateEdge<T> template, String segment, List<String> values) {
        if (template.isWholeSegment()) {
            values.add(segment);
            return !segment.isEmpty();
        }
        Matcher matcher = template.pattern.matcher(segment);
        if (!matcher.matches()) {
            return false;
        }
        for (int group = 1; group <= matcher.groupCount(); group++) {
            values.add(matcher.group(group));
        }
        return true;
    }
}

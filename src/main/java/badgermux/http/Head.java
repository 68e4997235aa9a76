package badgermux.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** A message's first line and its header lines. Text is ISO 8859-1, so that each char is a byte as it came. */
public final class Head {
    private record Line(String name, String value, String whole) { }

    private final String first;
    private final List<Line> lines = new ArrayList<>();

    private Head(String first) {
        this.first = first;
    }

    /** Reads a head without its closing empty line. */
    static Head parse(String text) throws BadMessage {
        String[] parts = text.split("\r\n", -1);
        Head head = new Head(parts[0]);
        for (int i = 1; i < parts.length; i++) {
            int colon = parts[i].indexOf(':');
            if (colon <= 0 || !isToken(parts[i].substring(0, colon))) {
                throw new BadMessage(400, "malformed header line");
            }
            head.lines.add(new Line(parts[i].substring(0, colon), parts[i].substring(colon + 1).strip(), parts[i]));
        }
        return head;
    }

    private static boolean isToken(String name) {
        return name.chars().allMatch(c -> c > ' ' && c < 127 && "()<>@,;:\\\"/[]?={}".indexOf(c) < 0);
    }

    public String first() {
        return first;
    }

    /** The value of a header; null where it is absent. */
    public String get(String name) {
        for (Line line : lines) {
            if (line.name.equalsIgnoreCase(name)) {
                return line.value;
            }
        }
        return null;
    }

    /** All values of a header, in their order. */
    public List<String> all(String name) {
        List<String> values = List.of();
        for (Line line : lines) {
            if (line.name.equalsIgnoreCase(name)) {
                if (values.isEmpty()) {
                    values = List.of(line.value);
                } else {
                    values = new ArrayList<>(values);
                    values.add(line.value);
                }
            }
        }
        return values;
    }

    /** Whether a header's comma-separated value holds a word. */
    public boolean has(String name, String word) {
        for (String value : all(name)) {
            for (String item : value.split(",")) {
                if (item.strip().equalsIgnoreCase(word)) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Appends the header lines as they came, but for those named (in lower case). */
    public void copyLines(StringBuilder to, Set<String> except) {
        for (Line line : lines) {
            if (!except.contains(line.name.toLowerCase(Locale.ROOT))) {
                to.append(line.whole).append("\r\n");
            }
        }
    }

    /** The words of a request line: method, target, version. */
    public String[] requestLine() throws BadMessage {
        String[] words = first.split(" ", -1);
        boolean version = words.length == 3 && words[2].equals("HTTP/1.1");
        boolean visible = words.length > 1 && words[1].chars().allMatch(c -> c > ' ' && c != 127);
        if (!version || !visible || !isToken(words[0]) || words[0].isEmpty() || words[1].isEmpty()) {
            throw new BadMessage(400, "malformed request line");
        }
        return words;
    }

    /** The status of a response line. */
    public int status() throws BadMessage {
        if (!first.matches("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?")) {
            throw new BadMessage(502, "malformed status line");
        }
        return Integer.parseInt(first.substring(9, 12));
    }

    /** Whether the connection stays open after this message. */
    public boolean keepsAlive() {
        boolean old = first.startsWith("HTTP/1.0") || first.endsWith("HTTP/1.0");
        return !has("Connection", "close") && (!old || has("Connection", "keep-alive"));
    }
}

package badgermux.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Pattern;

/** A message's first line and its header lines. Text is ISO 8859-1, so that each char is a byte as it came. */
public final class MessageHead {
    private record HeaderLine(String name, String value, String text) { }

    private static final String CRLF = "\r\n";
    /** Compiled once: a process that has just started interprets all its code, and compiling a pattern is a lot of it. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?");
    private static final String DELIMITERS = "()<>@,;:\\\"/[]?={}";

    private final String startLine;
    private final List<HeaderLine> lines = new ArrayList<>();

    private MessageHead(String first) {
        this.startLine = first;
    }

    /** Reads a head without its closing empty line. */
    static MessageHead parse(String text) throws InvalidMessageException {
        int end = lineEnd(text, 0);
        MessageHead head = new MessageHead(text.substring(0, end));
        while (end < text.length()) {
            int start = end + CRLF.length();
            end = lineEnd(text, start);
            head.addLine(text.substring(start, end));
        }
        return head;
    }

    /** Where the line that starts there ends: at its line end, or at the end of the text. */
    private static int lineEnd(String text, int start) {
        int end = text.indexOf(CRLF, start);
        return end < 0 ? text.length() : end;
    }

    private void addLine(String line) throws InvalidMessageException {
        int colon = line.indexOf(':');
        if (colon <= 0 || !isToken(line.substring(0, colon))) {
            throw new InvalidMessageException(400, "malformed header line");
        }
        lines.add(new HeaderLine(line.substring(0, colon), line.substring(colon + 1).strip(), line));
    }

    private static boolean isToken(String name) {
        for (int i = 0; i < name.length(); i++) {
            char c = name.charAt(i);
            if (c <= ' ' || c >= 127 || DELIMITERS.indexOf(c) >= 0) {
                return false;
            }
        }
        return true;
    }

    public String startLine() {
        return startLine;
    }

    /** The value of a header; null where it is absent. */
    public String get(String name) {
        for (HeaderLine line : lines) {
            if (line.name.equalsIgnoreCase(name)) {
                return line.value;
            }
        }
        return null;
    }

    /** All values of a header, in their order. */
    public List<String> values(String name) {
        List<String> values = List.of();
        for (HeaderLine line : lines) {
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
    public boolean hasListItem(String name, String word) {
        for (String value : values(name)) {
            for (String item : value.split(",")) {
                if (item.strip().equalsIgnoreCase(word)) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Appends the header lines as they came, but for those named (in lower case). */
    public void appendHeaderLines(StringBuilder to, Set<String> except) {
        for (HeaderLine line : lines) {
            if (!except.contains(line.name.toLowerCase(Locale.ROOT))) {
                to.append(line.text).append("\r\n");
            }
        }
    }

    /** The words of a request line: method, target, version. */
    public String[] requestLine() throws InvalidMessageException {
        String[] words = startLine.split(" ", -1);
        boolean version = words.length == 3 && words[2].equals("HTTP/1.1");
        boolean visible = words.length > 1 && isVisibleText(words[1]);
        if (!version || !visible || !isToken(words[0]) || words[0].isEmpty() || words[1].isEmpty()) {
            throw new InvalidMessageException(400, "malformed request line");
        }
        return words;
    }

    private static boolean isVisibleText(String target) {
        for (int i = 0; i < target.length(); i++) {
            if (target.charAt(i) <= ' ' || target.charAt(i) == 127) {
                return false;
            }
        }
        return true;
    }

    /** The status of a response line. */
    public int status() throws InvalidMessageException {
        if (!STATUS_LINE.matcher(startLine).matches()) {
            throw new InvalidMessageException(502, "malformed status line");
        }
        return Integer.parseInt(startLine.substring(9, 12));
    }

    /** Whether the connection stays open after this message. */
    public boolean isKeepAlive() {
        boolean old = startLine.startsWith("HTTP/1.0") || startLine.endsWith("HTTP/1.0");
        return !hasListItem("Connection", "close") && (!old || hasListItem("Connection", "keep-alive"));
    }
}

package badgermux.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Pattern;

/** The start line and the header lines of a message. The text is decoded as ISO 8859-1, so each char is one byte. */
public final class MessageHead {
    /** A header line; {@code text} is the line as received. */
    private record HeaderLine(String name, String value, String text) { }

    private static final String CRLF = "\r\n";
    /** Compiled once, as a process that has just started interprets its code and compiles a pattern slowly. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?");
    /** Characters that a token may not contain (RFC 9110, 5.6.2). */
    private static final String DELIMITERS = "()<>@,;:\\\"/[]?={}";

    private final String startLine;
    private final int size;
    private final List<HeaderLine> lines = new ArrayList<>();

    private MessageHead(String startLine, int size) {
        this.startLine = startLine;
        this.size = size;
    }

    /**
     * Parses a head without the empty line at its end. The start line is checked by {@link #requestLine} or {@link #status}.
     *
     * @throws InvalidMessageException with status 400 if a header line is malformed
     */
    static MessageHead parse(String text) throws InvalidMessageException {
        int end = lineEnd(text, 0);
        MessageHead head = new MessageHead(text.substring(0, end), text.length());
        while (end < text.length()) {
            int start = end + CRLF.length();
            end = lineEnd(text, start);
            head.addLine(text.substring(start, end));
        }
        return head;
    }

    /** Returns where the line that starts at an index ends: before the next CRLF, or at the end of the text. */
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

    /** Returns the length of the head in bytes, without the empty line at its end. */
    public int size() {
        return size;
    }

    /** Returns the request line or the status line. */
    public String startLine() {
        return startLine;
    }

    /** Returns the first value of a header; null if it is absent. */
    public String get(String name) {
        for (HeaderLine line : lines) {
            if (line.name.equalsIgnoreCase(name)) {
                return line.value;
            }
        }
        return null;
    }

    /** Returns all values of a header in their order; an empty list if it is absent. */
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

    /** Whether a comma-separated header contains an item, ignoring case. */
    public boolean hasListItem(String name, String expectedItem) {
        for (String value : values(name)) {
            for (String item : value.split(",")) {
                if (item.strip().equalsIgnoreCase(expectedItem)) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Appends the header lines as received, except those with the given names (in lower case). */
    public void appendHeaderLines(StringBuilder target, Set<String> excludedNames) {
        for (HeaderLine line : lines) {
            if (!excludedNames.contains(line.name.toLowerCase(Locale.ROOT))) {
                target.append(line.text).append("\r\n");
            }
        }
    }

    /**
     * Parses the request line into method, target and version.
     *
     * @throws InvalidMessageException with status 400 if it is malformed or the version is not HTTP/1.1
     */
    public String[] requestLine() throws InvalidMessageException {
        String[] words = startLine.split(" ", -1);
        boolean hasVersion = words.length == 3 && words[2].equals("HTTP/1.1");
        boolean hasVisibleTarget = words.length > 1 && isVisibleText(words[1]);
        if (!hasVersion || !hasVisibleTarget || !isToken(words[0]) || words[0].isEmpty() || words[1].isEmpty()) {
            throw new InvalidMessageException(400, "malformed request line");
        }
        return words;
    }

    /** Whether a target has neither blanks nor control characters. */
    private static boolean isVisibleText(String target) {
        for (int i = 0; i < target.length(); i++) {
            if (target.charAt(i) <= ' ' || target.charAt(i) == 127) {
                return false;
            }
        }
        return true;
    }

    /**
     * Parses the status of a status line.
     *
     * @throws InvalidMessageException with status 502 if the line is malformed
     */
    public int status() throws InvalidMessageException {
        if (!STATUS_LINE.matcher(startLine).matches()) {
            throw new InvalidMessageException(502, "malformed status line");
        }
        return Integer.parseInt(startLine.substring(9, 12));
    }

    /** Whether the connection stays open after this message. */
    public boolean isKeepAlive() {
        boolean isHttp10 = startLine.startsWith("HTTP/1.0") || startLine.endsWith("HTTP/1.0");
        return !hasListItem("Connection", "close") && (!isHttp10 || hasListItem("Connection", "keep-alive"));
    }
}

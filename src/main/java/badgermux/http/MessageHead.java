package badgermux.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * The start line and the header lines of a message. The text is decoded as ISO 8859-1, so each char is one byte. It is kept as
 * one string and searched with each call: objects for each line would take many times the memory of short ones.
 */
public final class MessageHead {
    private static final String CRLF = "\r\n";
    /** Compiled once, as a process that has just started interprets its code and compiles a pattern slowly. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?");
    /** Characters that a token may not contain (RFC 9110, 5.6.2). */
    private static final String DELIMITERS = "()<>@,;:\\\"/[]?={}";

    /** All lines without the end of the last one. */
    private final String text;
    private final String startLine;

    private MessageHead(String text) {
        this.text = text;
        startLine = text.substring(0, lineEnd(0));
    }

    /**
     * Parses a head without the empty line at its end. The start line is checked by {@link #requestLine} or {@link #status}.
     *
     * @throws InvalidMessageException with status 400 if a header line is malformed
     */
    static MessageHead parse(String text) throws InvalidMessageException {
        MessageHead head = new MessageHead(text);
        // A line may be empty, also the last one: it is malformed.
        for (int start = head.firstHeaderLine(); start <= text.length(); start = head.nextLine(start)) {
            int colon = text.indexOf(':', start);
            if (colon <= start || colon > head.lineEnd(start) || !isToken(text, start, colon)) {
                throw new InvalidMessageException(400, "malformed header line");
            }
        }
        return head;
    }

    /** Returns the index at which the first header line starts; the length of the text or more if there is none. */
    private int firstHeaderLine() {
        return startLine.length() + CRLF.length();
    }

    /** Returns the index at which the line behind the one at {@code start} starts; more than the text's length after the last. */
    private int nextLine(int start) {
        return lineEnd(start) + CRLF.length();
    }

    /** Returns where the line that starts at an index ends: before the next CRLF, or at the end of the text. */
    private int lineEnd(int start) {
        int end = text.indexOf(CRLF, start);
        return end < 0 ? text.length() : end;
    }

    /** Whether the part of a text from {@code start} to {@code end} has no character that a token may not contain. */
    private static boolean isToken(String text, int start, int end) {
        for (int i = start; i < end; i++) {
            char c = text.charAt(i);
            if (c <= ' ' || c >= 127 || DELIMITERS.indexOf(c) >= 0) {
                return false;
            }
        }
        return true;
    }

    /** Returns the length of the head in bytes, without the empty line at its end. */
    public int size() {
        return text.length();
    }

    /** Returns the request line or the status line. */
    public String startLine() {
        return startLine;
    }

    /** Returns the first value of a header; null if it is absent. */
    public String get(String name) {
        int start = findLine(name, firstHeaderLine());
        return start < 0 ? null : value(name, start);
    }

    /** Returns all values of a header in their order; an empty list if it is absent. */
    public List<String> values(String name) {
        int start = findLine(name, firstHeaderLine());
        if (start < 0) {
            return List.of();
        }
        List<String> values = new ArrayList<>(1);
        while (start >= 0) {
            values.add(value(name, start));
            start = findLine(name, nextLine(start));
        }
        return values;
    }

    /** Returns the start of the next line of a header, from the line at {@code start} on; -1 if there is none. */
    private int findLine(String name, int start) {
        for (int line = start; line < text.length(); line = nextLine(line)) {
            int colon = line + name.length();
            if (text.regionMatches(true, line, name, 0, name.length()) && colon < text.length() && text.charAt(colon) == ':') {
                return line;
            }
        }
        return -1;
    }

    /** Returns the value of the header line at {@code start}. */
    private String value(String name, int start) {
        return text.substring(start + name.length() + 1, lineEnd(start)).strip();
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
        for (int start = firstHeaderLine(); start < text.length(); start = nextLine(start)) {
            String name = text.substring(start, text.indexOf(':', start));
            if (!excludedNames.contains(name.toLowerCase(Locale.ROOT))) {
                target.append(text, start, lineEnd(start)).append(CRLF);
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
        if (!hasVersion || !hasVisibleTarget || !isToken(words[0], 0, words[0].length()) || words[0].isEmpty() || words[1].isEmpty()) {
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

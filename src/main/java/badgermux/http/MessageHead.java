package badgermux.http;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * The start line and the header lines of a message. The text is decoded as ISO 8859-1, so each char is one byte. It is kept as
 * one string with the positions of its lines: objects for each line would take many times the memory of short ones.
 */
public final class MessageHead {
    private static final String CRLF = "\r\n";
    /** Compiled once, as a process that has just started interprets its code and compiles a pattern slowly. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?");
    /** Characters that a token may not contain (RFC 9110, 5.6.2). */
    private static final String DELIMITERS = "()<>@,;:\\\"/[]?={}";
    /** Initial capacity of the positions: most heads have fewer header lines. */
    private static final int INITIAL_LINES = 16;
    /** A position is kept as a char. */
    private static final int MAX_LENGTH = Character.MAX_VALUE;

    /** All lines without the end of the last one. */
    private final String text;
    private final String startLine;
    /** Where each header line starts. */
    private char[] lineStarts = new char[INITIAL_LINES];
    /** The length of the name in each header line. */
    private char[] nameLengths = new char[INITIAL_LINES];
    private int lineCount;

    private MessageHead(String text) throws InvalidMessageException {
        this.text = text;
        int start = lineEnd(text, 0);
        startLine = text.substring(0, start);
        while (start < text.length()) {
            start += CRLF.length();
            int end = lineEnd(text, start);
            addLine(start, end);
            start = end;
        }
    }

    /**
     * Parses a head without the empty line at its end. The start line is checked by {@link #requestLine} or {@link #status}.
     *
     * @throws InvalidMessageException with status 400 if a header line is malformed, and with 431 if the head is longer than
     *                                 64 KiB
     */
    static MessageHead parse(String text) throws InvalidMessageException {
        if (text.length() > MAX_LENGTH) {
            throw new InvalidMessageException(431, "head too long");
        }
        return new MessageHead(text);
    }

    /** Returns where the line that starts at an index ends: before the next CRLF, or at the end of the text. */
    private static int lineEnd(String text, int start) {
        int end = text.indexOf(CRLF, start);
        return end < 0 ? text.length() : end;
    }

    private void addLine(int start, int end) throws InvalidMessageException {
        int colon = text.indexOf(':', start);
        if (colon <= start || colon >= end || !isToken(text, start, colon)) {
            throw new InvalidMessageException(400, "malformed header line");
        }
        if (lineCount == lineStarts.length) {
            lineStarts = Arrays.copyOf(lineStarts, 2 * lineCount);
            nameLengths = Arrays.copyOf(nameLengths, 2 * lineCount);
        }
        lineStarts[lineCount] = (char) start;
        nameLengths[lineCount] = (char) (colon - start);
        lineCount++;
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

    /** Returns how many bytes the head takes in memory. */
    public int heldBytes() {
        return text.length() + startLine.length() + Character.BYTES * (lineStarts.length + nameLengths.length);
    }

    /** Returns the request line or the status line. */
    public String startLine() {
        return startLine;
    }

    /** Returns the first value of a header; null if it is absent. */
    public String get(String name) {
        int line = findLine(name, 0);
        return line < 0 ? null : value(line);
    }

    /** Returns all values of a header in their order; an empty list if it is absent. */
    public List<String> values(String name) {
        int line = findLine(name, 0);
        if (line < 0) {
            return List.of();
        }
        List<String> values = new ArrayList<>(1);
        while (line >= 0) {
            values.add(value(line));
            line = findLine(name, line + 1);
        }
        return values;
    }

    /** Whether a header stands there more than once. */
    public boolean isRepeated(String name) {
        int line = findLine(name, 0);
        return line >= 0 && findLine(name, line + 1) >= 0;
    }

    /** Returns the index of the first header line with a name, from a line on; -1 if there is none. */
    private int findLine(String name, int firstLine) {
        for (int line = firstLine; line < lineCount; line++) {
            if (nameLengths[line] == name.length() && text.regionMatches(true, lineStarts[line], name, 0, name.length())) {
                return line;
            }
        }
        return -1;
    }

    private int endOf(int line) {
        return line + 1 < lineCount ? lineStarts[line + 1] - CRLF.length() : text.length();
    }

    private String value(int line) {
        return text.substring(lineStarts[line] + nameLengths[line] + 1, endOf(line)).strip();
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
        for (int line = 0; line < lineCount; line++) {
            String name = text.substring(lineStarts[line], lineStarts[line] + nameLengths[line]);
            if (!excludedNames.contains(name.toLowerCase(Locale.ROOT))) {
                target.append(text, lineStarts[line], endOf(line)).append(CRLF);
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

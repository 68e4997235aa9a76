package badgermux.capacity;

import java.util.Map;

/** The capacity page: text written by hand, with generated tables between pairs of HTML comments as markers. */
public final class CapacityPage {
    private CapacityPage() { }

    /**
     * Returns the page's text with the given tables between the markers of their names.
     *
     * @throws IllegalArgumentException if the page lacks the markers of a table
     */
    public static String replaceTables(String page, Map<String, String> tables) {
        String text = page;
        for (Map.Entry<String, String> table : tables.entrySet()) {
            text = replaceTable(text, table.getKey(), table.getValue());
        }
        return text;
    }

    private static String replaceTable(String text, String name, String table) {
        String from = "<!-- table " + name + " -->\n", to = "<!-- end " + name + " -->\n";
        int start = text.indexOf(from), end = text.indexOf(to);
        if (start < 0 || end < start) {
            throw new IllegalArgumentException("the page lacks the markers of table " + name);
        }
        return text.substring(0, start + from.length()) + "\n" + table + "\n" + text.substring(end);
    }
}

package badgermux.capacity;

import java.util.Map;

/** The capacity page: text by hand, and between markers the tables that the program prints. */
public final class CapacityPage {
    private CapacityPage() { }

    /** The page's text with these tables between their markers; an exception that names a marker that it lacks. */
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
            throw new IllegalArgumentException("the page has no place for the table " + name);
        }
        return text.substring(0, start + from.length()) + "\n" + table + "\n" + text.substring(end);
    }
}

package badgermux.capacity;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Generates the tables of the capacity page from the measured slopes and the target. Prints them, or with
 * {@code --write} puts them into the page, or with {@code --check} compares the page with them.
 */
@Command(name = "capacity-tables", mixinStandardHelpOptions = true,
    description = "Generates the capacity page's tables from the measured slopes and the target.")
public final class CapacityTables implements Callable<Integer> {
    /** Exit status where the page's tables differ from the generated ones. */
    private static final int EXIT_PAGE_DIFFERS = 1;

    @Option(names = "--slopes", defaultValue = "docs/capacity/slopes.json",
        description = "File of measured slopes (${DEFAULT-VALUE}).")
    private Path slopesFile;

    @Option(names = "--target", defaultValue = "docs/capacity/target.json",
        description = "File of the target (${DEFAULT-VALUE}).")
    private Path targetFile;

    @Option(names = "--page", defaultValue = "docs/CAPACITY.md", description = "The capacity page (${DEFAULT-VALUE}).")
    private Path pageFile;

    @Option(names = "--write", description = "Write the tables into the page.")
    private boolean write;

    @Option(names = "--check", description = "Exit with status 1 if the page's tables differ.")
    private boolean check;

    public static void main(String[] args) {
        System.exit(new CommandLine(new CapacityTables()).execute(args));
    }

    @Override public Integer call() throws Exception {
        Map<String, String> tables = new Tables(Slopes.read(slopesFile), Target.read(targetFile)).renderAll();
        if (!write && !check) {
            tables.forEach((name, table) -> System.out.println("## " + name + "\n\n" + table));
            return 0;
        }
        String before = Files.readString(pageFile);
        String after = CapacityPage.replaceTables(before, tables);
        if (write) {
            Files.writeString(pageFile, after);
        }
        return check && !before.equals(after) ? EXIT_PAGE_DIFFERS : 0;
    }
}

package badgermux.capacity;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Prints the tables of the capacity page from measured slopes and the target, or writes or checks the page. */
@Command(name = "capacity-tables", mixinStandardHelpOptions = true,
    description = "Works out the capacity page's tables from measured slopes and the target.")
public final class CapacityTables implements Callable<Integer> {
    private static final int DIFFERS = 1;

    @Option(names = "--slopes", defaultValue = "docs/capacity/slopes.json", description = "Measured slopes (${DEFAULT-VALUE}).")
    private Path slopes;

    @Option(names = "--target", defaultValue = "docs/capacity/target.json", description = "The target (${DEFAULT-VALUE}).")
    private Path target;

    @Option(names = "--page", defaultValue = "docs/CAPACITY.md", description = "The page (${DEFAULT-VALUE}).")
    private Path page;

    @Option(names = "--write", description = "Write the tables into the page.")
    private boolean write;

    @Option(names = "--check", description = "End with status 1 where the page's tables differ.")
    private boolean check;

    public static void main(String[] args) {
        System.exit(new CommandLine(new CapacityTables()).execute(args));
    }

    @Override public Integer call() throws Exception {
        Map<String, String> tables = new Tables(Slopes.read(slopes), Target.read(target)).all();
        if (!write && !check) {
            tables.forEach((name, table) -> System.out.println("## " + name + "\n\n" + table));
            return 0;
        }
        String before = Files.readString(page);
        String after = Page.with(before, tables);
        if (write) {
            Files.writeString(page, after);
        }
        return check && !before.equals(after) ? DIFFERS : 0;
    }
}

package badgermux.scale;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** The command line of a scale run. Exit status: 0 passed, 1 faults found, 2 invalid options, 3 timeout. */
@Command(name = "scale", mixinStandardHelpOptions = true, sortOptions = false,
    description = "Runs hollow dispatchers and backends beside real dispatchers, and measures their cost.")
public final class ScaleCommand implements Callable<Integer> {
    private static final int EXIT_FAULT_FOUND = 1;
    private static final int EXIT_TIMEOUT = 3;
    /** Time beyond the planned length of a run after which the process exits. */
    private static final long EXTRA_SECONDS = 900;

    @Mixin private ScaleOptions options;
    @Option(names = "--json", paramLabel = "FILE", description = "file for the result as JSON, instead of standard output")
    private Path json;
    @Option(names = "--plot", paramLabel = "FILE.svg", description = "file for a plot of the traffic")
    private Path plot;
    private final String command;

    private ScaleCommand(String command) {
        this.command = command;
    }

    public static void main(String[] args) {
        CommandLine line = new CommandLine(new ScaleCommand(String.join(" ", args)));
        line.registerConverter(ScaleOptions.Scenario.class,
            name -> ScaleOptions.Scenario.valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_')));
        int status = line.execute(args);
        System.exit(status);
    }

    @Override public Integer call() throws Exception {
        startWatchdog();
        ScaleRun run = new ScaleRun(options, System.err);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> close(run), "close"));
        ScaleResult result = run.run(command, commit());
        if (json != null) {
            Files.writeString(json, result.json() + "\n");
        } else {
            System.out.println(result.json());
        }
        if (plot != null) {
            ScalePlot.write(result, plot);
        }
        System.err.println(result.passed() ? "passed" : "faults: " + result.faults());
        return result.passed() ? 0 : EXIT_FAULT_FOUND;
    }

    private static void close(ScaleRun run) {
        try {
            run.close();
        } catch (IOException e) {
            System.err.println("scale: " + e.getMessage());
        }
    }

    /** Exits the process if the run hangs. */
    private void startWatchdog() {
        long limit = options.warmUp + options.seconds + 4 * options.giveUpMs() / 1_000 + EXTRA_SECONDS;
        Thread watchdog = new Thread(() -> {
            try {
                TimeUnit.SECONDS.sleep(limit);
                System.err.println("scale: timed out after " + limit + " s");
                System.exit(EXIT_TIMEOUT);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "watchdog");
        watchdog.setDaemon(true);
        watchdog.start();
    }

    /** Returns the abbreviated hash of the checked-out commit, or "unknown". */
    private static String commit() throws IOException, InterruptedException {
        Process git = new ProcessBuilder("git", "rev-parse", "--short", "HEAD").redirectError(ProcessBuilder.Redirect.DISCARD)
            .start();
        String commit = new String(git.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
        return git.waitFor() == 0 ? commit : "unknown";
    }
}

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

/** The command line of a scale run. Exit status: 0 passed, 1 a fault was found, 2 bad options, 3 it took far too long. */
@Command(name = "scale", mixinStandardHelpOptions = true, sortOptions = false,
    description = "Runs hollow dispatchers and workers beside real dispatchers, and measures what it costs.")
public final class ScaleCommand implements Callable<Integer> {
    private static final int EXIT_FAULT_FOUND = 1, EXIT_TIMEOUT = 3;
    private static final long EXTRA_SECONDS = 900;

    @Mixin private ScaleOptions options;
    @Option(names = "--json", paramLabel = "FILE", description = "where the result goes")
    private Path json;
    @Option(names = "--plot", paramLabel = "FILE.svg", description = "where a plot goes")
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
        Runtime.getRuntime().addShutdownHook(new Thread(() -> close(run), "end"));
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

    /** Guards against a run that waits for what does not come. */
    private void startWatchdog() {
        long limit = options.warmUp + options.seconds + 4 * options.giveUpMs() / 1_000 + EXTRA_SECONDS;
        Thread guard = new Thread(() -> {
            try {
                TimeUnit.SECONDS.sleep(limit);
                System.err.println("scale: not over after " + limit + " s");
                System.exit(EXIT_TIMEOUT);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "guard");
        guard.setDaemon(true);
        guard.start();
    }

    private static String commit() throws IOException, InterruptedException {
        Process git = new ProcessBuilder("git", "rev-parse", "--short", "HEAD").redirectError(ProcessBuilder.Redirect.DISCARD)
            .start();
        String commit = new String(git.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
        return git.waitFor() == 0 ? commit : "unknown";
    }
}

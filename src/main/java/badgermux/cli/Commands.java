package badgermux.cli;

import badgermux.contract.DescriptionException;
import java.util.concurrent.Callable;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The whole command line. */
@Command(name = "badgermux", mixinStandardHelpOptions = true, versionProvider = Commands.VersionProvider.class,
    description = "A broker between the services of many teams.",
    subcommands = {Commands.Serve.class, Commands.Drill.class, ContractCommand.class, Commands.Completion.class})
public final class Commands implements Callable<Integer> {
    /** What {@code serve} may be told beside its environment; null where it is not told. */
    public record ServeOptions(String admin, String adminTokenFile, String snapshot) { }

    /** Starts the program; the exit status, or -1 where it goes on in threads of its own. */
    public interface Launcher {
        int serve(ServeOptions options) throws Exception;

        int drill() throws Exception;
    }

    private final Launcher launcher;

    @Spec private CommandSpec spec;

    private Commands(Launcher starter) {
        this.launcher = starter;
    }

    /** Runs a command line and returns its exit status; 2 for one that makes no sense. */
    public static int run(String[] arguments, Launcher starter) {
        return new CommandLine(new Commands(starter)).setExecutionExceptionHandler((e, line, result) -> {
            String why = e.getMessage() == null ? e.toString() : e.getMessage();
            line.getErr().println(e instanceof DescriptionException ? why : "badgermux: " + why);
            return 2;
        }).execute(arguments);
    }

    @Override public Integer call() {
        throw new ParameterException(spec.commandLine(), "a command is missing");
    }

    /** Its version, as the build has set it in the jar. */
    static final class VersionProvider implements CommandLine.IVersionProvider {
        @Override public String[] getVersion() {
            String version = Commands.class.getPackage().getImplementationVersion();
            return new String[] {"badgermux " + (version == null ? "(not from a jar)" : version)};
        }
    }

    @Command(name = "serve", mixinStandardHelpOptions = true, versionProvider = VersionProvider.class,
        description = "Serves as one dispatcher; GW_CONFIG names its configuration.")
    static final class Serve implements Callable<Integer> {
        @CommandLine.ParentCommand private Commands parent;

        @Option(names = "--admin", paramLabel = "HOST:PORT",
            description = "Where the admin API listens; off where it is not given.")
        private String admin;

        @Option(names = "--admin-token-file", paramLabel = "FILE",
            description = "Holds the bearer token of the admin API; needed for any address that is not loopback.")
        private String adminTokenFile;

        @Option(names = "--snapshot", paramLabel = "FILE",
            description = "Where what the admin API set is kept, and read at the start.")
        private String snapshot;

        @Override public Integer call() throws Exception {
            return parent.launcher.serve(new ServeOptions(admin, adminTokenFile, snapshot));
        }
    }

    @Command(name = "drill", mixinStandardHelpOptions = true, versionProvider = VersionProvider.class,
        description = "The decisions on the simulator's wire, on standard input and output.")
    static final class Drill implements Callable<Integer> {
        @CommandLine.ParentCommand private Commands parent;

        @Override public Integer call() throws Exception {
            return parent.launcher.drill();
        }
    }

    @Command(name = "completion", mixinStandardHelpOptions = true, versionProvider = VersionProvider.class,
        description = "Prints a completion script for bash and zsh.")
    static final class Completion implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Override public Integer call() {
            spec.commandLine().getOut().print(AutoComplete.bash("badgermux", spec.root().commandLine()));
            spec.commandLine().getOut().flush();
            return 0;
        }
    }
}

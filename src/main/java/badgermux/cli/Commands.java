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

/** The command line: its top-level command and all subcommands but {@code contract}. */
@Command(name = "badgermux", mixinStandardHelpOptions = true, versionProvider = Commands.VersionProvider.class,
    description = "A request dispatcher between the services of many teams.",
    subcommands = {Commands.Serve.class, Commands.Drill.class, ContractCommand.class, Commands.Completion.class})
public final class Commands implements Callable<Integer> {
    /** The options of {@code serve}; null for those not given. */
    public record ServeOptions(String admin, String adminTokenFile, String snapshot) { }

    /** Runs the commands that are not implemented here. Methods return the exit status. */
    public interface Launcher {
        /** Runs a dispatcher until SIGTERM. */
        int serve(ServeOptions options) throws Exception;

        /** Runs the decision module for the simulator. */
        int drill() throws Exception;
    }

    private final Launcher launcher;

    @Spec private CommandSpec spec;

    private Commands(Launcher starter) {
        this.launcher = starter;
    }

    /** Runs a command line and returns its exit status; 2 if it is invalid or the command fails with an exception. */
    public static int run(String[] arguments, Launcher starter) {
        return new CommandLine(new Commands(starter)).setExecutionExceptionHandler((e, commandLine, result) -> {
            String message = e.getMessage() == null ? e.toString() : e.getMessage();
            commandLine.getErr().println(e instanceof DescriptionException ? message : "badgermux: " + message);
            return 2;
        }).execute(arguments);
    }

    @Override public Integer call() {
        throw new ParameterException(spec.commandLine(), "Missing required subcommand");
    }

    /** Reads the version that the build stores in the jar. */
    static final class VersionProvider implements CommandLine.IVersionProvider {
        @Override public String[] getVersion() {
            String version = Commands.class.getPackage().getImplementationVersion();
            return new String[] {"badgermux " + (version == null ? "(not from a jar)" : version)};
        }
    }

    @Command(name = "serve", mixinStandardHelpOptions = true, versionProvider = VersionProvider.class,
        description = "Runs a dispatcher; GW_CONFIG names its configuration file.")
    static final class Serve implements Callable<Integer> {
        @CommandLine.ParentCommand private Commands parent;

        @Option(names = "--admin", paramLabel = "HOST:PORT",
            description = "Address of the admin API, which is off by default.")
        private String admin;

        @Option(names = "--admin-token-file", paramLabel = "FILE",
            description = "File with the bearer token of the admin API; required unless its address is a loopback address.")
        private String adminTokenFile;

        @Option(names = "--snapshot", paramLabel = "FILE",
            description = "File that stores what is set through the admin API; read at startup.")
        private String snapshot;

        @Override public Integer call() throws Exception {
            return parent.launcher.serve(new ServeOptions(admin, adminTokenFile, snapshot));
        }
    }

    @Command(name = "drill", mixinStandardHelpOptions = true, versionProvider = VersionProvider.class,
        description = "Runs the decision module for the simulator, on standard input and output.")
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

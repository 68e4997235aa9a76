package badgermux;

import badgermux.cli.Commands;
import badgermux.config.ConfigException;

/**
 * Entry point of the program. {@code serve} and {@code drill} without options, as the platform runs them, are handled
 * here without the command-line library, because loading it would slow down the start.
 */
public final class Main {
    private Main() { }

    public static void main(String[] args) throws InterruptedException {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "drill" -> badgermux.sim.Main.main(new String[0]);
            case "serve" -> serve();
            default -> runCommandLine(args);
        }
    }

    private static void serve() throws InterruptedException {
        try {
            DispatcherProcess.run(System.getenv());
        } catch (ConfigException e) {
            System.err.println("badgermux: " + e.getMessage());
            System.exit(2);
        }
    }

    private static void runCommandLine(String[] args) {
        System.exit(Commands.run(args, new Commands.Launcher() {
            @Override public int serve(Commands.ServeOptions options) throws ConfigException, InterruptedException {
                DispatcherProcess.run(System.getenv(), options);
                return 0;
            }

            @Override public int drill() {
                badgermux.sim.Main.main(new String[0]);
                return 0;
            }
        }));
    }
}

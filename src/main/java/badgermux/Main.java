package badgermux;

import badgermux.config.ConfigException;

/** The two commands: {@code serve}, one real dispatcher, and {@code drill}, the decisions on the simulator's wire. */
public final class Main {
    private Main() { }

    public static void main(String[] args) throws InterruptedException {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "drill" -> badgermux.sim.Main.main(new String[0]);
            case "serve" -> serve();
            default -> exit("usage: badgermux serve | drill");
        }
    }

    private static void serve() throws InterruptedException {
        try {
            Server.run(System.getenv());
        } catch (ConfigException e) {
            exit(e.getMessage());
        }
    }

    private static void exit(String why) {
        System.err.println("badgermux: " + why);
        System.exit(2);
    }
}

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Eight clients send many commands at once and then fall silent: they read no answer. */
public final class Case6 {
    private static final int BAD_CLIENTS = 8;
    private static final int COMMANDS = 800;

    public static void main(String[] args) {
        Stand.main(args, Case6::run);
    }

    private static String run(Stand stand) throws Exception {
        List<Stand.Runner> runners = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            runners.add(stand.new Runner("s-" + i, i % 2 == 0 ? "hanoi" : "danang", i % 3 == 0 ? "old-4core" : "new-4core", 4,
                Stand.sound(5, 20_000)));
        }
        Stand.Dispatcher dispatcher =
            stand.new Dispatcher("n1", stand.new Discovery(runners), Stand.settings(2), false).awaitReady();
        GoodClients clients = new GoodClients(stand);
        long begin = stand.now();
        boolean isBad = !stand.trouble;
        for (long next = begin; next < begin + 40_000; next += 100) {
            Stand.sleep(next - stand.now());
            clients.call(dispatcher.port, "preview", 10_000, "b".repeat(500));
            if (!isBad && next >= begin + 3_000) {
                isBad = true;
                for (int i = 0; i < BAD_CLIENTS; i++) {
                    Stand.start(() -> sendAndFallSilent(stand, dispatcher.port));
                }
            }
        }
        List<Stand.Job> jobs = clients.await(15_000);
        stand.note("/healthz answers " + dispatcher.healthStatus(3_000) + ", the process is "
            + (dispatcher.process.isAlive() ? "there" : "gone"));
        long lost = jobs.stream().filter(Stand.Job::isLost).count();
        return lost == 0 ? null : lost + " of " + jobs.size() + " jobs of sound clients got no answer";
    }

    private static void sendAndFallSilent(Stand stand, int port) throws Exception {
        try (Socket socket = Stand.connect(port, 2_000)) {
            StringBuilder commands = new StringBuilder();
            for (int i = 0; i < COMMANDS; i++) {
                commands.append(Stand.request(Stand.nextId(), "preview", 10_000, "", ""));
            }
            socket.getOutputStream().write(commands.toString().getBytes());
            stand.note("a bad client has sent " + COMMANDS + " commands, " + commands.length() + " bytes, and reads nothing");
            Stand.sleep(120_000);
        }
    }
}

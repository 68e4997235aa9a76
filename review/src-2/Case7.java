import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Bad clients send a command that says Connection: close, then much more at once, and go after 3 s. */
public final class Case7 {
    private static final int BAD_CLIENTS = 320;
    private static final int SLOTS = 4;
    private static final int WAVES = 6;
    private static final int MORE_BYTES = 250_000;

    public static void main(String[] args) {
        Stand.main(args, Case7::run);
    }

    private static String run(Stand stand) throws Exception {
        List<Stand.Runner> runners = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            runners.add(stand.new Runner("s-" + i, i % 2 == 0 ? "hanoi" : "danang", i % 3 == 0 ? "old-4core" : "new-4core", SLOTS,
                (runner, request, out) -> Stand.sound(request.head.startsWith("POST /preview") ? 800 : 5_000, 2_000)
                    .handle(runner, request, out)));
        }
        Stand.Dispatcher dispatcher =
            stand.new Dispatcher("n1", stand.new Discovery(runners), Stand.settings(2), false).awaitReady();
        GoodClients clients = new GoodClients(stand);
        long begin = stand.now();
        boolean isBad = !stand.trouble;
        for (long next = begin; next < begin + 25_000; next += 100) {
            Stand.sleep(next - stand.now());
            clients.call(dispatcher.port, "preview", 10_000, "b".repeat(500));
            if (!isBad && next >= begin + 3_000) {
                isBad = true;
                stand.note(BAD_CLIENTS + " bad clients come at once, " + WAVES + " times, with " + MORE_BYTES
                    + " bytes behind their command");
                for (int i = 0; i < BAD_CLIENTS; i++) {
                    Stand.start(() -> {
                        for (int wave = 0; wave < WAVES; wave++) {
                            sendMuchAndGo(dispatcher.port);
                        }
                    });
                }
            }
        }
        List<Stand.Job> jobs = clients.await(15_000);
        stand.note("/healthz answers " + dispatcher.healthStatus(3_000) + ", the process is "
            + (dispatcher.process.isAlive() ? "there" : "gone"));
        long lost = jobs.stream().filter(Stand.Job::isLost).count();
        return lost == 0 ? null : lost + " of " + jobs.size() + " jobs of sound clients got no whole answer";
    }

    private static void sendMuchAndGo(int port) {
        try (Socket socket = Stand.connect(port, 2_000)) {
            socket.getOutputStream().write(Stand.request(Stand.nextId(), "epaper-page", 25_000, "Connection: close\r\n", "")
                .getBytes());
            Stand.sleep(20);
            socket.getOutputStream().write("x".repeat(MORE_BYTES).getBytes());
            Stand.sleep(3_000);
        } catch (Exception e) {
            Stand.sleep(100);       // turned away: comes again
        }
    }
}

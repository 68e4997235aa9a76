import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A client sends two commands at once while idle clients fill the descriptors, and goes; its second command is sent again. */
public final class Case10 {
    /** After a client's close, attempts may begin for 0.1 s; 50 ms on sockets, and 150 ms for a dispatcher that is held up. */
    private static final long GONE_LIMIT_MILLIS = 100 + 50 + 150;
    private static final int IDLE_CLIENTS = 420;
    private static final int ROUNDS = 16;

    public static void main(String[] args) {
        Stand.main(args, Case10::run);
    }

    private static String run(Stand stand) throws Exception {
        List<Stand.Runner> runners = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            runners.add(stand.new Runner("s-" + i, i % 2 == 0 ? "hanoi" : "danang", i % 3 == 0 ? "old-4core" : "new-4core", 4,
                (runner, request, out) -> handBack(stand, runner, request, out)));
        }
        Stand.Dispatcher dispatcher =
            stand.new Dispatcher("n1", stand.new Discovery(runners), Stand.settings(2), false).awaitReady();
        Stand.sleep(3_000);
        if (stand.trouble) {
            for (int i = 0; i < IDLE_CLIENTS; i++) {
                Stand.start(() -> {
                    while (true) {
                        try (Socket socket = Stand.connect(dispatcher.port, 2_000)) {
                            socket.getInputStream().read();     // says nothing, and comes again when it is closed
                        } catch (java.io.IOException e) {
                            // closed by the dispatcher, to make room
                        }
                        Stand.sleep(20);
                    }
                });
            }
            Stand.sleep(1_000);
        }
        List<String> broken = new CopyOnWriteArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            String first = Stand.nextId();
            String second = Stand.nextId();
            try (Socket socket = Stand.connect(dispatcher.port, 2_000)) {
                socket.getOutputStream().write((Stand.request(first, "preview", 150, "", "")
                    + Stand.request(second, "epaper-page", 25_000, "", "")).getBytes());
                Stand.sleep(150);
            }
            long closedAt = stand.now();
            Stand.sleep(1_000);
            List<String> runs = stand.runs.getOrDefault(second, List.of());
            stand.note("client " + round + ": commands " + first + " (timeout 150 ms) and " + second + ", gone at " + closedAt
                + "; attempts of the first " + stand.runs.getOrDefault(first, List.of()) + ", of the second " + runs);
            for (String run : runs) {
                long begunAt = Long.parseLong(run.substring(run.indexOf('@') + 1));
                if (begunAt > closedAt + GONE_LIMIT_MILLIS) {
                    broken.add(second + " at " + run + ", " + (begunAt - closedAt) + " ms after its client has gone");
                    stand.note("BROKEN " + broken.get(broken.size() - 1));
                }
            }
        }
        return broken.isEmpty() ? null : broken.size() + " attempts, the first: " + broken.get(0);
    }

    /** Takes a job and, the first time, hands it back unstarted after 0.6 s, as a runner does whose queue it must leave. */
    private static boolean handBack(Stand stand, Stand.Runner runner, Stand.Message request, OutputStream out) throws Exception {
        if (stand.runs.get(request.header("X-Request-ID")).size() > 1) {
            return Stand.sound(800, 2_000).handle(runner, request, out);
        }
        Stand.sleep(600);
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
        out.write(Stand.chunk(Stand.line(request, runner, "\"state\":\"returned\"")));
        out.write("0\r\n\r\n".getBytes());
        return true;
    }
}

package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Case: a dispatcher starts with an old list while discovery has too many callers; a runner has begun to drain meanwhile. */
final class CrowdedStart {
    /** Discovery's own limit for a call that waits for its turn (site file, discovery.timeout_ms). */
    private static final long QUEUE_LIMIT_MILLIS = 3000;
    /** How long discovery has too many callers, from the start of the dispatcher on. */
    private static final long CROWD_MILLIS = 9000;
    /** The runner began to drain this long before the dispatcher is started. */
    private static final long DRAINING_BEFORE_MILLIS = 7000;
    /** A change counts as told this long after discovery had it and could be reached, at the latest; 50 ms more on sockets. */
    private static final long TOLD_MILLIS = 6000 + 50;
    /** The grace of drains (site file, rules.drain_grace_ms), 50 ms on sockets, and 150 ms for a dispatcher that is held up. */
    private static final long GRACE_MILLIS = 400 + 50 + 150;
    private static final long TEST_MILLIS = 12_000;
    /** Runs of status-check: 560 to 1,100 ms on average. */
    private static final long RUN_MILLIS = 600;
    private static final int CLIENTS = 6;
    private static final int SLOTS = 4;

    private static final List<Double> BEGUN_AT_DRAINING = new ArrayList<>();
    private static final int[] RUNNING = new int[3];

    public static void main(String[] args) throws Exception {
        Trace.limitTime(Path.of(args[0]));
        int exit = 2;
        try {
            exit = run(Path.of(args[1]), !"0".equals(System.getenv("TROUBLE")));
        } catch (Exception e) {
            Trace.add("the case could not run: " + e);
            e.printStackTrace();
        }
        Trace.write(Path.of(args[0]));
        System.exit(exit);
    }

    private static int run(Path folder, boolean trouble) throws Exception {
        Discovery discovery = new Discovery();
        Runner[] runners = new Runner[RUNNING.length];
        for (int i = 0; i < runners.length; i++) {
            int number = i;
            runners[i] = new Runner("s-" + i, 0.2, (request, connection) -> work(number, request, connection));
            discovery.put("s-" + i, member(runners, i, "SERVING"));
        }
        String known = discovery.wholeList();
        Trace.add("discovery: s-0 begins to drain");
        discovery.put("s-0", member(runners, 0, "DRAINING"));
        Thread.sleep(DRAINING_BEFORE_MILLIS);
        if (trouble) {
            Trace.add("discovery: too many callers for " + CROWD_MILLIS + " ms");
            discovery.crowd(CROWD_MILLIS, QUEUE_LIMIT_MILLIS);
        }
        double start = Trace.now();
        Trace.add("the dispatcher is started with the list from before the drain");
        Dispatcher dispatcher = new Dispatcher(folder, "n0", discovery.address(), known, Settings.NAIROBI_NOMS, 1024, 192);
        dispatcher.awaitReady();
        Trace.add("the dispatcher is ready");
        int[] numbers = {0};
        for (int i = 0; i < CLIENTS; i++) {
            Listener.daemon(() -> client(dispatcher.port, numbers));
        }
        Thread.sleep(Math.max(0, (long) (start + TEST_MILLIS - Trace.now())));
        int late = 0;
        double told = start + TOLD_MILLIS;
        synchronized (BEGUN_AT_DRAINING) {
            for (double at : BEGUN_AT_DRAINING) {
                if (at > told + GRACE_MILLIS) {
                    late++;
                    Trace.add(String.format("BROKEN: new work at s-0 at %.1f ms, %.2f s after the drain counts as told at the latest",
                        at, (at - told) / 1000));
                }
            }
            Trace.add(late + " of " + BEGUN_AT_DRAINING.size() + " attempts at s-0 came after the grace");
        }
        System.out.println(late + " attempts at the draining runner after the grace");
        return late > 0 ? 1 : 0;
    }

    private static String member(Runner[] runners, int number, String phase) {
        return Discovery.member("s-" + number, runners[number].address(), "nbo-dc1", "std-4core", number, phase, 0);
    }

    private static void client(int port, int[] numbers) throws IOException, InterruptedException {
        while (true) {
            String id;
            synchronized (numbers) {
                id = Client.id(++numbers[0]);
            }
            try (Client client = new Client(port)) {
                client.send("status-check", id, 10_000, "", "noms");
                client.read(id);
            }
            Thread.sleep(50);
        }
    }

    /** A runner with four slots, which tells its load in its answers. */
    private static void work(int number, Http.Message request, Runner.Connection connection) throws InterruptedException {
        String name = "s-" + number;
        if (request.startLine().startsWith("GET ")) {
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        String id = request.header("X-Request-ID");
        Trace.add(name + ": begins " + id);
        if (number == 0) {
            synchronized (BEGUN_AT_DRAINING) {
                BEGUN_AT_DRAINING.add(Trace.now());
            }
        }
        synchronized (RUNNING) {
            RUNNING[number]++;
        }
        connection.write(Lines.HEAD + Lines.line(id, name, "started", ""));
        Thread.sleep(RUN_MILLIS);
        int free;
        synchronized (RUNNING) {
            free = SLOTS - --RUNNING[number];
        }
        connection.write(Lines.line(id, name, "done", ",\"result\":\"checked\",\"load\":{\"queue\":0,\"x0\":" + free + "}")
            + Lines.END);
    }
}

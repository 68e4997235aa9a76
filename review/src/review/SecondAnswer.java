package review;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Case: a runner that turns a job away gives that answer a second time, some milliseconds late. */
final class SecondAnswer {
    private static final int JOBS = 30;
    /** One job of this many finds the runners' queues full at first. */
    private static final int FULL_EVERY = 3;
    /** The network between two sites: 1.9 to 3.6 ms one way (site file, net.cross_ms). */
    private static final double NETWORK_MILLIS = 3.6;
    /** How much later than the first the second answer leaves the runner. */
    private static final long LATE_MILLIS = 5;
    private static final long RUN_MILLIS = 250;
    /** How long a client waits before it sends a refused job again (site file, clients.backoff_ms: 1.5 to 12). */
    private static final long CLIENT_BACKOFF_MILLIS = 12;

    /** How often each job was turned away and was begun, by its body. */
    private static final Map<String, Integer> TURNED_AWAY = new HashMap<>();
    private static final Map<String, Integer> BEGUN = new TreeMap<>();
    private static boolean trouble;

    public static void main(String[] args) throws Exception {
        trouble = !"0".equals(System.getenv("TROUBLE"));
        Trace.limitTime(Path.of(args[0]));
        int exit = 2;
        try {
            exit = run(Path.of(args[1]));
        } catch (Exception e) {
            Trace.add("the case could not run: " + e);
            e.printStackTrace();
        }
        Trace.write(Path.of(args[0]));
        System.exit(exit);
    }

    private static int run(Path folder) throws Exception {
        Runner[] runners = new Runner[2];
        Discovery discovery = new Discovery();
        for (int i = 0; i < runners.length; i++) {
            String name = "s-" + i;
            runners[i] = new Runner(name, NETWORK_MILLIS, (request, connection) -> work(name, request, connection));
            discovery.put(name, Discovery.member(name, runners[i].address(), "pasig", "std-7c", i, "SERVING", 0));
        }
        Dispatcher dispatcher = new Dispatcher(folder, "n0", discovery.address(), discovery.wholeList(),
            Settings.METRO_MANILA, 1024, 192);
        dispatcher.awaitReady();
        int broken = 0;
        for (int i = 1; i <= JOBS; i++) {
            String job = "job-" + i;
            synchronized (TURNED_AWAY) {
                TURNED_AWAY.put(job, i % FULL_EVERY == 0 ? 0 : 2);
            }
            boolean wasRefusedAfterStart = false;
            // Like the clients of the site: a refused job is sent again, after a wait, with a new id.
            for (int attempt = 0; attempt < 2; attempt++) {
                String id = Client.id(2 * i + attempt);
                Http.Message answer;
                try (Client client = new Client(dispatcher.port)) {
                    client.send("zone-redraw", id, 8000, attempt == 0 ? "" : "X-Retried: 1\r\n", job);
                    answer = client.read(id);
                }
                if (answer == null) {
                    Trace.add("the case could not run: no answer");
                    return 2;
                }
                if (answer.status() != 503 && answer.status() != 429) {
                    break;
                }
                Thread.sleep(CLIENT_BACKOFF_MILLIS);
                wasRefusedAfterStart |= begunCount(job) > 0;
            }
            Thread.sleep(2 * RUN_MILLIS);
            if (begunCount(job) > 1 || wasRefusedAfterStart) {
                broken++;
                Trace.add("BROKEN: " + job + " was begun " + begunCount(job) + " times"
                    + (wasRefusedAfterStart ? "; it was refused though a runner had it" : ""));
            }
        }
        Trace.add(broken + " of " + JOBS + " jobs broke the rule");
        System.out.println(broken + " of " + JOBS + " jobs broke the rule");
        return broken > 0 ? 1 : 0;
    }

    private static int begunCount(String job) {
        synchronized (TURNED_AWAY) {
            return BEGUN.getOrDefault(job, 0);
        }
    }

    /** The queue of a runner is full for the first two attempts of some jobs; all others are run. */
    private static void work(String name, Http.Message request, Runner.Connection connection) throws InterruptedException {
        String id = request.header("X-Request-ID");
        String job = new String(request.body());
        boolean isFull;
        synchronized (TURNED_AWAY) {
            isFull = TURNED_AWAY.get(job) < 2;
            TURNED_AWAY.merge(job, 1, Integer::sum);
            if (!isFull) {
                BEGUN.merge(job, 1, Integer::sum);
            }
        }
        if (isFull) {
            String answer = Lines.HEAD + Lines.line(id, name, "returned", ",\"load\":" + Lines.LOAD) + Lines.END;
            Trace.add(name + ": turns away " + id + " (" + job + ")");
            connection.write(answer);
            if (trouble) {
                Listener.daemon(() -> {
                    Thread.sleep(LATE_MILLIS);
                    Trace.add(name + ": gives that answer a second time, " + id);
                    connection.write(answer);
                });
            }
            return;
        }
        Trace.add(name + ": begins " + id + " (" + job + ")");
        connection.write(Lines.HEAD + Lines.line(id, name, "started", ""));
        Thread.sleep(RUN_MILLIS);
        Trace.add(name + ": ends " + id + " (" + job + ")");
        connection.write(Lines.line(id, name, "done", ",\"result\":\"redrawn\",\"load\":" + Lines.LOAD) + Lines.END);
    }
}

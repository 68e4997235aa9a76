package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Case: a crowd of idle connections comes in; jobs on new connections wait behind it. */
final class IdleCrowd {
    /** Limits of 512 descriptors cut by half. */
    private static final int SOCKETS = 256;
    private static final int IDLE_CONNECTIONS = 2000;
    /** The crowd comes evenly within this time. */
    private static final long CROWD_MILLIS = 500;
    private static final int JOBS = 20;
    private static final long JOB_INTERVAL_MILLIS = 50;
    /** The mean of the class is 580 to 1,100 ms. */
    private static final long RUN_MILLIS = 800;
    private static final long CLIENT_TIMEOUT_MILLIS = 2000;
    /** An answer up to half a second after its time is late and not lost; 50 ms on sockets, 150 ms for a dispatcher held up. */
    private static final long LATE_MILLIS = 500 + 50 + 150;
    private static final int RUNNERS = 6;
    private static final int SLOTS = 4;

    private static final int[] RUNNING = new int[RUNNERS];
    private static int lostCount;
    private static volatile boolean couldNotRun;

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
        for (int i = 0; i < RUNNERS; i++) {
            int number = i;
            Runner runner = new Runner("s-" + i, 0.2, (request, connection) -> work(number, request, connection));
            discovery.put("s-" + i, Discovery.member("s-" + i, runner.address(), "hanoi", "new-4core", i, "SERVING", 0));
        }
        Dispatcher dispatcher = new Dispatcher(folder, "n0", discovery.address(), discovery.wholeList(),
            Settings.PRESS_RENDER, SOCKETS, 192);
        dispatcher.awaitReady();
        for (int i = 1; i <= 5; i++) {      // a quiet start
            job(dispatcher.port, i);
        }
        if (lostCount > 0 || couldNotRun) {
            Trace.add("the case could not run: a job before the crowd was not answered in time");
            return 2;
        }
        if (trouble) {
            Listener.daemon(() -> {
                try {
                    crowd(dispatcher.port);
                } catch (IOException e) {
                    couldNotRun = true;
                    Trace.add("the case could not run: the crowd could not be opened: " + e.getMessage());
                }
            });
        }
        List<Thread> jobs = new ArrayList<>();
        for (int i = 1; i <= JOBS; i++) {
            Thread.sleep(JOB_INTERVAL_MILLIS);
            int number = 100 + i;
            jobs.add(Listener.daemon(() -> job(dispatcher.port, number)));
        }
        for (Thread thread : jobs) {
            thread.join();
        }
        if (!dispatcher.process.isAlive()) {
            Trace.add("BROKEN: the dispatcher has ended");
            lostCount++;
        }
        Trace.add(lostCount + " of " + JOBS + " jobs were lost");
        System.out.println(lostCount + " of " + JOBS + " jobs were lost");
        return couldNotRun ? 2 : lostCount > 0 ? 1 : 0;
    }

    /** One job on a new connection. Lost: sent whole on an accepted connection, and no answer by the end of the slack after its time. */
    private static void job(int port, int number) throws IOException {
        String id = Client.id(number);
        Client client;
        try {
            client = new Client(port);
        } catch (IOException e) {
            Trace.add("client: no connection for " + id + ", so the dispatcher has not taken it: " + e.getMessage());
            return;
        }
        try (client) {
            client.send("preview", id, CLIENT_TIMEOUT_MILLIS, "", "page");
            double sent = Trace.now();
            try {
                Http.Message answer = client.read(id, CLIENT_TIMEOUT_MILLIS + LATE_MILLIS);
                if (answer == null) {
                    Trace.add("client: " + id + " was shut unread; that is allowed while a crowd fills the descriptors");
                } else if (Trace.now() - sent > CLIENT_TIMEOUT_MILLIS + LATE_MILLIS) {
                    lost(id);
                }
            } catch (SocketTimeoutException e) {
                lost(id);
            } catch (IOException e) {
                Trace.add("client: the connection of " + id + " was reset; that is allowed while a crowd fills the descriptors");
            }
        }
    }

    private static synchronized void lost(String id) {
        lostCount++;
        Trace.add("BROKEN: " + id + " has no answer " + LATE_MILLIS + " ms after its time");
    }

    /** A runner with four slots. It tells its load when it is probed. */
    private static void work(int number, Http.Message request, Runner.Connection connection) throws InterruptedException {
        String name = "s-" + number;
        if (request.startLine().startsWith("GET ")) {
            int free;
            synchronized (RUNNING) {
                free = SLOTS - RUNNING[number];
            }
            String load = "TEXT x0=" + free + ", x1=" + free + ", latency_ms=" + RUN_MILLIS + ", qps=2.0";
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + load.length() + "\r\n\r\n" + load);
            return;
        }
        String id = request.header("X-Request-ID");
        Trace.add(name + ": begins " + id + ", X-Timeout " + request.header("X-Timeout"));
        synchronized (RUNNING) {
            RUNNING[number]++;
        }
        connection.write(Lines.HEAD + Lines.line(id, name, "started", ""));
        Thread.sleep(RUN_MILLIS);
        synchronized (RUNNING) {
            RUNNING[number]--;
        }
        Trace.add(name + ": ends " + id);
        connection.write(Lines.line(id, name, "done", ",\"result\":\"rendered\"") + Lines.END);
    }

    /** Clients that connect, say nothing, and close once the dispatcher has closed. */
    private static void crowd(int port) throws IOException, InterruptedException {
        Trace.add("crowd: " + IDLE_CONNECTIONS + " idle connections within " + CROWD_MILLIS + " ms");
        Selector selector = Selector.open();
        double start = Trace.now();
        int opened = 0;
        int closed = 0;
        boolean told = false;
        ByteBuffer buffer = ByteBuffer.allocate(4096);
        while (true) {
            int due = (int) Math.min(IDLE_CONNECTIONS, (Trace.now() - start) * IDLE_CONNECTIONS / CROWD_MILLIS);
            for (; opened < due; opened++) {
                SocketChannel channel = SocketChannel.open();
                channel.configureBlocking(false);
                boolean connected = channel.connect(new InetSocketAddress("127.0.0.1", port));
                channel.register(selector, connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT);
            }
            selector.select(5);
            for (SelectionKey key : selector.selectedKeys()) {
                SocketChannel channel = (SocketChannel) key.channel();
                try {
                    if (key.isConnectable() && channel.finishConnect()) {
                        key.interestOps(SelectionKey.OP_READ);
                    } else if (key.isReadable() && channel.read(buffer.clear()) < 0) {
                        channel.close();
                        closed++;
                    }
                } catch (IOException e) {
                    channel.close();
                    closed++;
                }
            }
            selector.selectedKeys().clear();
            if (!told && closed == IDLE_CONNECTIONS) {
                told = true;
                Trace.add("crowd: all have been closed");
            }
        }
    }
}

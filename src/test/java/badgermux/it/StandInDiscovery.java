package badgermux.it;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A discovery service that fails in a mode of the test's choice and then comes back. It keeps a ledger of the calls that it
 * got. What was called while it failed stays as it is when it comes back: nobody answers it.
 */
final class StandInDiscovery implements Closeable {
    /** How it fails. */
    enum Mode {
        /** It answers, and waits as long as it is asked to. */
        WELL,
        /** Nobody listens: connections are refused. */
        REFUSED,
        /** New connections never come up; open ones are reset. */
        UNREACHABLE,
        /** Each call is reset. */
        RESET,
        /** Each call is answered 503. */
        BUSY,
        /** Calls are taken, and nothing is answered. */
        SILENT,
        /** Half an answer, and no more. */
        HALF,
        /** An old answer that goes on coming, a byte at a time. */
        TRICKLE,
        /** A list that is no JSON. */
        MALFORMED,
        /** It has begun anew: the list it has is of an older revision. */
        OLDER
    }

    /** A call that it got. */
    record Entry(long nanos, Mode mode, long since, long waitMillis) { }

    private static final Pattern CALL = Pattern.compile("since=(\\d+)&timeout_ms=(\\d+) ");
    private static final int BACKLOG = 64;
    private static final int DEAD_CONNECTIONS = 8;
    private static final long BYTE_MILLIS = 20;

    private final int port;
    private final List<Entry> ledger = new ArrayList<>();
    private final List<Socket> open = new ArrayList<>();
    private final List<Socket> fillers = new ArrayList<>();
    private ServerSocket server;
    private Mode mode = Mode.WELL;
    private long revision = 1;
    private String members = "";
    private boolean complete;
    private int failures;
    private int refusals;
    private long refusalMillis;

    StandInDiscovery() throws IOException {
        listen(0, BACKLOG);
        port = server.getLocalPort();
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    private synchronized void listen(int at, int backlog) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), at), backlog);
        server = socket;
        if (mode != Mode.UNREACHABLE) {
            accept(socket);
        }
    }

    private void accept(ServerSocket socket) {
        thread(() -> {
            while (true) {
                Socket next = socket.accept();
                synchronized (this) {
                    open.add(next);
                }
                thread(() -> serve(next));
            }
        });
    }

    private interface Work {
        void run() throws IOException, InterruptedException;
    }

    private static void thread(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException | InterruptedException e) {
                // the test has closed it, or the program has
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Fails in this mode from here on; calls that wait for news get none any more. */
    synchronized void fail(Mode next) throws IOException {
        boolean down = server.isClosed();
        mode = next;
        failures++;
        notifyAll();
        if (next == Mode.REFUSED || next == Mode.UNREACHABLE) {
            server.close();
            for (Socket socket : open) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
            open.clear();
        }
        if (next == Mode.UNREACHABLE) {
            listen(port, 1);
            fillBacklog();
        } else if (down && next != Mode.REFUSED) {
            listen(port, BACKLOG);
        }
    }

    /** So many connections that nobody accepts that no other comes up. */
    private void fillBacklog() throws IOException {
        for (int i = 0; i < DEAD_CONNECTIONS; i++) {
            Socket filler = new Socket();
            fillers.add(filler);
            try {
                filler.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 50);
            } catch (IOException e) {
                return;     // it is full
            }
        }
        throw new IOException("connections still come up");
    }

    /** Can be reached again, with this list; returns when, in nanoseconds. */
    synchronized long comeBack(long newRevision, String newMembers, boolean whole) throws IOException {
        revision = newRevision;
        members = newMembers;
        complete = whole;
        Mode before = mode;
        mode = Mode.WELL;
        if (before == Mode.UNREACHABLE) {
            server.close();
            for (Socket filler : fillers) {
                filler.close();
            }
        }
        if (before == Mode.REFUSED || before == Mode.UNREACHABLE) {
            listen(port, BACKLOG);
        }
        notifyAll();
        return System.nanoTime();
    }

    /** Has so many more calls answered 503 once it is well, each after so long: it has too many callers. */
    synchronized void refuse(int calls, long afterMillis) {
        refusals = calls;
        refusalMillis = afterMillis;
    }

    /** How many calls it got in a mode. */
    synchronized long calls(Mode in) {
        return ledger.stream().filter(entry -> entry.mode == in).count();
    }

    /** When the caller was first seen to hold a revision, in nanoseconds since a moment; waits for it. */
    synchronized long millisUntilHeld(long heldRevision, long sinceNanos) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(2 * Peer.PATIENCE_S);
        while (true) {
            for (Entry entry : ledger) {
                if (entry.nanos >= sinceNanos && entry.since == heldRevision) {
                    return TimeUnit.NANOSECONDS.toMillis(entry.nanos - sinceNanos);
                }
            }
            long left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
            if (left <= 0) {
                throw new AssertionError("it never held revision " + heldRevision + ": " + ledger);
            }
            wait(left);
        }
    }

    /** Waits until so many calls have come in a mode. */
    synchronized void awaitCalls(Mode in, long count) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(2 * Peer.PATIENCE_S);
        while (calls(in) < count) {
            long left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
            if (left <= 0) {
                throw new AssertionError("not " + count + " calls in " + in + ": " + ledger);
            }
            wait(left);
        }
    }

    synchronized List<Entry> ledger() {
        return List.copyOf(ledger);
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        InputStream in = socket.getInputStream();
        for (String head = Client.head(in); head != null; head = Client.head(in)) {
            Matcher call = CALL.matcher(head);
            if (!call.find()) {
                throw new IOException("no watch: " + head);
            }
            Mode how = enter(Long.parseLong(call.group(1)), Long.parseLong(call.group(2)));
            answer(socket, how, Long.parseLong(call.group(1)), Long.parseLong(call.group(2)));
        }
    }

    private synchronized Mode enter(long since, long waitMillis) {
        ledger.add(new Entry(System.nanoTime(), mode, since, waitMillis));
        notifyAll();
        return mode;
    }

    private void answer(Socket socket, Mode how, long since, long waitMillis) throws IOException, InterruptedException {
        switch (how) {
            case WELL -> write(socket, isRefused() ? response("503 Busy", "") : awaitList(since, waitMillis));
            case BUSY -> write(socket, response("503 Busy", ""));
            case MALFORMED -> write(socket, response("200 OK", "{\"revision\":"));
            case OLDER -> write(socket, response("200 OK", list(0, false, "")));
            case RESET -> {
                socket.setSoLinger(true, 0);
                socket.close();
            }
            case HALF -> write(socket, response("200 OK", list(since, false, "")).substring(0, 60));
            case TRICKLE -> trickle(socket, response("200 OK", list(since, false, "") + " ".repeat(1000)));
            default -> { }
        }
    }

    private synchronized boolean isRefused() throws InterruptedException {
        if (refusals == 0) {
            return false;
        }
        refusals--;
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(refusalMillis);
        for (long left = refusalMillis; left > 0; left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime())) {
            wait(left);
        }
        return true;
    }

    private static void trickle(Socket socket, String text) throws IOException, InterruptedException {
        for (int i = 0; i < text.length(); i++) {
            write(socket, text.substring(i, i + 1));
            TimeUnit.MILLISECONDS.sleep(BYTE_MILLIS);
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        if (text != null) {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }
    }

    /** What a watch is answered; null where it fails meanwhile: it stays with no answer. */
    private synchronized String awaitList(long since, long waitMillis) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
        int before = failures;
        for (long left = waitMillis; failures == before && revision <= since && left > 0;
                left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime())) {
            wait(left);
        }
        if (failures != before) {
            return null;
        }
        boolean news = revision > since;
        return response("200 OK", list(revision, news && complete, news ? members : ""));
    }

    private static String list(long revision, boolean complete, String members) {
        return "{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":[" + members + "]}";
    }

    private static String response(String status, String content) {
        return "HTTP/1.1 " + status + "\r\nContent-Length: " + content.length() + "\r\n\r\n" + content;
    }

    @Override public synchronized void close() throws IOException {
        server.close();
        for (Socket socket : open) {
            socket.close();
        }
        for (Socket filler : fillers) {
            filler.close();
        }
    }
}

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
final class FakeDiscovery implements Closeable {
    /** How it fails. */
    enum Mode {
        /** It answers, and waits as long as it is asked to. */
        NORMAL,
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
        PARTIAL,
        /** An old answer that goes on coming, a byte at a time. */
        TRICKLE,
        /** A list that is no JSON. */
        MALFORMED,
        /** It has begun anew: the list it has is of an older revision. */
        OLDER_REVISION
    }

    /** A call that it got. */
    record RecordedCall(long receivedNanos, Mode mode, long sinceRevision, long waitMillis) { }

    private static final Pattern WATCH_REQUEST = Pattern.compile("since=(\\d+)&timeout_ms=(\\d+) ");
    private static final int BACKLOG = 64;
    private static final int MAX_BACKLOG_FILLERS = 8;
    private static final long BYTE_INTERVAL_MILLIS = 20;

    private final int port;
    private final List<RecordedCall> recordedCalls = new ArrayList<>();
    private final List<Socket> openSockets = new ArrayList<>();
    private final List<Socket> backlogFillers = new ArrayList<>();
    private ServerSocket server;
    private Mode mode = Mode.NORMAL;
    private long revision = 1;
    private String members = "";
    private boolean complete;
    private int failureCount;
    private int remainingRefusals;
    private long refusalDelayMillis;

    FakeDiscovery() throws IOException {
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
        startDaemon(() -> {
            while (true) {
                Socket next = socket.accept();
                synchronized (this) {
                    openSockets.add(next);
                }
                startDaemon(() -> serve(next));
            }
        });
    }

    private interface IoTask {
        void run() throws IOException, InterruptedException;
    }

    private static void startDaemon(IoTask work) {
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
    synchronized void failWith(Mode next) throws IOException {
        boolean down = server.isClosed();
        mode = next;
        failureCount++;
        notifyAll();
        if (next == Mode.REFUSED || next == Mode.UNREACHABLE) {
            server.close();
            for (Socket socket : openSockets) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
            openSockets.clear();
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
        for (int i = 0; i < MAX_BACKLOG_FILLERS; i++) {
            Socket filler = new Socket();
            backlogFillers.add(filler);
            try {
                filler.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 50);
            } catch (IOException e) {
                return;     // it is full
            }
        }
        throw new IOException("connections still come up");
    }

    /** Can be reached again, with this list; returns when, in nanoseconds. */
    synchronized long recover(long newRevision, String newMembers, boolean whole) throws IOException {
        revision = newRevision;
        members = newMembers;
        complete = whole;
        Mode before = mode;
        mode = Mode.NORMAL;
        if (before == Mode.UNREACHABLE) {
            server.close();
            for (Socket filler : backlogFillers) {
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
    synchronized void refuseCalls(int calls, long afterMillis) {
        remainingRefusals = calls;
        refusalDelayMillis = afterMillis;
    }

    /** How many calls it got in a mode. */
    synchronized long callCount(Mode in) {
        return recordedCalls.stream().filter(entry -> entry.mode == in).count();
    }

    /** When the caller was first seen to hold a revision, in nanoseconds since a moment; waits for it. */
    synchronized long millisUntilRevision(long heldRevision, long sinceNanos) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(2 * FakeServer.TIMEOUT_SECONDS);
        while (true) {
            for (RecordedCall entry : recordedCalls) {
                if (entry.receivedNanos >= sinceNanos && entry.sinceRevision == heldRevision) {
                    return TimeUnit.NANOSECONDS.toMillis(entry.receivedNanos - sinceNanos);
                }
            }
            long left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
            if (left <= 0) {
                throw new AssertionError("it never held revision " + heldRevision + ": " + recordedCalls);
            }
            wait(left);
        }
    }

    /** Waits until so many calls have come in a mode. */
    synchronized void awaitCalls(Mode in, long count) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(2 * FakeServer.TIMEOUT_SECONDS);
        while (callCount(in) < count) {
            long left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
            if (left <= 0) {
                throw new AssertionError("not " + count + " calls in " + in + ": " + recordedCalls);
            }
            wait(left);
        }
    }

    synchronized List<RecordedCall> recordedCalls() {
        return List.copyOf(recordedCalls);
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        InputStream in = socket.getInputStream();
        for (String head = Client.readHead(in); head != null; head = Client.readHead(in)) {
            Matcher call = WATCH_REQUEST.matcher(head);
            if (!call.find()) {
                throw new IOException("no watch: " + head);
            }
            Mode how = recordCall(Long.parseLong(call.group(1)), Long.parseLong(call.group(2)));
            respond(socket, how, Long.parseLong(call.group(1)), Long.parseLong(call.group(2)));
        }
    }

    private synchronized Mode recordCall(long since, long waitMillis) {
        recordedCalls.add(new RecordedCall(System.nanoTime(), mode, since, waitMillis));
        notifyAll();
        return mode;
    }

    private void respond(Socket socket, Mode how, long since, long waitMillis) throws IOException, InterruptedException {
        switch (how) {
            case NORMAL -> write(socket, consumeRefusal() ? responseText("503 Busy", "") : awaitListResponse(since, waitMillis));
            case BUSY -> write(socket, responseText("503 Busy", ""));
            case MALFORMED -> write(socket, responseText("200 OK", "{\"revision\":"));
            case OLDER_REVISION -> write(socket, responseText("200 OK", listJson(0, false, "")));
            case RESET -> {
                socket.setSoLinger(true, 0);
                socket.close();
            }
            case PARTIAL -> write(socket, responseText("200 OK", listJson(since, false, "")).substring(0, 60));
            case TRICKLE -> trickle(socket, responseText("200 OK", listJson(since, false, "") + " ".repeat(1000)));
            default -> { }
        }
    }

    private synchronized boolean consumeRefusal() throws InterruptedException {
        if (remainingRefusals == 0) {
            return false;
        }
        remainingRefusals--;
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(refusalDelayMillis);
        for (long left = refusalDelayMillis; left > 0; left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime())) {
            wait(left);
        }
        return true;
    }

    private static void trickle(Socket socket, String text) throws IOException, InterruptedException {
        for (int i = 0; i < text.length(); i++) {
            write(socket, text.substring(i, i + 1));
            TimeUnit.MILLISECONDS.sleep(BYTE_INTERVAL_MILLIS);
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        if (text != null) {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }
    }

    /** What a watch is answered; null where it fails meanwhile: it stays with no answer. */
    private synchronized String awaitListResponse(long since, long waitMillis) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
        int before = failureCount;
        for (long left = waitMillis; failureCount == before && revision <= since && left > 0;
                left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime())) {
            wait(left);
        }
        if (failureCount != before) {
            return null;
        }
        boolean news = revision > since;
        return responseText("200 OK", listJson(revision, news && complete, news ? members : ""));
    }

    private static String listJson(long revision, boolean complete, String members) {
        return "{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":[" + members + "]}";
    }

    private static String responseText(String status, String content) {
        return "HTTP/1.1 " + status + "\r\nContent-Length: " + content.length() + "\r\n\r\n" + content;
    }

    @Override public synchronized void close() throws IOException {
        server.close();
        for (Socket socket : openSockets) {
            socket.close();
        }
        for (Socket filler : backlogFillers) {
            filler.close();
        }
    }
}

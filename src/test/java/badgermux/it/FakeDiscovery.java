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
 * A discovery service that fails in a mode of the test's choice and later recovers. It records the calls that it receives.
 * Calls that arrived while it failed get no answer after it has recovered.
 */
final class FakeDiscovery implements Closeable {
    /** How it responds. */
    enum Mode {
        /** Responds to each watch with news, or when the time of the watch is up. */
        NORMAL,
        /** Does not listen: connections are refused. */
        REFUSED,
        /** New connections are never established; open ones are reset. */
        UNREACHABLE,
        /** Each call is reset. */
        RESET,
        /** Responds to each call with 503. */
        BUSY,
        /** Reads calls and does not respond. */
        SILENT,
        /** Sends the first part of a response and nothing more. */
        PARTIAL,
        /** Sends a response without news slowly, one byte at a time. */
        TRICKLE,
        /** Responds with text that is not valid JSON. */
        MALFORMED,
        /** Responds with a list of an older revision, as a service that has lost its state. */
        OLDER_REVISION
    }

    /**
     * A call that it received.
     *
     * @param mode          its mode at that time
     * @param sinceRevision the revision that the caller holds
     * @param waitMillis    how long the caller asks it to wait for news
     */
    record RecordedCall(long receivedNanos, Mode mode, long sinceRevision, long waitMillis) { }

    private static final Pattern WATCH_REQUEST = Pattern.compile("since=(\\d+)&timeout_ms=(\\d+) ");
    private static final int BACKLOG = 64;
    /** More than a listening socket with a backlog of 1 takes. */
    private static final int MAX_BACKLOG_FILLERS = 8;
    private static final long BYTE_INTERVAL_MILLIS = 20;

    private final int port;
    /** Bound to the port and never listening: keeps the port from others, and connections are refused, while nothing listens. */
    private final Socket portHolder = new Socket();
    private final List<RecordedCall> recordedCalls = new ArrayList<>();
    private final List<Socket> openSockets = new ArrayList<>();
    private final List<Socket> backlogFillers = new ArrayList<>();
    private ServerSocket serverSocket;
    private Mode mode = Mode.NORMAL;
    private long revision = 1;
    private String members = "";
    private boolean complete;
    private int failureCount;
    private int remainingRefusals;
    private long refusalDelayMillis;

    FakeDiscovery() throws IOException {
        portHolder.setReuseAddress(true);
        portHolder.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        port = portHolder.getLocalPort();
        listen(port, BACKLOG);
    }

    /** Returns its address as HOST:PORT. */
    String address() {
        return "127.0.0.1:" + port;
    }

    private synchronized void listen(int listenPort, int backlog) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), listenPort), backlog);
        serverSocket = socket;
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
                // the test or the program has closed the connection
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Begins to fail in a mode; watches that are waiting for news get no response any more. */
    synchronized void failWith(Mode newMode) throws IOException {
        boolean wasDown = serverSocket.isClosed();
        mode = newMode;
        failureCount++;
        notifyAll();
        if (newMode == Mode.REFUSED || newMode == Mode.UNREACHABLE) {
            serverSocket.close();
            for (Socket socket : openSockets) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
            openSockets.clear();
        }
        if (newMode == Mode.UNREACHABLE) {
            listen(port, 1);
            fillBacklog();
        } else if (wasDown && newMode != Mode.REFUSED) {
            listen(port, BACKLOG);
        }
    }

    /** Opens connections that are never accepted until the backlog is full and no further one is established. */
    private void fillBacklog() throws IOException {
        for (int i = 0; i < MAX_BACKLOG_FILLERS; i++) {
            Socket filler = new Socket();
            backlogFillers.add(filler);
            try {
                filler.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 50);
            } catch (IOException e) {
                return;     // the backlog is full
            }
        }
        throw new IOException("connections are still established");
    }

    /**
     * Ends the failure and serves a list from now on.
     *
     * @return the time of the recovery, as of {@link System#nanoTime}
     */
    synchronized long recover(long newRevision, String newMembers, boolean isComplete) throws IOException {
        revision = newRevision;
        members = newMembers;
        complete = isComplete;
        Mode previousMode = mode;
        mode = Mode.NORMAL;
        if (previousMode == Mode.UNREACHABLE) {
            serverSocket.close();
            for (Socket filler : backlogFillers) {
                filler.close();
            }
        }
        if (previousMode == Mode.REFUSED || previousMode == Mode.UNREACHABLE) {
            listen(port, BACKLOG);
        }
        notifyAll();
        return System.nanoTime();
    }

    /** Has the next calls in mode NORMAL answered 503, each after a delay, as an overloaded service does. */
    synchronized void refuseCalls(int count, long delayMillis) {
        remainingRefusals = count;
        refusalDelayMillis = delayMillis;
    }

    /** Returns the number of calls received in a mode. */
    synchronized long callCount(Mode inMode) {
        return recordedCalls.stream().filter(call -> call.mode == inMode).count();
    }

    /** Waits for a call that holds a revision; returns the time from {@code sinceNanos}, as of {@link System#nanoTime}, to it. */
    synchronized long millisUntilRevision(long heldRevision, long sinceNanos) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(2 * FakeServer.TIMEOUT_SECONDS);
        while (true) {
            for (RecordedCall call : recordedCalls) {
                if (call.receivedNanos >= sinceNanos && call.sinceRevision == heldRevision) {
                    return TimeUnit.NANOSECONDS.toMillis(call.receivedNanos - sinceNanos);
                }
            }
            long leftMillis = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
            if (leftMillis <= 0) {
                throw new AssertionError("no call in time with revision " + heldRevision + ": " + recordedCalls);
            }
            wait(leftMillis);
        }
    }

    /** Waits until it has received that many calls in a mode. */
    synchronized void awaitCalls(Mode inMode, long count) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(2 * FakeServer.TIMEOUT_SECONDS);
        while (callCount(inMode) < count) {
            long leftMillis = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
            if (leftMillis <= 0) {
                throw new AssertionError("fewer than " + count + " calls in mode " + inMode + ": " + recordedCalls);
            }
            wait(leftMillis);
        }
    }

    /** Returns the calls received up to now, in order. */
    synchronized List<RecordedCall> recordedCalls() {
        return List.copyOf(recordedCalls);
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        InputStream in = socket.getInputStream();
        for (String head = Client.readHead(in); head != null; head = Client.readHead(in)) {
            Matcher request = WATCH_REQUEST.matcher(head);
            if (!request.find()) {
                throw new IOException("not a watch: " + head);
            }
            Mode callMode = recordCall(Long.parseLong(request.group(1)), Long.parseLong(request.group(2)));
            respond(socket, callMode, Long.parseLong(request.group(1)), Long.parseLong(request.group(2)));
        }
    }

    private synchronized Mode recordCall(long since, long waitMillis) {
        recordedCalls.add(new RecordedCall(System.nanoTime(), mode, since, waitMillis));
        notifyAll();
        return mode;
    }

    private void respond(Socket socket, Mode callMode, long since, long waitMillis) throws IOException, InterruptedException {
        switch (callMode) {
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

    /** Whether this call is to be answered 503; if it is, counts it and waits for the delay. */
    private synchronized boolean consumeRefusal() throws InterruptedException {
        if (remainingRefusals == 0) {
            return false;
        }
        remainingRefusals--;
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(refusalDelayMillis);
        for (long leftMillis = refusalDelayMillis; leftMillis > 0;
                leftMillis = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime())) {
            wait(leftMillis);
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

    /** Waits for a newer list and returns the response to a watch; null, for no response, if a failure begins meanwhile. */
    private synchronized String awaitListResponse(long since, long waitMillis) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
        int failuresBefore = failureCount;
        for (long leftMillis = waitMillis; failureCount == failuresBefore && revision <= since && leftMillis > 0;
                leftMillis = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime())) {
            wait(leftMillis);
        }
        if (failureCount != failuresBefore) {
            return null;
        }
        boolean isNewer = revision > since;
        return responseText("200 OK", listJson(revision, isNewer && complete, isNewer ? members : ""));
    }

    private static String listJson(long revision, boolean complete, String members) {
        return "{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":[" + members + "]}";
    }

    private static String responseText(String status, String content) {
        return "HTTP/1.1 " + status + "\r\nContent-Length: " + content.length() + "\r\n\r\n" + content;
    }

    @Override public synchronized void close() throws IOException {
        serverSocket.close();
        portHolder.close();
        for (Socket socket : openSockets) {
            socket.close();
        }
        for (Socket filler : backlogFillers) {
            filler.close();
        }
    }
}

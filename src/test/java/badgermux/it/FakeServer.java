package badgermux.it;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An HTTP server whose responses the test writes: requests are queued until the test takes them and responds. It stands for a
 * backend or for a discovery service.
 */
final class FakeServer implements Closeable {
    /** Time for which tests wait for an event before they fail. */
    static final int TIMEOUT_SECONDS = 10;

    /** A received request and the connection on which the test responds. */
    static final class Exchange {
        final String head;
        final String body;
        /** The server that received the request. */
        final FakeServer receiver;
        private final Socket socket;
        /** Reaches 0 when the other side has closed the connection. */
        private final CountDownLatch closed;

        Exchange(String head, String body, FakeServer receiver, Socket socket, CountDownLatch closed) {
            this.head = head;
            this.body = body;
            this.receiver = receiver;
            this.socket = socket;
            this.closed = closed;
        }

        String header(String name) {
            return Client.header(head, name);
        }

        /** Sends text without a change, such as a part of a response. */
        Exchange send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            return this;
        }

        /** Sends a whole response with a Content-Length. */
        void reply(String statusAndHeaders, String responseBody) throws IOException {
            send("HTTP/1.1 " + statusAndHeaders + "\r\nContent-Length: "
                + responseBody.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + responseBody);
        }

        /** Sends the head of a chunked response and its first line, with the state {@code started}. */
        Exchange sendStarted() throws IOException {
            return send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").sendLine("started", "");
        }

        /**
         * Sends one JSON line as a chunk.
         *
         * @param moreMembers further members of the JSON object, each with a comma before it; may be empty
         */
        Exchange sendLine(String state, String moreMembers) throws IOException {
            return send(chunk(state, moreMembers));
        }

        private String chunk(String state, String moreMembers) {
            String line = "{\"id\":\"" + header("X-Request-ID") + "\",\"from\":\"s\",\"state\":\"" + state + "\"" + moreMembers
                + "}\n";
            return Integer.toHexString(line.getBytes(StandardCharsets.UTF_8).length) + "\r\n" + line + "\r\n";
        }

        /** Returns a whole chunked response with one line, to be sent in one piece. */
        String responseWithLine(String state) {
            return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(state, "") + "0\r\n\r\n";
        }

        /** Sends the last chunk. */
        void endResponse() throws IOException {
            send("0\r\n\r\n");
        }

        /** Sends a whole chunked response that ends with this result. */
        void sendResult(String result) throws IOException {
            sendStarted().sendLine("done", ",\"result\":\"" + result + "\"").endResponse();
        }

        /** Closes the connection with a TCP reset. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        /** Waits for the other side to close the connection; returns whether it did within the timeout. */
        boolean isClosedByClient() throws InterruptedException {
            return closed.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    /** The first call of a process to discovery, which asks for an answer at once. */
    private static final Pattern INITIAL_WATCH = Pattern.compile("\\?since=(\\d+)&timeout_ms=1 ");

    private final ServerSocket serverSocket;
    private final boolean confirmsInitialLists;
    private final BlockingQueue<Exchange> exchanges = new LinkedBlockingQueue<>();

    FakeServer() throws IOException {
        this(0);
    }

    /** Listens on the given port; 0 for any free one. */
    FakeServer(int port) throws IOException {
        this(port, false);
    }

    private FakeServer(int port, boolean confirmsInitialLists) throws IOException {
        this.confirmsInitialLists = confirmsInitialLists;
        serverSocket = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        startDaemon(() -> {
            while (true) {
                Socket socket = serverSocket.accept();
                startDaemon(() -> serve(socket));
            }
        });
    }

    /**
     * Starts a discovery service without news: it answers the first call of each process by itself, which confirms the list
     * that the process starts with. The test takes and answers all other calls.
     */
    static FakeServer discovery() throws IOException {
        return new FakeServer(0, true);
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private static void startDaemon(IoTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // the test or the program has closed the connection
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void serve(Socket socket) throws IOException {
        CountDownLatch closed = new CountDownLatch(1);
        try {
            InputStream in = socket.getInputStream();
            for (String head = Client.readHead(in); head != null; head = Client.readHead(in)) {
                String length = Client.header(head, "Content-Length");
                byte[] body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
                Exchange exchange = new Exchange(head, new String(body, StandardCharsets.UTF_8), this, socket, closed);
                Matcher initialWatch = INITIAL_WATCH.matcher(head);
                if (confirmsInitialLists && initialWatch.find()) {
                    exchange.reply("200 OK", "{\"revision\":" + initialWatch.group(1) + ",\"complete\":false,\"members\":[]}");
                } else {
                    exchanges.add(exchange);
                }
            }
        } finally {
            closed.countDown();
        }
    }

    /** Returns the port on which this server listens. */
    int port() {
        return serverSocket.getLocalPort();
    }

    /** Returns the address of this server as HOST:PORT. */
    String address() {
        return "127.0.0.1:" + serverSocket.getLocalPort();
    }

    /** Waits for the next request and takes it from the queue. */
    Exchange take() throws InterruptedException {
        Exchange exchange = exchanges.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (exchange == null) {
            throw new AssertionError("no request received in time");
        }
        return exchange;
    }

    /** Responds to each request with this result; throws an {@link AssertionError} once none arrives within the timeout. */
    void answerAll(String result) throws IOException {
        try {
            while (true) {
                take().sendResult(result);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the number of requests in the queue. */
    int queuedCount() {
        return exchanges.size();
    }

    /** Takes a request from the queue without waiting; null if it is empty. */
    Exchange poll() {
        return exchanges.poll();
    }

    @Override public void close() throws IOException {
        serverSocket.close();
    }

    /** Reads up to and including an empty line; null if the stream ends before it. */
    static byte[] readHeadBytes(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            head.write(b);
            if (head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
                return head.toByteArray();
            }
        }
        return null;
    }
}

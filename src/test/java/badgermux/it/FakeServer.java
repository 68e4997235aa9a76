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

/** A server that the test plays: requests queue up until the test takes and answers them. */
final class FakeServer implements Closeable {
    static final int TIMEOUT_SECONDS = 10;

    /** A request, and the connection that it came on. */
    static final class Exchange {
        final String head;
        final String body;
        /** Who got it. */
        final FakeServer receiver;
        private final Socket socket;
        private final CountDownLatch ended;

        Exchange(String head, String body, FakeServer from, Socket socket, CountDownLatch ended) {
            this.head = head;
            this.body = body;
            this.receiver = from;
            this.socket = socket;
            this.ended = ended;
        }

        String header(String name) {
            return Client.header(head, name);
        }

        Exchange send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            return this;
        }

        void reply(String statusAndHeaders, String content) throws IOException {
            send("HTTP/1.1 " + statusAndHeaders + "\r\nContent-Length: "
                + content.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + content);
        }

        /** Begins an answer in chunks, with its first line. */
        Exchange sendStarted() throws IOException {
            return send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").sendLine("started", "");
        }

        Exchange sendLine(String state, String more) throws IOException {
            String line = "{\"id\":\"" + header("X-Request-ID") + "\",\"from\":\"s\",\"state\":\"" + state + "\"" + more
                + "}\n";
            return send(Integer.toHexString(line.getBytes(StandardCharsets.UTF_8).length) + "\r\n" + line + "\r\n");
        }

        void endResponse() throws IOException {
            send("0\r\n\r\n");
        }

        void sendResult(String result) throws IOException {
            sendStarted().sendLine("done", ",\"result\":\"" + result + "\"").endResponse();
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        /** Whether the other side ends the connection. */
        boolean isClosedByClient() throws InterruptedException {
            return ended.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    private final ServerSocket server;
    private final BlockingQueue<Exchange> exchanges = new LinkedBlockingQueue<>();

    FakeServer() throws IOException {
        this(0);
    }

    /** On a port of the test's choice; 0 for any. */
    FakeServer(int port) throws IOException {
        server = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        startDaemon(() -> {
            while (true) {
                Socket socket = server.accept();
                startDaemon(() -> serve(socket));
            }
        });
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private static void startDaemon(IoTask work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                // the test has closed it, or the program has
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void serve(Socket socket) throws IOException {
        CountDownLatch ended = new CountDownLatch(1);
        try {
            InputStream in = socket.getInputStream();
            for (String head = Client.readHead(in); head != null; head = Client.readHead(in)) {
                String length = Client.header(head, "Content-Length");
                byte[] body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
                exchanges.add(new Exchange(head, new String(body, StandardCharsets.UTF_8), this, socket, ended));
            }
        } finally {
            ended.countDown();
        }
    }

    int port() {
        return server.getLocalPort();
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** The next request. */
    Exchange take() throws InterruptedException {
        Exchange call = exchanges.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (call == null) {
            throw new AssertionError("no request came");
        }
        return call;
    }

    /** Gives this result to all who come, until a while passes in which nobody does. */
    void answerAll(String result) throws IOException {
        try {
            while (true) {
                take().sendResult(result);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** How many requests have come that no test has taken. */
    int queuedCount() {
        return exchanges.size();
    }

    /** A request that is there already, or null. */
    Exchange poll() {
        return exchanges.poll();
    }

    @Override public void close() throws IOException {
        server.close();
    }

    /** Gathers bytes up to an empty line; null at the end of input. */
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

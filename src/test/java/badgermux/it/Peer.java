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
final class Peer implements Closeable {
    static final int PATIENCE_S = 10;

    /** A request, and the connection that it came on. */
    static final class Call {
        final String head;
        final String body;
        /** Who got it. */
        final Peer from;
        private final Socket socket;
        private final CountDownLatch ended;

        Call(String head, String body, Peer from, Socket socket, CountDownLatch ended) {
            this.head = head;
            this.body = body;
            this.from = from;
            this.socket = socket;
            this.ended = ended;
        }

        String header(String name) {
            return Client.header(head, name);
        }

        Call send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            return this;
        }

        void reply(String statusAndHeaders, String content) throws IOException {
            send("HTTP/1.1 " + statusAndHeaders + "\r\nContent-Length: "
                + content.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + content);
        }

        /** Begins an answer in chunks, with its first line. */
        Call accept() throws IOException {
            return send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").line("started", "");
        }

        Call line(String state, String more) throws IOException {
            String line = "{\"id\":\"" + header("X-Request-ID") + "\",\"from\":\"s\",\"state\":\"" + state + "\"" + more
                + "}\n";
            return send(Integer.toHexString(line.getBytes(StandardCharsets.UTF_8).length) + "\r\n" + line + "\r\n");
        }

        void end() throws IOException {
            send("0\r\n\r\n");
        }

        void done(String result) throws IOException {
            accept().line("done", ",\"result\":\"" + result + "\"").end();
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        /** Whether the other side ends the connection. */
        boolean isEnded() throws InterruptedException {
            return ended.await(PATIENCE_S, TimeUnit.SECONDS);
        }
    }

    private final ServerSocket server;
    private final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();

    Peer() throws IOException {
        this(0);
    }

    /** On a port of the test's choice; 0 for any. */
    Peer(int port) throws IOException {
        server = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        thread(() -> {
            while (true) {
                Socket socket = server.accept();
                thread(() -> serve(socket));
            }
        });
    }

    private interface Work {
        void run() throws IOException;
    }

    private static void thread(Work work) {
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
            for (String head = Client.head(in); head != null; head = Client.head(in)) {
                String length = Client.header(head, "Content-Length");
                byte[] body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
                calls.add(new Call(head, new String(body, StandardCharsets.UTF_8), this, socket, ended));
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
    Call take() throws InterruptedException {
        Call call = calls.poll(PATIENCE_S, TimeUnit.SECONDS);
        if (call == null) {
            throw new AssertionError("no request came");
        }
        return call;
    }

    /** Gives this result to all who come, until a while passes in which nobody does. */
    void answerAll(String result) throws IOException {
        try {
            while (true) {
                take().done(result);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** How many requests have come that no test has taken. */
    int waiting() {
        return calls.size();
    }

    /** A request that is there already, or null. */
    Call peek() {
        return calls.poll();
    }

    @Override public void close() throws IOException {
        server.close();
    }

    /** Gathers bytes up to an empty line; null at the end of input. */
    static byte[] untilEmptyLine(InputStream in) throws IOException {
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

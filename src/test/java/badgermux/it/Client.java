package badgermux.it;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client of the program, on one connection. */
final class Client implements Closeable {
    /** An answer. */
    record Response(int status, String head, String body) {
        String header(String name) {
            return Client.header(head, name);
        }
    }

    private static final java.util.concurrent.atomic.AtomicInteger REQUEST_COUNTER = new java.util.concurrent.atomic.AtomicInteger();
    private final Socket socket;

    Client(int port) throws IOException {
        socket = new Socket("127.0.0.1", port);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(FakeServer.TIMEOUT_SECONDS * 1000);
    }

    /** A request's text; its id is new. */
    static String request(String path, String timeout, String moreHeaders, String body) {
        return "POST " + path + " HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: " + nextRequestId() + "\r\nX-Timeout: " + timeout
            + "\r\n" + moreHeaders + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** A new id, as clients form them. */
    static String nextRequestId() {
        return String.format("%016x", 0x9b1f03aa5c7e0000L + REQUEST_COUNTER.incrementAndGet());
    }

    Client send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        return this;
    }

    Response read() throws IOException {
        String head = readHead(socket.getInputStream());
        if (head == null) {
            throw new AssertionError("closed without an answer");
        }
        byte[] body = socket.getInputStream().readNBytes(Integer.parseInt(header(head, "Content-Length")));
        return new Response(Integer.parseInt(head.substring(9, 12)), head, new String(body, StandardCharsets.UTF_8));
    }

    Response post(String path) throws IOException {
        return send(request(path, "5000m", "", "b")).read();
    }

    /** An admin call; {@code headers} are whole lines. */
    Response callAdmin(String method, String path, String headers, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        socket.getOutputStream().write((method + ' ' + path + " HTTP/1.1\r\nHost: x\r\n" + headers + "Content-Length: "
            + bytes.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().write(bytes);
        return read();
    }

    Response get(String path) throws IOException {
        return send("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n").read();
    }

    /** Ends its sending, and goes on reading. */
    void halfClose() throws IOException {
        socket.shutdownOutput();
    }

    /** Is gone at once, without an end in order. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** Closes, and waits until the other side's system has the end: its socket waits for its own close then. */
    void closeAndAwaitFin() throws IOException {
        int here = socket.getLocalPort();
        int there = socket.getPort();
        socket.close();
        Await.until("the end's arrival", () -> SocketTables.isInCloseWait(there, here));
    }

    /** How many bytes have come that nobody has read. */
    int unreadBytes() throws IOException {
        return socket.getInputStream().available();
    }

    /** Whether the other side has closed, with nothing before. */
    boolean isClosedByServer() throws IOException {
        return socket.getInputStream().read() < 0;
    }

    @Override public void close() throws IOException {
        socket.close();
    }

    static String readHead(InputStream in) throws IOException {
        byte[] head = FakeServer.readHeadBytes(in);
        return head == null ? null : new String(head, StandardCharsets.ISO_8859_1);
    }

    static String header(String head, String name) {
        return head.lines().filter(line -> line.toLowerCase().startsWith(name.toLowerCase() + ":"))
            .map(line -> line.substring(name.length() + 1).strip()).findFirst().orElse(null);
    }
}

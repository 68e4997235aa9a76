package badgermux.it;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** An HTTP client on one connection, which also sends text that is no valid HTTP. */
final class Client implements Closeable {
    /** A response. */
    record Response(int status, String head, String body) {
        String header(String name) {
            return Client.header(head, name);
        }
    }

    private static final AtomicInteger REQUEST_COUNTER = new AtomicInteger();
    private static final AtomicInteger MASS_REQUEST_COUNTER = new AtomicInteger();
    private final Socket socket;

    Client(int port) throws IOException {
        socket = new Socket("127.0.0.1", port);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(FakeServer.TIMEOUT_SECONDS * 1000);
    }

    /**
     * Returns the text of a POST request with a new request id.
     *
     * @param moreHeaders whole lines, each with its CRLF; may be empty
     */
    static String request(String path, String timeout, String moreHeaders, String body) {
        return requestWithId(nextRequestId(), path, timeout, moreHeaders, body);
    }

    /** Returns the text of a POST request with an id. */
    static String requestWithId(String id, String path, String timeout, String moreHeaders, String body) {
        return "POST " + path + " HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: " + id + "\r\nX-Timeout: " + timeout
            + "\r\n" + moreHeaders + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Returns a new request id: 16 hexadecimal digits, which begin the same for the first 65,535 ids. */
    static String nextRequestId() {
        return String.format("%016x", 0x9b1f03aa5c7e0000L + REQUEST_COUNTER.incrementAndGet());
    }

    /** Returns a new request id for tests that send more requests than {@link #nextRequestId} has ids. */
    static String nextMassRequestId() {
        return String.format("%016x", 0x0a55000000000000L + MASS_REQUEST_COUNTER.incrementAndGet());
    }

    Client send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        return this;
    }

    /** Reads one response; throws an {@link AssertionError} if the connection is closed before its head is complete. */
    Response read() throws IOException {
        String head = readHead(socket.getInputStream());
        if (head == null) {
            throw new AssertionError("connection closed without a response");
        }
        byte[] body = socket.getInputStream().readNBytes(Integer.parseInt(header(head, "Content-Length")));
        return new Response(Integer.parseInt(head.substring(9, 12)), head, new String(body, StandardCharsets.UTF_8));
    }

    /** Reads and discards all that arrives until the connection is closed. */
    void readAll() throws IOException {
        byte[] buffer = new byte[1 << 16];
        while (socket.getInputStream().read(buffer) >= 0) {
            continue;
        }
    }

    /** Posts a request with a timeout of 5 s and a short body, and reads the response. */
    Response post(String path) throws IOException {
        return send(request(path, "5000m", "", "b")).read();
    }

    /** Calls the admin API; {@code headers} are whole lines, each with its CRLF. */
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

    /** Shuts down the sending side; reading goes on. */
    void halfClose() throws IOException {
        socket.shutdownOutput();
    }

    /** Closes the connection with a TCP reset. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** Closes the connection and waits until the other side's kernel has received the FIN (its socket is in CLOSE_WAIT). */
    void closeAndAwaitFin() throws IOException {
        int localPort = socket.getLocalPort();
        int remotePort = socket.getPort();
        socket.close();
        Await.until("arrival of the FIN", () -> SocketTables.isInCloseWait(remotePort, localPort));
    }

    /** Returns the number of bytes that have arrived and have not been read. */
    int unreadBytes() throws IOException {
        return socket.getInputStream().available();
    }

    /** Waits for a byte or the end of the stream; returns whether the server closed the connection without sending more. */
    boolean isClosedByServer() throws IOException {
        return socket.getInputStream().read() < 0;
    }

    @Override public void close() throws IOException {
        socket.close();
    }

    /** Reads a message head up to its empty line; null at the end of the stream. */
    static String readHead(InputStream in) throws IOException {
        byte[] head = FakeServer.readHeadBytes(in);
        return head == null ? null : new String(head, StandardCharsets.ISO_8859_1);
    }

    /** Returns the first value of a header of a message head, or null. */
    static String header(String head, String name) {
        return head.lines().filter(line -> line.toLowerCase().startsWith(name.toLowerCase() + ":"))
            .map(line -> line.substring(name.length() + 1).strip()).findFirst().orElse(null);
    }
}

package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A client's connection: one request at a time. */
final class Client implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 5000;
    private final Socket socket;

    Client(int port) throws IOException {
        socket = new Socket();
        socket.connect(new InetSocketAddress("127.0.0.1", port), CONNECT_TIMEOUT_MILLIS);
        socket.setTcpNoDelay(true);
    }

    static String id(int number) {
        return String.format("%016x", 0x9b1f03aa5c7e0000L + number);
    }

    /** Sends a job; {@code headers} are whole lines, each with its CRLF. */
    void send(String className, String id, long timeoutMillis, String headers, String body) throws IOException {
        Trace.add("client: sends " + className + ' ' + id + " (" + body + "), X-Timeout " + timeoutMillis + "m");
        socket.getOutputStream().write(Http.bytes("POST /" + className + " HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: " + id
            + "\r\nX-Priority-Class: " + className + "\r\nX-Timeout: " + timeoutMillis + "m\r\n" + headers
            + "Content-Length: " + body.length() + "\r\n\r\n" + body));
    }

    /** Waits for the answer; returns null if the connection is closed without one. */
    Http.Message read(String id) throws IOException {
        return read(id, 40_000);
    }

    /** The same with a time limit. */
    Http.Message read(String id, long timeoutMillis) throws IOException {
        socket.setSoTimeout((int) timeoutMillis);
        Http.Message answer = Http.read(socket.getInputStream());
        Trace.add("client: " + id + (answer == null ? " gets no answer, the connection is closed"
            : " is answered " + answer.status() + ' ' + new String(answer.body())));
        return answer;
    }

    @Override public void close() throws IOException {
        socket.close();
    }
}

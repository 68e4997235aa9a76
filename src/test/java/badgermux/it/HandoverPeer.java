package badgermux.it;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Stands in for the other process of a hot restart: speaks the lines of the link as a test says, with a heartbeat. */
final class HandoverPeer implements Closeable {
    private static final int HEARTBEAT_MILLIS = 100;
    private final Socket socket;
    private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();

    private HandoverPeer(Socket socket) {
        this.socket = socket;
        Daemon.start(() -> {
            BufferedReader reader = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                lines.add(line);
            }
            lines.add("");
        });
    }

    /** Connects to the process that left its address in the folder, as the next one, and waits for its state. */
    static HandoverPeer connectAsNext(Path folder) throws IOException, InterruptedException {
        Path file = folder.resolve("badgermux-n/console");
        Await.until("the address of the process", () -> Files.exists(file));
        String[] addressAndSecret = Files.readString(file).strip().split(" ");
        HandoverPeer peer = new HandoverPeer(new Socket("127.0.0.1",
            Integer.parseInt(addressAndSecret[0].substring(addressAndSecret[0].indexOf(':') + 1))));
        peer.send("TAKEOVER " + addressAndSecret[1]);
        peer.await("200 ");
        peer.startHeartbeat();
        return peer;
    }

    /**
     * Waits for a process that takes over, as its previous one, and sends it a list of backends.
     *
     * @param listener where the process connects; {@link #leaveAddress} has told it
     * @param members  the backends, as JSON
     */
    static HandoverPeer acceptAsPrevious(ServerSocket listener, String members) throws IOException, InterruptedException {
        HandoverPeer peer = new HandoverPeer(listener.accept());
        peer.await("TAKEOVER ");
        peer.send("200 {\"list\":{\"revision\":1,\"complete\":true,\"members\":[" + members + "]},\"out\":{},\"back\":{}}");
        peer.startHeartbeat();
        return peer;
    }

    /** Leaves the address of a listener for the next process. */
    static void leaveAddress(Path folder, ServerSocket listener) throws IOException {
        Files.createDirectories(folder.resolve("badgermux-n"));
        Files.writeString(folder.resolve("badgermux-n/console"), "127.0.0.1:" + listener.getLocalPort() + " secret\n");
    }

    private void startHeartbeat() {
        Daemon.start(() -> {
            while (true) {
                send("OPEN 0 0");
                TimeUnit.MILLISECONDS.sleep(HEARTBEAT_MILLIS);
            }
        });
    }

    synchronized HandoverPeer send(String line) throws IOException {
        socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
        return this;
    }

    /** Waits for a line that begins so, passing over others, and returns the rest of it. */
    String await(String start) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakeServer.TIMEOUT_SECONDS);
        for (String line = next(end); !line.isEmpty(); line = next(end)) {
            if (line.startsWith(start)) {
                return line.substring(start.length());
            }
        }
        throw new AssertionError("the link was closed without: " + start);
    }

    private String next(long endNanos) throws InterruptedException {
        String line = lines.poll(endNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
        if (line == null) {
            throw new AssertionError("the line did not come on the link");
        }
        return line;
    }

    @Override public void close() throws IOException {
        socket.close();
    }
}

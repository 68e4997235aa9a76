package review;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One dispatcher, started by the command {@code run} of the deploy file as a process of its own. */
final class Dispatcher {
    private static final Pattern RUN = Pattern.compile("^run = \"(.*)\"$", Pattern.MULTILINE);

    final Process process;
    final int port;

    /**
     * Starts a dispatcher.
     *
     * @param folder a folder for its configuration, its log and its TMPDIR
     */
    Dispatcher(Path folder, String name, String discovery, String known, String settings, int sockets, int memoryMb)
            throws IOException {
        port = freePort();
        Path config = Files.writeString(folder.resolve(name + ".json"), "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port
            + "\",\"discovery\":\"" + discovery + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb
            + ",\"sockets\":" + sockets + "},\"known\":" + known + ",\"settings\":" + settings + "}");
        Matcher run = RUN.matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("no run in deploy/balancer.toml");
        }
        Path tmp = Files.createDirectories(folder.resolve(name + ".tmp"));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1));
        builder.environment().keySet().removeIf(variable -> variable.startsWith("GW_"));
        builder.environment().putAll(Map.of("GW_NAME", name, "GW_LISTEN", "127.0.0.1:" + port, "GW_DISCOVERY", discovery,
            "GW_CONFIG", config.toString(), "TMPDIR", tmp.toString()));
        File log = folder.resolve(name + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(log);
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                process.destroyForcibly().waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }));
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Waits until GET /healthz answers 200; throws an IOException if it does not within 30 s. */
    void awaitReady() throws IOException, InterruptedException {
        for (long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30); System.nanoTime() < end; Thread.sleep(50)) {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.setSoTimeout(2000);
                socket.getOutputStream().write(Http.bytes("GET /healthz HTTP/1.1\r\nHost: app.svc\r\n\r\n"));
                Http.Message answer = Http.read(socket.getInputStream());
                if (answer != null && answer.status() == 200) {
                    return;
                }
            } catch (IOException e) {
                // not listening yet
            }
        }
        throw new IOException("the dispatcher is not ready in 30 s");
    }
}

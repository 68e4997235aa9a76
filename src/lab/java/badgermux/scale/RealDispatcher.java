package badgermux.scale;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A real dispatcher of the built jar, started with the command in {@code deploy/balancer.toml}. */
final class RealDispatcher implements Closeable {
    private static final Pattern RUN = Pattern.compile("^run = \"(.*)\"$", Pattern.MULTILINE);
    private static final Pattern PORT = Pattern.compile("listens on .*:(\\d+)$");

    final int number;
    private final Process process;
    private final int port;

    RealDispatcher(int number, Path config, int discoveryPort) throws IOException {
        this.number = number;
        Matcher run = RUN.matcher(Files.readString(Path.of("deploy", "balancer.toml")));
        if (!run.find()) {
            throw new IOException("deploy/balancer.toml has no key \"run\"");
        }
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1));
        builder.environment().put("GW_LISTEN", "127.0.0.1:0");
        builder.environment().put("GW_DISCOVERY", "127.0.0.1:" + discoveryPort);
        builder.environment().put("GW_CONFIG", config.toString());
        builder.environment().remove("TMPDIR");
        process = builder.redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
        BufferedReader log = process.errorReader(StandardCharsets.UTF_8);
        port = awaitPort(log);
        // Keeps reading the log: a full pipe would block the dispatcher.
        Thread reader = new Thread(() -> log.lines().forEach(line -> { }), "log of dispatcher " + number);
        reader.setDaemon(true);
        reader.start();
    }

    private int awaitPort(BufferedReader log) throws IOException {
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            Matcher matcher = PORT.matcher(line);
            if (matcher.find()) {
                return Integer.parseInt(matcher.group(1));
            }
        }
        throw new IOException("dispatcher " + number + " did not start: its log ended without a listening address");
    }

    long pid() {
        return process.pid();
    }

    int port() {
        return port;
    }

    /** Asks the process to exit, as for a planned restart: it answers its open requests first. */
    void terminate() {
        process.destroy();
    }

    /** Waits for the process to exit, and returns whether it did. */
    boolean awaitExit(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    @Override public void close() {
        process.destroyForcibly();
    }
}

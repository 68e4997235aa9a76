package badgermux.capacity;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** One dispatcher process of the built jar, started with the command of the line {@code run} in deploy/balancer.toml. */
final class MeasuredDispatcher implements AutoCloseable {
    private static final Pattern RUN_LINE = Pattern.compile("^run = \"exec (.*)\"$", Pattern.MULTILINE);
    private static final int COMMAND_TIMEOUT_SECONDS = 10;

    private final Process process;
    private final int port;
    private final AtomicLong logBytes = new AtomicLong();
    private final AtomicLong logLines = new AtomicLong();

    /**
     * Starts the process with a configuration file and waits until it listens.
     *
     * @param discovery address of the discovery service, as HOST:PORT
     * @throws IOException if the process ends before it listens
     */
    MeasuredDispatcher(Path configuration, String discovery) throws IOException {
        Matcher run = RUN_LINE.matcher(Files.readString(Path.of("deploy", "balancer.toml")));
        if (!run.find()) {
            throw new IOException("deploy/balancer.toml has no line \"run\"");
        }
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        builder.environment().put("GW_CONFIG", configuration.toString());
        builder.environment().put("GW_LISTEN", "127.0.0.1:0");
        builder.environment().put("GW_DISCOVERY", discovery);
        builder.environment().remove("TMPDIR");
        builder.environment().remove("JAVA_TOOL_OPTIONS");
        builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
        process = builder.start();
        // Ends the process also when the measuring program is terminated by a signal.
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        BufferedReader log = process.errorReader(StandardCharsets.UTF_8);
        port = awaitPort(log);
        Thread reader = new Thread(() -> log.lines().forEach(this::countLine), "log reader");
        reader.setDaemon(true);
        reader.start();
    }

    /** Reads the log up to the line that tells the port. */
    private int awaitPort(BufferedReader log) throws IOException {
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            countLine(line);
            if (line.contains(" listens on ")) {
                return Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
            }
        }
        throw new IOException("the dispatcher ended before it listened");
    }

    private void countLine(String line) {
        logLines.incrementAndGet();
        logBytes.addAndGet(line.length() + 1L);
    }

    /** Port for clients. */
    int port() {
        return port;
    }

    /** Number of bytes logged so far. */
    long logBytes() {
        return logBytes.get();
    }

    /** Number of lines logged so far. */
    long logLines() {
        return logLines.get();
    }

    /** Processor time of each thread since its start, in microseconds, by the thread's directory in /proc. */
    Map<Path, Double> cpuMicrosByThread() throws IOException {
        Map<Path, Double> microsByThread = new HashMap<>();
        try (Stream<Path> tasks = Files.list(Path.of("/proc/" + process.pid() + "/task"))) {
            for (Path task : tasks.toList()) {
                microsByThread.put(task, Double.parseDouble(Files.readString(task.resolve("schedstat")).split(" ")[0]) / 1e3);
            }
        }
        return microsByThread;
    }

    /**
     * Microseconds of processor time since an earlier {@link #cpuMicrosByThread}. Threads that have ended in between are
     * left out.
     */
    double cpuMicrosSince(Map<Path, Double> before) throws IOException {
        return cpuMicrosByThread().entrySet().stream()
            .mapToDouble(entry -> entry.getValue() - before.getOrDefault(entry.getKey(), 0.0)).sum();
    }

    /** Resident memory in bytes. */
    long residentBytes() throws IOException {
        return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
            .filter(line -> line.startsWith("VmRSS:")).mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")) * 1024)
            .findFirst().orElseThrow();
    }

    /** Live heap in bytes, after a forced garbage collection. */
    long liveHeapBytes() throws IOException, InterruptedException {
        jcmd("GC.run");
        Matcher usedKilobytes = Pattern.compile("total \\d+K, used (\\d+)K").matcher(jcmd("GC.heap_info"));
        long bytes = 0;
        while (usedKilobytes.find()) {
            bytes += Long.parseLong(usedKilobytes.group(1)) * 1024;
        }
        return bytes;
    }

    /** Runs jcmd on the process and returns its output. */
    private String jcmd(String command) throws IOException, InterruptedException {
        Process jcmd = new ProcessBuilder("jcmd", String.valueOf(process.pid()), command).redirectErrorStream(true).start();
        String text = new String(jcmd.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        jcmd.waitFor(COMMAND_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        return text;
    }

    /** Sends SIGHUP, on which the process rereads its configuration file. */
    void sendHangUp() throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-HUP", String.valueOf(process.pid())).start()
            .waitFor(COMMAND_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Returns the response to GET /metrics, with its head. */
    String metrics() throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.getOutputStream().write("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                .getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** Returns a counter's value from a response of {@link #metrics}. */
    long counter(String name, String metrics) {
        return metrics.lines().filter(line -> line.startsWith("badgermux_" + name + ' '))
            .mapToLong(line -> Long.parseLong(line.substring(line.indexOf(' ') + 1))).findFirst().orElseThrow();
    }

    @Override public void close() {
        process.destroyForcibly();
    }
}

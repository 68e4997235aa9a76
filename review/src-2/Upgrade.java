import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform on days with upgrades: holds the clients' listening socket, which each process inherits as descriptor 0. */
final class Upgrade implements AutoCloseable {
    /** One process of the dispatcher. */
    final class Instance {
        final int consolePort = Stand.freePort();
        final ProcessHandle process;
        private final Path log;
        private final String name;

        /** Starts the command {@code run} of the deploy file with further options. */
        Instance(String options) throws IOException {
            name = "process " + (instances.size() + 1);
            log = stand.tmp.resolve("run" + instances.size());
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(stand.root.resolve("deploy/balancer.toml")));
            if (!run.find()) {
                throw new IOException("no run in the deploy file");
            }
            String line = String.join("\t", log.toString(), "cd '" + stand.root + "' && " + run.group(1) + options,
                "GW_NAME=n1", "GW_CONFIG=" + config, "TMPDIR=" + tmp, "GW_LISTEN=" + Stand.HOST + ':' + port,
                "GW_DISCOVERY=" + discovery.address(), "GW_ADMIN=" + Stand.HOST + ':' + consolePort, "GW_SOCKET_FD=0");
            holder.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
            holder.getOutputStream().flush();
            process = ProcessHandle.of(Long.parseLong(replies.readLine())).orElseThrow();
            instances.add(this);
            stand.note(name + " started, pid " + process.pid());
        }

        /** Returns the answer to an operator's call; an empty text if there is none. */
        String call(String line) {
            try (Socket socket = Stand.connect(consolePort, 1_000)) {
                socket.setSoTimeout(2_000);
                socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
                return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII).strip();
            } catch (IOException e) {
                return "";
            }
        }

        Instance awaitReady() throws IOException {
            for (long until = stand.now() + 15_000; stand.now() < until; Stand.sleep(50)) {
                if (call("HEALTH").startsWith("200")) {
                    stand.note(name + " says yes");
                    return this;
                }
            }
            throw new IOException(name + " does not say yes: " + call("HEALTH"));
        }

        Instance awaitLog(String text) throws IOException {
            for (long until = stand.now() + 15_000; stand.now() < until; Stand.sleep(10)) {
                if (Files.exists(Path.of(log + ".err")) && Files.readString(Path.of(log + ".err")).contains(text)) {
                    return this;
                }
            }
            throw new IOException(name + " does not log: " + text);
        }

        /** SIGTERM, and SIGKILL after the longest deadline (3 s at most) and 0.7 s. */
        void end() throws Exception {
            stand.note("SIGTERM to " + name);
            process.destroy();
            for (long until = stand.now() + 3_700; stand.now() < until && process.isAlive(); Stand.sleep(20)) {
                continue;
            }
            if (process.isAlive()) {
                stand.note("SIGKILL to " + name);
                process.destroyForcibly();
            }
            while (process.isAlive()) {
                Stand.sleep(20);
            }
            stand.note(name + " has ended");
        }

        void copyLog() throws IOException {
            for (String suffix : new String[] {".err", ".out"}) {
                if (Files.exists(Path.of(log + suffix))) {
                    Files.readAllLines(Path.of(log + suffix)).stream().filter(line -> !line.startsWith("badgermux_")).limit(100)
                        .forEach(line -> stand.note(name + " log: " + line));
                }
            }
        }
    }

    final int port;
    private final Stand stand;
    private final Stand.Discovery discovery;
    private final Path config;
    private final Path tmp;
    private final Process holder;
    private final BufferedReader replies;
    private final List<Instance> instances = new ArrayList<>();

    Upgrade(Stand stand, Stand.Discovery discovery, String settings) throws IOException {
        this.stand = stand;
        this.discovery = discovery;
        config = stand.tmp.resolve("config.json");
        tmp = Files.createDirectories(stand.tmp.resolve("tmp"));
        Files.writeString(config, "{\"name\":\"n1\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,"
            + "\"sockets\":1024},\"known\":" + discovery.list() + ",\"settings\":" + settings + "}");
        holder = new ProcessBuilder("perl", stand.root.resolve("src/test/resources/hold.pl").toString()).start();
        replies = holder.inputReader(StandardCharsets.US_ASCII);
        port = Integer.parseInt(replies.readLine());
        stand.onClose(this::close);
    }

    @Override public void close() {
        for (Instance instance : instances) {
            instance.process.destroyForcibly();
            for (int i = 0; i < 100 && instance.process.isAlive(); i++) {
                Stand.sleep(20);
            }
        }
        holder.destroyForcibly();
    }
}

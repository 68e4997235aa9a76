package badgermux.it;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The platform of an upgrade: holds the clients' listening socket, which each process started here inherits. */
final class Holder implements Closeable {
    /** One process of the dispatcher. */
    final class Run {
        final ProcessHandle process;
        private final Path log;
        private int callPort;

        Run(ProcessHandle process, Path log) {
            this.process = process;
            this.log = log;
        }

        /** Waits until its log has a line with this text. */
        Run awaits(String text) {
            Await.until(text, () -> log().contains(text));
            return this;
        }

        /** Waits for its yes. */
        Run awaitsReady() {
            Await.until("its yes", this::isReady);
            return this;
        }

        String log() throws IOException {
            return Files.readString(log.resolveSibling(log.getFileName() + ".err"));
        }

        String output() throws IOException {
            return Files.readString(log.resolveSibling(log.getFileName() + ".out"));
        }

        String call(String line) throws IOException {
            if (callPort == 0) {
                String told = awaits("operators call on ").log();
                callPort = Integer.parseInt(told.replaceAll("(?s).*operators call on [^:]*:(\\d+)\n.*", "$1"));
            }
            return Program.call(callPort, line);
        }

        /** Whether it says that it is ready; no while nobody answers there. */
        boolean isReady() {
            try {
                return call("HEALTH").startsWith("200");
            } catch (IOException e) {
                return false;
            }
        }

        long figure(String name) throws IOException {
            return Program.figure(call("DUMP"), name);
        }

        void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
        }

        /** Waits for its end. */
        void join() {
            Await.until("its end", () -> !process.isAlive());
        }
    }

    final Peer discovery = new Peer();
    final int port;
    private final Path folder;
    private final Process holder;
    private final BufferedReader told;
    private final List<Run> runs = new ArrayList<>();

    Holder(Path folder, String members, int sockets, String settings) throws IOException {
        this.folder = folder;
        Program.config(folder, members, sockets, 192, settings);
        holder = new ProcessBuilder("perl", "src/test/resources/hold.pl").redirectError(ProcessBuilder.Redirect.INHERIT).start();
        told = holder.inputReader(StandardCharsets.US_ASCII);
        port = Integer.parseInt(told.readLine());
    }

    /** Starts a process as the platform does in an upgrade. */
    Run start() throws IOException {
        Path log = folder.resolve("run" + runs.size());
        Files.createFile(folder.resolve("run" + runs.size() + ".err"));
        String line = String.join("\t", log.toString(), Program.command(), "GW_CONFIG=" + folder.resolve("config.json"),
            "TMPDIR=" + folder, "GW_LISTEN=127.0.0.1:" + port, "GW_DISCOVERY=" + discovery.address(),
            "GW_ADMIN=127.0.0.1:0", "GW_SOCKET_FD=0");
        holder.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
        holder.getOutputStream().flush();
        runs.add(new Run(ProcessHandle.of(Long.parseLong(told.readLine())).orElseThrow(), log));
        return runs.get(runs.size() - 1);
    }

    Client client() throws IOException {
        return new Client(port);
    }

    @Override public void close() throws IOException {
        runs.forEach(run -> run.process.destroyForcibly());
        holder.destroy();
        discovery.close();
    }
}

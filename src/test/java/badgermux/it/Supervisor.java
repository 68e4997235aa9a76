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
final class Supervisor implements Closeable {
    /** One process of the dispatcher. */
    final class Instance {
        final ProcessHandle process;
        private final Path log;
        private int consolePort;

        Instance(ProcessHandle process, Path log) {
            this.process = process;
            this.log = log;
        }

        /** Waits until its log has a line with this text. */
        Instance awaitLog(String text) {
            Await.until(text, () -> log().contains(text));
            return this;
        }

        /** Waits for its yes. */
        Instance awaitReady() {
            Await.until("its yes", this::isReady);
            return this;
        }

        String log() throws IOException {
            return Files.readString(log.resolveSibling(log.getFileName() + ".err"));
        }

        String output() throws IOException {
            return Files.readString(log.resolveSibling(log.getFileName() + ".out"));
        }

        String callConsole(String line) throws IOException {
            if (consolePort == 0) {
                String told = awaitLog("operators call on ").log();
                consolePort = Integer.parseInt(told.replaceAll("(?s).*operators call on [^:]*:(\\d+)\n.*", "$1"));
            }
            return Program.callConsole(consolePort, line);
        }

        /** Whether it says that it is ready; no while nobody answers there. */
        boolean isReady() {
            try {
                return callConsole("HEALTH").startsWith("200");
            } catch (IOException e) {
                return false;
            }
        }

        long dumpValue(String name) throws IOException {
            return Program.dumpValue(callConsole("DUMP"), name);
        }

        void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
        }

        /** Waits for its end. */
        void awaitExit() {
            Await.until("its end", () -> !process.isAlive());
        }
    }

    final FakeServer discovery = new FakeServer();
    final int port;
    private final Path folder;
    private final Process process;
    private final BufferedReader replies;
    private final List<Instance> instances = new ArrayList<>();

    Supervisor(Path folder, String members, int sockets, String settings) throws IOException {
        this.folder = folder;
        Program.writeConfig(folder, members, sockets, 192, settings);
        process = new ProcessBuilder("perl", "src/test/resources/hold.pl").redirectError(ProcessBuilder.Redirect.INHERIT).start();
        replies = process.inputReader(StandardCharsets.US_ASCII);
        port = Integer.parseInt(replies.readLine());
    }

    /** Starts a process as the platform does in an upgrade. */
    Instance start() throws IOException {
        Path log = folder.resolve("run" + instances.size());
        Files.createFile(folder.resolve("run" + instances.size() + ".err"));
        String line = String.join("\t", log.toString(), Program.runCommand(), "GW_CONFIG=" + folder.resolve("config.json"),
            "TMPDIR=" + folder, "GW_LISTEN=127.0.0.1:" + port, "GW_DISCOVERY=" + discovery.address(),
            "GW_ADMIN=127.0.0.1:0", "GW_SOCKET_FD=0");
        process.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
        process.getOutputStream().flush();
        instances.add(new Instance(ProcessHandle.of(Long.parseLong(replies.readLine())).orElseThrow(), log));
        return instances.get(instances.size() - 1);
    }

    Client client() throws IOException {
        return new Client(port);
    }

    @Override public void close() throws IOException {
        instances.forEach(run -> run.process.destroyForcibly());
        process.destroy();
        discovery.close();
    }
}

package badgermux.it;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * Stands in for the process supervisor of a hot restart: a helper process holds the clients' listening socket, and each
 * instance of the program started here inherits it.
 */
final class Supervisor implements Closeable {
    /** One process of the program. */
    final class Instance {
        final ProcessHandle process;
        /** The path of the log files without their suffixes .err and .out. */
        private final Path logPrefix;
        private int consolePort;
        private int adminPort;

        Instance(ProcessHandle process, Path logPrefix) {
            this.process = process;
            this.logPrefix = logPrefix;
        }

        /** Waits until its log contains this text. */
        Instance awaitLog(String text) {
            Await.until(text, () -> log().contains(text));
            return this;
        }

        /** Waits until HEALTH reports that it is ready. */
        Instance awaitReady() {
            Await.until("readiness", this::isReady);
            return this;
        }

        /** Returns what it has logged to standard error. */
        String log() throws IOException {
            return Files.readString(logPrefix.resolveSibling(logPrefix.getFileName() + ".err"));
        }

        /** Returns what it has printed to standard output. */
        String output() throws IOException {
            return Files.readString(logPrefix.resolveSibling(logPrefix.getFileName() + ".out"));
        }

        /** Sends a command to its console and returns the reply. */
        String callConsole(String line) throws IOException {
            if (consolePort == 0) {
                String logText = awaitLog("operators call on ").log();
                consolePort = Integer.parseInt(logText.replaceAll("(?s).*operators call on [^:]*:(\\d+)\n.*", "$1"));
            }
            return Program.callConsole(consolePort, line);
        }

        /** Calls its admin API on a new connection. */
        Client.Response callAdmin(String method, String path, String headers, String body) throws IOException {
            if (adminPort == 0) {
                String logText = awaitLog("the admin API listens on ").log();
                adminPort = Integer.parseInt(logText.replaceAll("(?s).*the admin API listens on [^:]*:(\\d+)\n.*", "$1"));
            }
            try (Client client = new Client(adminPort)) {
                return client.callAdmin(method, path, headers, body);
            }
        }

        /** Whether HEALTH reports that it is ready; false if the console does not answer. */
        boolean isReady() {
            try {
                return callConsole("HEALTH").startsWith("200");
            } catch (IOException e) {
                return false;
            }
        }

        /** Returns a value of its DUMP, named without the prefix {@code svc.}. */
        long dumpValue(String name) throws IOException {
            return Program.dumpValue(callConsole("DUMP"), name);
        }

        /** Sends a signal, named without SIG. */
        void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
        }

        /**
         * Stops the process by SIGSTOP, as if it hung, and waits until none of its threads runs. Until then it could still accept
         * a connection, which no other process can answer.
         */
        void hang() throws IOException, InterruptedException {
            signal("STOP");
            Await.until("all threads stopped", () -> {
                try (Stream<Path> threads = Files.list(Path.of("/proc", String.valueOf(process.pid()), "task"))) {
                    return threads.allMatch(Instance::isStopped);
                }
            });
        }

        /** Whether a thread's state, behind its name in parentheses, is T. A thread that has ended does not run either. */
        private static boolean isStopped(Path thread) {
            try {
                String status = Files.readString(thread.resolve("stat"));
                return status.startsWith(" T ", status.lastIndexOf(')') + 1);
            } catch (IOException e) {
                return true;
            }
        }

        /** Waits until the process has exited. */
        void awaitExit() {
            Await.until("exit", () -> !process.isAlive());
        }
    }

    final FakeServer discovery = FakeServer.discovery();
    /** The port of the clients' listening socket. */
    final int port;
    private final Path folder;
    private final Process process;
    private final BufferedReader replies;
    private final List<Instance> instances = new ArrayList<>();

    /**
     * Starts the helper process and writes the configuration of the instances.
     *
     * @param folder  their TMPDIR, which also gets the configuration and the log files
     * @param members the backends of the configuration, as JSON
     */
    Supervisor(Path folder, String members, int sockets, String settings) throws IOException {
        this.folder = folder;
        Program.writeConfig(folder, members, sockets, 192, settings);
        process = new ProcessBuilder("perl", "src/test/resources/hold.pl").redirectError(ProcessBuilder.Redirect.INHERIT).start();
        replies = process.inputReader(StandardCharsets.US_ASCII);
        port = Integer.parseInt(replies.readLine());
    }

    /** Starts an instance with the run command of this build. */
    Instance start() throws IOException {
        return start(Program.runCommand());
    }

    /** Starts an instance with a shell command, as the supervisor does in a hot restart. */
    Instance start(String command) throws IOException {
        Path logPrefix = folder.resolve("run" + instances.size());
        Files.createFile(folder.resolve("run" + instances.size() + ".err"));
        String line = String.join("\t", logPrefix.toString(), command, "GW_CONFIG=" + folder.resolve("config.json"),
            "TMPDIR=" + folder, "GW_LISTEN=127.0.0.1:" + port, "GW_DISCOVERY=" + discovery.address(),
            "GW_ADMIN=127.0.0.1:0", "GW_SOCKET_FD=0");
        process.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
        process.getOutputStream().flush();
        instances.add(new Instance(ProcessHandle.of(Long.parseLong(replies.readLine())).orElseThrow(), logPrefix));
        return instances.get(instances.size() - 1);
    }

    /** Connects as a client. */
    Client client() throws IOException {
        return new Client(port);
    }

    @Override public void close() throws IOException {
        instances.forEach(instance -> instance.process.destroyForcibly());
        process.destroy();
        discovery.close();
    }
}

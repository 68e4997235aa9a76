package badgermux.it;

import static badgermux.it.Program.member;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the packaged program through edge cases of shutdown, of clients that disconnect, of duplicate responses and of
 * exhausted resources: a full log pipe and no free file descriptor.
 */
@Timeout(60)
class ShutdownEdgeCasesIT {
    @TempDir private Path folder;
    private FakeServer backend;

    @BeforeEach void start() throws IOException {
        backend = new FakeServer();
    }

    @AfterEach void stop() throws IOException {
        backend.close();
    }

    private Program startProgram(String settings) throws IOException {
        return new Program(folder, member("s-1", backend, "east", "SERVING"), 1024, settings);
    }

    private static long millisSince(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    /**
     * Where all deadlines are 2 s, SIGKILL may come 2.7 s after SIGTERM. Final answers after 3.3 s, as for longer deadlines,
     * would be too late.
     */
    @Test void finalAnswersComeEarlierWhenAllDeadlinesAreShort() throws IOException, InterruptedException {
        String settings = Program.SETTINGS.replace("5000", "2000").replace("4000", "1500");
        try (Program program = startProgram(settings); Client open = program.client()) {
            open.send(Client.request("/preview", "2000m", "", ""));
            backend.take().sendStarted();
            long sigtermNanos = System.nanoTime();
            program.process.toHandle().destroy();
            Await.until("a time from which a deadline of 2 s ends after SIGKILL", () -> millisSince(sigtermNanos) >= 1_000);
            try (Client lateClient = program.client()) {
                lateClient.send(Client.request("/preview", "2000m", "", ""));
                backend.take().sendStarted();
                assertEquals(503, open.read().status());
                assertEquals(503, lateClient.read().status(), "a client retry is harmless");
            }
            long answeredMillis = millisSince(sigtermNanos);
            assertTrue(answeredMillis > 2_150 && answeredMillis < 2_650,
                "before the deadline of the late request and before SIGKILL at 2.7 s: " + answeredMillis);
        }
    }

    /**
     * After the final answers, connections are still accepted until the answered clients have closed. Requests on them are
     * refused and not sent to a backend.
     */
    @Test void refusesRequestsAfterFinalAnswers() throws IOException, InterruptedException {
        try (Program program = startProgram(Program.SETTINGS)) {
            try (Client open = program.client()) {
                open.send(Client.request("/preview", "5000m", "", ""));
                backend.take().sendStarted();
                program.process.toHandle().destroy();
                assertEquals(503, open.read().status());
                try (Client lateClient = program.client()) {
                    assertEquals(503, lateClient.send(Client.request("/preview", "5000m", "", "")).read().status());
                }
            }
            assertTrue(program.awaitOutput().contains("badgermux_reqs_taken 1\n"));
            assertNull(backend.poll());
        }
    }

    /**
     * A client whose request is incomplete at shutdown gets a refusal: if the connection were only closed, input that is on
     * the way would reset it, and the client would not learn the outcome.
     */
    @Test void refusesHalfReceivedRequestAtShutdown() throws IOException, InterruptedException {
        try (Program program = startProgram(Program.SETTINGS); Client partial = program.client()) {
            partial.send("POST /preview HTTP/1.1\r\nHost: x\r\n");
            Await.until("the beginning of the request has been read", () -> program.counterValue("client_connections") >= 2);
            program.process.toHandle().destroy();
            partial.send("A: b\r\n");
            assertEquals(503, partial.read().status());
            assertTrue(partial.isClosedByServer());
            assertTrue(program.awaitOutput().contains("badgermux_reqs_taken 0\n"));
        }
    }

    /**
     * The program stops reading behind 16 KiB of pipelined input. It must still see that the client closes the connection behind
     * that input.
     */
    @Test void detectsDisconnectBehindPipelinedInput() throws IOException, InterruptedException {
        try (Program program = startProgram(Program.SETTINGS)) {
            FakeServer.Exchange exchange;
            long startNanos = System.nanoTime();
            try (Client client = program.client()) {
                client.send(Client.request("/preview", "5000m", "", ""));
                exchange = backend.take().sendStarted();
                for (int i = 0; i < 4; i++) {
                    client.send(Client.request("/preview", "5000m", "", "x".repeat(60_000)));
                }
            }
            assertTrue(exchange.isClosedByClient(), "the attempt is cancelled");
            assertTrue(millisSince(startNanos) < 3_000, "at once, not at the deadline");
            Await.until("the client is counted as gone", () -> program.counterValue("clients_gone") == 1);
            assertEquals(0, program.counterValue("bad_messages"));
        }
    }

    /**
     * A response without an id belongs to the request that is open on its connection. A duplicate "not processed" on a reused
     * connection would make the next request there run twice.
     */
    @Test void duplicateResponseWithoutIdDoesNotEndNextRequest() throws IOException, InterruptedException {
        try (Program program = startProgram(Program.SETTINGS); Client client = program.client()) {
            client.send(Client.request("/pay", "5000m", "", ""));
            FakeServer.Exchange first = backend.take();
            first.reply("503 Busy\r\nX-Not-Processed: 1", "");
            FakeServer.Exchange second = backend.take();
            try {
                first.reply("503 Busy\r\nX-Not-Processed: 1", "");
            } catch (IOException e) {
                assertTrue(first.isClosedByClient(), "the connection is not reused");
            }
            assertTrue(first.isClosedByClient(), "the connection is not reused");
            second.sendResult("ran once");
            assertEquals("ran once", client.read().body());
            assertNull(backend.poll());
        }
    }

    /**
     * Nobody reads the pipe that the log is written to. If the event loop wrote the log itself, it would block once the pipe
     * is full, and with it all clients.
     */
    @Test void servesAndExitsWhileLogPipeIsFull() throws IOException, InterruptedException {
        String members = IntStream.range(0, 1_500)
            .mapToObj(i -> member("backend-of-a-long-name-" + i, backend, "west", "SERVING")).collect(Collectors.joining(","));
        try (Program program = startProgram(Program.SETTINGS); Client client = program.client()) {
            program.discovery.take().reply("200 OK", "{\"revision\":2,\"complete\":true,\"members\":[" + members + "]}");
            program.discovery.take();
            // The log lines about a list are written 0.5 s after it: requests are sent before, at and after that time.
            long listedNanos = System.nanoTime();
            while (millisSince(listedNanos) < 1_500) {
                client.send(Client.request("/preview", "5000m", "", ""));
                backend.take().sendResult("r");
                assertEquals(200, client.read().status());
            }
            program.process.toHandle().destroy();
            assertTrue(program.process.waitFor(FakeServer.TIMEOUT_SECONDS, TimeUnit.SECONDS), "the program exits nevertheless");
            assertEquals(143, program.process.exitValue());
        }
    }

    /** The configuration is read from a FIFO that nobody writes to, so SIGTERM arrives before anything has been started. */
    @Test void exitsAtOnceOnSigtermDuringStartup() throws IOException, InterruptedException {
        Path fifo = folder.resolve("config.json");
        assertEquals(0, new ProcessBuilder("mkfifo", fifo.toString()).start().waitFor());
        try (Program program = new Program(fifo)) {
            program.process.toHandle().destroy();
            assertTrue(program.process.waitFor(FakeServer.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
        Files.delete(fifo);
    }

    /**
     * Without a free file descriptor no connection can be opened. The attempt has to end at once, not only at the deadline of
     * its request.
     */
    @Test void refusesAtOnceWhenNoDescriptorIsLeft() throws IOException, InterruptedException {
        try (Program program = startProgram(Program.SETTINGS); Client client = program.client()) {
            program.discovery.take();
            assertEquals(200, client.get("/healthz").status());
            String pid = String.valueOf(program.process.pid());
            Path descriptors = Path.of("/proc", pid, "fd");
            long descriptorsBefore = countEntries(descriptors);
            client.send(Client.request("/preview", "5000m", "", ""));
            FakeServer.Exchange first = backend.take();
            first.sendResult("r");
            first.reset();
            assertEquals(200, client.read().status());
            Await.until("the descriptor is closed", () -> countEntries(descriptors) == descriptorsBefore);
            int firstFree = 0;
            while (Files.exists(descriptors.resolve(String.valueOf(firstFree)), LinkOption.NOFOLLOW_LINKS)) {
                firstFree++;
            }
            assertEquals(0, new ProcessBuilder("prlimit", "--pid", pid, "--nofile=" + firstFree + ":").start().waitFor());
            long sentNanos = System.nanoTime();
            client.send(Client.request("/preview", "5000m", "", ""));
            assertEquals(503, client.read().status(), "the request did not run");
            assertTrue(millisSince(sentNanos) < 3_000, "at once, not at the deadline");
            assertEquals(0, new ProcessBuilder("prlimit", "--pid", pid, "--nofile=1024:").start().waitFor());
            client.send(Client.request("/preview", "5000m", "", ""));
            backend.take().sendResult("r");
            assertEquals(200, client.read().status());
            assertEquals(1, program.counterValue("backend_connections_open"),
                "the connection that failed to open is not counted");
        }
    }

    private static long countEntries(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.count();
        }
    }

    @Test void ignoresRepeatedSigterm() throws IOException, InterruptedException {
        try (Program program = startProgram(Program.SETTINGS); Client client = program.client()) {
            client.send(Client.request("/preview", "5000m", "", ""));
            FakeServer.Exchange exchange = backend.take().sendStarted();
            for (int i = 0; i < 3; i++) {
                new ProcessBuilder("kill", "-TERM", String.valueOf(program.process.pid())).start().waitFor();
            }
            exchange.sendLine("done", ",\"result\":\"r\"").endResponse();
            assertEquals("r", client.read().body());
            assertTrue(program.awaitOutput().contains("badgermux_reqs_taken 1\n"));
            assertEquals(143, program.process.waitFor());
        }
    }
}

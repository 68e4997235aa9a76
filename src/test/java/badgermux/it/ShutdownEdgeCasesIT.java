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

/** The real program at its end, with clients that leave, runners that answer twice, and a log that nobody reads. */
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

    /** Where all deadlines are 2 s SIGKILL may come after 2.7 s: at 3.3 s it had come. */
    @Test void finalAnswersComeEarlierWhenAllDeadlinesAreShort() throws IOException, InterruptedException {
        String settings = Program.SETTINGS.replace("5000", "2000").replace("4000", "1500");
        try (Program program = startProgram(settings); Client open = program.client()) {
            open.send(Client.request("/preview", "2000m", "", ""));
            backend.take().sendStarted();
            long term = System.nanoTime();
            program.process.toHandle().destroy();
            Await.until("a time whose own 2 s end behind the kill", () -> millisSince(term) >= 1_000);
            try (Client fresh = program.client()) {
                fresh.send(Client.request("/preview", "2000m", "", ""));
                backend.take().sendStarted();
                assertEquals(503, open.read().status());
                assertEquals(503, fresh.read().status(), "asking again is harmless");
            }
            long answered = millisSince(term);
            assertTrue(answered > 2_150 && answered < 2_650, "before its own time, and before the kill at 2.7 s: " + answered);
        }
    }

    /** While a client that was answered last has not closed, others still get in; nothing of theirs may be begun. */
    @Test void refusesRequestsAfterFinalAnswers() throws IOException, InterruptedException {
        try (Program program = startProgram(Program.SETTINGS)) {
            try (Client open = program.client()) {
                open.send(Client.request("/preview", "5000m", "", ""));
                backend.take().sendStarted();
                program.process.toHandle().destroy();
                assertEquals(503, open.read().status());
                try (Client late = program.client()) {
                    assertEquals(503, late.send(Client.request("/preview", "5000m", "", "")).read().status());
                }
            }
            assertTrue(program.awaitOutput().contains("badgermux_reqs_taken 1\n"));
            assertNull(backend.poll());
        }
    }

    /** Half a request at the end of the changeover is told so: a bare close would lose what crosses it. */
    @Test void refusesHalfReceivedRequestAtShutdown() throws IOException, InterruptedException {
        try (Program program = startProgram(Program.SETTINGS); Client half = program.client()) {
            half.send("POST /preview HTTP/1.1\r\nHost: x\r\n");
            Await.until("its beginning has been read", () -> program.counterValue("client_connections") >= 2);
            program.process.toHandle().destroy();
            half.send("A: b\r\n");
            assertEquals(503, half.read().status());
            assertTrue(half.isClosedByServer());
            assertTrue(program.awaitOutput().contains("badgermux_reqs_taken 0\n"));
        }
    }

    /** Reading was off behind 16 KiB that were sent ahead: the leave that lay behind them went unseen. */
    @Test void detectsDisconnectBehindPipelinedInput() throws IOException, InterruptedException {
        try (Program program = startProgram(Program.SETTINGS)) {
            FakeServer.Exchange call;
            long before = System.nanoTime();
            try (Client client = program.client()) {
                client.send(Client.request("/preview", "5000m", "", ""));
                call = backend.take().sendStarted();
                for (int i = 0; i < 4; i++) {
                    client.send(Client.request("/preview", "5000m", "", "x".repeat(60_000)));
                }
            }
            assertTrue(call.isClosedByClient(), "its attempt is given up");
            assertTrue(millisSince(before) < 3_000, "at once, and not when its time is over");
            Await.until("its leave", () -> program.counterValue("clients_gone") == 1);
            assertEquals(0, program.counterValue("bad_messages"));
        }
    }

    /** A second "not processed" had the next request on that connection sent again while its runner ran it. */
    @Test void duplicateResponseWithoutIdDoesNotEndNextRequest() throws IOException, InterruptedException {
        try (Program program = startProgram(Program.SETTINGS); Client client = program.client()) {
            client.send(Client.request("/pay", "5000m", "", ""));
            FakeServer.Exchange first = backend.take();
            first.reply("503 Busy\r\nX-Not-Processed: 1", "");
            FakeServer.Exchange second = backend.take();
            try {
                first.reply("503 Busy\r\nX-Not-Processed: 1", "");
            } catch (IOException e) {
                assertTrue(first.isClosedByClient(), "its connection is not used again");
            }
            assertTrue(first.isClosedByClient(), "its connection is not used again");
            second.sendResult("ran once");
            assertEquals("ran once", client.read().body());
            assertNull(backend.poll());
        }
    }

    /** The event loop wrote the log: with its pipe full it stood still, and with it all clients. */
    @Test void servesAndExitsWhileLogPipeIsFull() throws IOException, InterruptedException {
        String many = IntStream.range(0, 1_500).mapToObj(i -> member("runner-of-a-long-name-" + i, backend, "west", "SERVING"))
            .collect(Collectors.joining(","));
        try (Program program = startProgram(Program.SETTINGS); Client client = program.client()) {
            program.discovery.take().reply("200 OK", "{\"revision\":2,\"complete\":true,\"members\":[" + many + "]}");
            program.discovery.take();
            // The lines of a list come due half a second behind it: requests go on coming before, at and after that time.
            long listed = System.nanoTime();
            while (millisSince(listed) < 1_500) {
                client.send(Client.request("/preview", "5000m", "", ""));
                backend.take().sendResult("r");
                assertEquals(200, client.read().status());
            }
            program.process.toHandle().destroy();
            assertTrue(program.process.waitFor(FakeServer.TIMEOUT_SECONDS, TimeUnit.SECONDS), "it ends all the same");
            assertEquals(143, program.process.exitValue());
        }
    }

    /** A fifo stands where the configuration is to be read: SIGTERM comes before anything was begun. */
    @Test void exitsAtOnceOnSigtermDuringStartup() throws IOException, InterruptedException {
        Path fifo = folder.resolve("config.json");
        assertEquals(0, new ProcessBuilder("mkfifo", fifo.toString()).start().waitFor());
        try (Program program = new Program(fifo)) {
            program.process.toHandle().destroy();
            assertTrue(program.process.waitFor(FakeServer.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
        Files.delete(fifo);
    }

    /** Where there is no descriptor left a connection can't be opened: its attempt waited until its time was over. */
    @Test void refusesAtOnceWhenNoDescriptorIsLeft() throws IOException, InterruptedException {
        try (Program program = startProgram(Program.SETTINGS); Client client = program.client()) {
            program.discovery.take();
            assertEquals(200, client.get("/healthz").status());
            String pid = String.valueOf(program.process.pid());
            Path open = Path.of("/proc", pid, "fd");
            long before = countEntries(open);
            client.send(Client.request("/preview", "5000m", "", ""));
            FakeServer.Exchange first = backend.take();
            first.sendResult("r");
            first.reset();
            assertEquals(200, client.read().status());
            Await.until("its descriptor's end", () -> countEntries(open) == before);
            int free = 0;
            while (Files.exists(open.resolve(String.valueOf(free)), LinkOption.NOFOLLOW_LINKS)) {
                free++;
            }
            assertEquals(0, new ProcessBuilder("prlimit", "--pid", pid, "--nofile=" + free + ":").start().waitFor());
            long sent = System.nanoTime();
            client.send(Client.request("/preview", "5000m", "", ""));
            assertEquals(503, client.read().status(), "nothing of it ran");
            assertTrue(millisSince(sent) < 3_000, "at once, and not when its time is over");
            assertEquals(0, new ProcessBuilder("prlimit", "--pid", pid, "--nofile=1024:").start().waitFor());
            client.send(Client.request("/preview", "5000m", "", ""));
            backend.take().sendResult("r");
            assertEquals(200, client.read().status());
            assertEquals(1, program.counterValue("backend_connections_open"), "none counts that never was");
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
            FakeServer.Exchange call = backend.take().sendStarted();
            for (int i = 0; i < 3; i++) {
                new ProcessBuilder("kill", "-TERM", String.valueOf(program.process.pid())).start().waitFor();
            }
            call.sendLine("done", ",\"result\":\"r\"").endResponse();
            assertEquals("r", client.read().body());
            assertTrue(program.awaitOutput().contains("badgermux_reqs_taken 1\n"));
            assertEquals(143, program.process.waitFor());
        }
    }
}

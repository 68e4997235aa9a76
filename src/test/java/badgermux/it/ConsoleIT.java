package badgermux.it;

import static badgermux.it.Program.member;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs the packaged program and its operators' console: commands, cordoned backends, and the metrics compared with what the
 * backends have seen.
 */
@Timeout(60)
class ConsoleIT {
    private static final long SECOND_NANOS = 1_000_000_000L;

    @TempDir private Path folder;
    private FakeServer firstBackend;
    private FakeServer secondBackend;
    private Program program;

    @BeforeEach void start() throws IOException {
        firstBackend = new FakeServer();
        secondBackend = new FakeServer();
        program = Program.startWithConsole(folder, members("SERVING"), 256);
    }

    private String members(String phaseOfFirst) {
        return member("s-1", firstBackend, "east", phaseOfFirst) + "," + member("s-2", secondBackend, "east", "SERVING");
    }

    @AfterEach void stop() throws IOException {
        program.close();
        firstBackend.close();
        secondBackend.close();
    }

    /** Serves requests one after another; returns how many of them the first backend got. */
    private int countServedByFirst(int requests) throws IOException, InterruptedException {
        int served = 0;
        try (Client client = program.client()) {
            for (int i = 0; i < requests; i++) {
                client.send(Client.request("/preview", "5000m", "", ""));
                FakeServer.Exchange exchange = Await.nextExchange(firstBackend, secondBackend);
                served += exchange.receiver == firstBackend ? 1 : 0;
                exchange.sendResult("r");
                assertEquals(200, client.read().status());
            }
        }
        return served;
    }

    @Test void answersEachCommand() throws IOException {
        assertEquals("200 ready\n", program.callConsole("HEALTH"));
        assertTrue(program.callConsole("DUMP").matches("200 .*\n(svc\\.[a-z._-]+:\\d+\\|[cg]\n)+EOF\n"));
        assertEquals(2, program.dumpValue("cluster_size"));
        for (String line : List.of("", "NO", "OFFLINE", "OFFLINE s-9", "ONLINE s-9", "HEALTH x", "x".repeat(5000), "\0\1")) {
            assertTrue(program.callConsole(line).startsWith("400 "), line);
        }
    }

    @ParameterizedTest @ValueSource(strings = {"HEALTH\n", "HEALTH\r\n", "HEALTH"})
    void acceptsCommandInPiecesEndedByNewlineOrEndOfInput(String line) throws IOException {
        try (Socket socket = program.consoleSocket()) {
            socket.setTcpNoDelay(true);
            for (byte b : line.getBytes(StandardCharsets.US_ASCII)) {
                socket.getOutputStream().write(b);
            }
            if (!line.endsWith("\n")) {
                socket.shutdownOutput();
            }
            assertEquals("200 ready\n", new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII));
        }
    }

    /** A hundred connections with an incomplete command delay neither requests nor other commands. */
    @Test void hundredIncompleteCommandsDelayNobody() throws IOException, InterruptedException {
        List<Socket> openSockets = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            openSockets.add(program.consoleSocket());
            openSockets.get(i).getOutputStream().write("HEAL".getBytes(StandardCharsets.US_ASCII));
        }
        for (int i = 0; i < 20; i++) {
            countServedByFirst(2);
            long startNanos = System.nanoTime();
            assertEquals("200 ready\n", program.callConsole("HEALTH"));
            assertTrue(System.nanoTime() - startNanos < SECOND_NANOS);
        }
        for (Socket socket : openSockets) {
            socket.close();
        }
    }

    /** Client connections cannot use up the descriptors that are reserved for the console. */
    @Test void clientFloodDoesNotBlockConsole() throws IOException {
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            clients.add(program.client().send("POST /preview HTTP/1.1\r\n"));
        }
        long startNanos = System.nanoTime();
        assertEquals("200 ready\n", program.callConsole("HEALTH"));
        assertTrue(System.nanoTime() - startNanos < SECOND_NANOS);
        for (Client client : clients) {
            client.close();
        }
    }

    @Test void cordonedBackendGetsNothingWhateverListSays() throws IOException, InterruptedException {
        program.callConsole("OFFLINE s-2");
        assertEquals(5, countServedByFirst(5));
        program.callConsole("ONLINE s-2");
        assertEquals("200 out: s-1\n", program.callConsole("OFFLINE s-1"));
        assertEquals("200 out: s-1\n", program.callConsole("OFFLINE s-1"));
        assertEquals(1, program.dumpValue("cluster_unhealthy"));
        assertEquals(0, countServedByFirst(20));
        for (int i = 0; i < 3; i++) {     // removed, added again, and a full list after SIGHUP
            if (i == 2) {
                program.sendSighup();
            }
            String list = i == 0 ? member("s-1", firstBackend, "east", "DELETED") : members("SERVING");
            program.discovery.take().reply("200 OK", "{\"revision\":" + (9 + i) + ",\"complete\":" + (i == 2)
                + ",\"members\":[" + list + "]}");
            int listsBefore = i;
            Await.until("the list", () -> program.counterValue("director_lists") > listsBefore);
            assertEquals(0, countServedByFirst(10), list);
        }
        assertEquals(1, program.counterValue("reloads"));
        assertEquals(1, program.dumpValue("cluster_unhealthy"));
    }

    /**
     * Cordons are stored under TMPDIR. After a restart they are still in force, a foreign file in their folder does no harm,
     * and a single ONLINE ends one.
     */
    @Test void cordonSurvivesRestartAndOneOnlineEndsIt() throws IOException, InterruptedException {
        assertEquals("200 out: s-1\n", program.callConsole("OFFLINE s-1"));
        assertEquals("200 out: s-1\n", program.callConsole("OFFLINE s-1"));
        Files.writeString(folder.resolve("badgermux-n/out/rubbish"), "x");
        program.close();
        program.process.onExit().join();
        program = Program.startWithConsole(folder, members("SERVING"), 256);
        assertEquals(0, countServedByFirst(20));
        assertEquals("200 back: s-1\n", program.callConsole("ONLINE s-1"));
        assertEquals(0, program.dumpValue("cluster_unhealthy"));
        program.callConsole("OFFLINE s-2");
        assertEquals(5, countServedByFirst(5));
        program.close();
        program.process.onExit().join();
        program = Program.startWithConsole(folder, members("SERVING"), 256);
        assertEquals(5, countServedByFirst(5));
    }

    @Test void onlineEndsCordonOfBackendThatLeftList() throws IOException, InterruptedException {
        assertEquals("200 out: s-1\n", program.callConsole("OFFLINE s-1"));
        program.discovery.take().reply("200 OK", "{\"revision\":9,\"complete\":true,\"members\":["
            + member("s-2", secondBackend, "east", "SERVING") + "]}");
        program.discovery.take();
        assertEquals(1, program.dumpValue("cluster_size"));
        assertTrue(program.callConsole("OFFLINE s-1").startsWith("200"));
        assertTrue(program.callConsole("ONLINE s-1").startsWith("200"));
        assertTrue(program.callConsole("ONLINE s-1").startsWith("400"), "no backend has that id any more");
    }

    /** Brings about each kind of outcome and compares the metrics with what backends and clients have seen. */
    @Test void metricsMatchWhatPeersSaw() throws IOException, InterruptedException {
        program.callConsole("OFFLINE s-1");
        int sends = 0;
        Client leavingClient = program.client();
        try (Client client = program.client(); Client invalidClient = program.client()) {
            for (int i = 0; i < 3; i++) {       // served
                client.send(Client.request("/preview", "5000m", "", ""));
                secondBackend.take().sendResult("r");
                sends++;
                assertEquals(200, client.read().status());
            }
            client.send(Client.request("/preview", "5000m", "", ""));   // rejected as not processed, then served
            secondBackend.take().reply("503 Busy\r\nX-Not-Processed: 1", "");
            secondBackend.take().sendResult("r");
            sends += 2;
            assertEquals(200, client.read().status());
            client.send(Client.request("/pay", "5000m", "", ""));   // failed because it may have run
            secondBackend.take().reply("500 Error", "");
            sends++;
            assertEquals(500, client.read().status());
            client.send(Client.request("/pay", "1500m", "", ""));   // the deadline passes
            secondBackend.take();
            sends++;
            assertEquals(504, client.read().status());
            leavingClient.send(Client.request("/pay", "5000m", "", ""));    // the client disconnects
            secondBackend.take();
            sends++;
            assertEquals(1, program.dumpValue("current"));
            leavingClient.close();
            invalidClient.send("POST /preview HTTP/1.1\r\nHost: x\r\n\r\n");    // not a valid request
            assertEquals(400, invalidClient.read().status());
            program.callConsole("OFFLINE s-2");
            client.send(Client.request("/preview", "300m", "", ""));    // no backend is left
            int deferred = client.read().status() == 503 ? 1 : 0;
            Await.until("all requests have ended", () -> program.dumpValue("current") == 0);
            assertEquals(4, program.dumpValue("transactions.preview.answered"));
            assertEquals(deferred, program.dumpValue("transactions.preview.deferred"));
            assertEquals(1 - deferred, program.dumpValue("transactions.preview.errored"));
            assertEquals(0, program.dumpValue("transactions.pay.answered"));
            assertEquals(2, program.dumpValue("transactions.pay.errored"));
            assertEquals(sends, program.dumpValue("sends"));
            assertEquals(2, program.dumpValue("cluster_unhealthy"));
            assertEquals(4, program.counterValue("answers_served"));
            assertEquals(sends, program.counterValue("fetches_written"));
            assertNull(firstBackend.poll());
        }
    }

    @Test void hedgedRequestCountsTwoSendsAndOneAnswer() throws IOException, InterruptedException {
        program.close();
        program = Program.startWithConsole(folder, members("SERVING"), 256,
            Program.SETTINGS.replace("\"Cancel\"", "\"ParallelTries\":true,\"Cancel\""));
        try (Client client = program.client()) {
            client.send(Client.request("/preview", "5000m", "", ""));
            FakeServer.Exchange firstAttempt = Await.nextExchange(firstBackend, secondBackend);
            // The first attempt does not start, so the other backend gets a second one.
            Await.nextExchange(firstBackend, secondBackend).sendResult("copy");
            assertEquals("copy", client.read().body());
            assertTrue(firstAttempt.isClosedByClient(), "the first attempt is cancelled");
            assertEquals(2, program.dumpValue("sends"));
            assertEquals(1, program.dumpValue("transactions.preview.answered"));
            assertEquals(0, program.dumpValue("current"));
        }
    }

    @Test void countsRequestsServedDuringShutdown() throws IOException, InterruptedException {
        try (Client client = program.client()) {
            client.send(Client.request("/preview", "5000m", "", ""));
            FakeServer.Exchange exchange = Await.nextExchange(firstBackend, secondBackend);
            program.process.toHandle().destroy();
            Await.until("the beginning of the shutdown",
                () -> program.callConsole("HEALTH").startsWith("400 this process is ending"));
            assertEquals(1, program.dumpValue("current"));
            exchange.sendResult("r");
            assertEquals(200, client.read().status());
            assertTrue(program.awaitOutput().contains("badgermux_answers_served{class=\"preview\"} 1\n"));
        }
    }

    /**
     * A cordon that cannot be stored is rejected and has no effect. A process that starts in this state serves anyway and
     * keeps cordons in memory only.
     */
    @Test void undoesAndRejectsCordonThatCannotBeStored() throws IOException, InterruptedException {
        Path cordonFolder = folder.resolve("badgermux-n/out");
        Files.delete(cordonFolder);
        Files.writeString(cordonFolder, "not a folder");
        assertTrue(program.callConsole("OFFLINE s-1").startsWith("400 it can't be kept"));
        assertEquals(0, program.dumpValue("cluster_unhealthy"));
        program.close();
        program.process.onExit().join();
        program = Program.startWithConsole(folder, members("SERVING"), 256);     // starts, but stores nothing
        assertEquals("200 out: s-1\n", program.callConsole("OFFLINE s-1"));
        assertEquals(0, countServedByFirst(5));
    }

    @Test void withoutAdminAddressNothingListensAndNoFileIsCreated() throws IOException {
        Path emptyFolder = Files.createDirectory(folder.resolve("none"));
        try (Program withoutConsole = new Program(emptyFolder, members("SERVING"))) {
            assertEquals(0, withoutConsole.counterValue("console_calls"));
        }
        try (var files = Files.list(emptyFolder)) {
            assertEquals(List.of("config.json"), files.map(file -> file.getFileName().toString()).toList());
        }
    }
}

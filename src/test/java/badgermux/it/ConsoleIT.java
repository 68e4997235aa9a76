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

/** Operators' calls on the real program, its figures against the peers' ledgers, and runners cordoned. */
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

    /** Serves requests one after another; how many of them came to the first backend. */
    private int countServedByFirst(int requests) throws IOException, InterruptedException {
        int came = 0;
        try (Client client = program.client()) {
            for (int i = 0; i < requests; i++) {
                client.send(Client.request("/preview", "5000m", "", ""));
                FakeServer.Exchange call = Await.nextExchange(firstBackend, secondBackend);
                came += call.receiver == firstBackend ? 1 : 0;
                call.sendResult("r");
                assertEquals(200, client.read().status());
            }
        }
        return came;
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

    @Test void hundredIncompleteCommandsDelayNobody() throws IOException, InterruptedException {
        List<Socket> holders = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            holders.add(program.consoleSocket());
            holders.get(i).getOutputStream().write("HEAL".getBytes(StandardCharsets.US_ASCII));
        }
        for (int i = 0; i < 20; i++) {
            countServedByFirst(2);
            long before = System.nanoTime();
            assertEquals("200 ready\n", program.callConsole("HEALTH"));
            assertTrue(System.nanoTime() - before < SECOND_NANOS);
        }
        for (Socket holder : holders) {
            holder.close();
        }
    }

    @Test void clientFloodDoesNotBlockConsole() throws IOException {
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            clients.add(program.client().send("POST /preview HTTP/1.1\r\n"));
        }
        long before = System.nanoTime();
        assertEquals("200 ready\n", program.callConsole("HEALTH"));
        assertTrue(System.nanoTime() - before < SECOND_NANOS);
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
        for (int i = 0; i < 3; i++) {     // gone, back, and all anew, which SIGHUP brings
            if (i == 2) {
                program.sendSighup();
            }
            String list = i == 0 ? member("s-1", firstBackend, "east", "DELETED") : members("SERVING");
            program.discovery.take().reply("200 OK", "{\"revision\":" + (9 + i) + ",\"complete\":" + (i == 2)
                + ",\"members\":[" + list + "]}");
            int lists = i;
            Await.until("the list", () -> program.counterValue("director_lists") > lists);
            assertEquals(0, countServedByFirst(10), list);
        }
        assertEquals(1, program.counterValue("reloads"));
        assertEquals(1, program.dumpValue("cluster_unhealthy"));
    }

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
        assertTrue(program.callConsole("ONLINE s-1").startsWith("400"), "nobody has that id now");
    }

    /** Every ending once or more; what the program counts against what the peers have seen. */
    @Test void metricsMatchWhatPeersSaw() throws IOException, InterruptedException {
        program.callConsole("OFFLINE s-1");
        int sends = 0;
        Client leaver = program.client();
        try (Client client = program.client(); Client bad = program.client()) {
            for (int i = 0; i < 3; i++) {       // served
                client.send(Client.request("/preview", "5000m", "", ""));
                secondBackend.take().sendResult("r");
                sends++;
                assertEquals(200, client.read().status());
            }
            client.send(Client.request("/preview", "5000m", "", ""));   // handed back, then served
            secondBackend.take().reply("503 Busy\r\nX-Not-Processed: 1", "");
            secondBackend.take().sendResult("r");
            sends += 2;
            assertEquals(200, client.read().status());
            client.send(Client.request("/pay", "5000m", "", ""));   // failed: it may have run
            secondBackend.take().reply("500 Error", "");
            sends++;
            assertEquals(500, client.read().status());
            client.send(Client.request("/pay", "1500m", "", ""));   // time runs out
            secondBackend.take();
            sends++;
            assertEquals(504, client.read().status());
            leaver.send(Client.request("/pay", "5000m", "", ""));    // the client leaves
            secondBackend.take();
            sends++;
            assertEquals(1, program.dumpValue("current"));
            leaver.close();
            bad.send("POST /preview HTTP/1.1\r\nHost: x\r\n\r\n");    // no request at all
            assertEquals(400, bad.read().status());
            program.callConsole("OFFLINE s-2");
            client.send(Client.request("/preview", "300m", "", ""));    // nobody may take it
            int refused = client.read().status() == 503 ? 1 : 0;
            Await.until("all have ended", () -> program.dumpValue("current") == 0);
            assertEquals(4, program.dumpValue("transactions.preview.answered"));
            assertEquals(refused, program.dumpValue("transactions.preview.deferred"));
            assertEquals(1 - refused, program.dumpValue("transactions.preview.errored"));
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
            FakeServer.Exchange first = Await.nextExchange(firstBackend, secondBackend);
            Await.nextExchange(firstBackend, secondBackend).sendResult("copy");      // the first does not start, so a copy goes to the other
            assertEquals("copy", client.read().body());
            assertTrue(first.isClosedByClient(), "the other is withdrawn");
            assertEquals(2, program.dumpValue("sends"));
            assertEquals(1, program.dumpValue("transactions.preview.answered"));
            assertEquals(0, program.dumpValue("current"));
        }
    }

    @Test void countsRequestsServedDuringShutdown() throws IOException, InterruptedException {
        try (Client client = program.client()) {
            client.send(Client.request("/preview", "5000m", "", ""));
            FakeServer.Exchange call = Await.nextExchange(firstBackend, secondBackend);
            program.process.toHandle().destroy();
            Await.until("the end", () -> program.callConsole("HEALTH").startsWith("400 this process is ending"));
            assertEquals(1, program.dumpValue("current"));
            call.sendResult("r");
            assertEquals(200, client.read().status());
            assertTrue(program.awaitOutput().contains("badgermux_answers_served{class=\"preview\"} 1\n"));
        }
    }

    @Test void undoesAndRejectsCordonThatCannotBeStored() throws IOException, InterruptedException {
        Path out = folder.resolve("badgermux-n/out");
        Files.delete(out);
        Files.writeString(out, "in the way");
        assertTrue(program.callConsole("OFFLINE s-1").startsWith("400 it can't be kept"));
        assertEquals(0, program.dumpValue("cluster_unhealthy"));
        program.close();
        program.process.onExit().join();
        program = Program.startWithConsole(folder, members("SERVING"), 256);     // it starts all the same, and keeps nothing
        assertEquals("200 out: s-1\n", program.callConsole("OFFLINE s-1"));
        assertEquals(0, countServedByFirst(5));
    }

    @Test void withoutAdminAddressNothingListensAndNoFileIsCreated() throws IOException {
        Path empty = Files.createDirectory(folder.resolve("none"));
        try (Program plain = new Program(empty, members("SERVING"))) {
            assertEquals(0, plain.counterValue("console_calls"));
        }
        try (var files = Files.list(empty)) {
            assertEquals(List.of("config.json"), files.map(file -> file.getFileName().toString()).toList());
        }
    }
}

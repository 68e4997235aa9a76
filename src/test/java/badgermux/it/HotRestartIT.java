package badgermux.it;

import static badgermux.it.Program.member;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** One process of the real program hands over to the next, on a socket that is held for both. */
@Timeout(60)
class HotRestartIT {
    @TempDir private Path folder;
    private FakeServer firstBackend;
    private FakeServer secondBackend;
    private Supervisor supervisor;
    private final AtomicBoolean isStopped = new AtomicBoolean();
    private final AtomicInteger executedCount = new AtomicInteger();
    private final List<Thread> threads = new CopyOnWriteArrayList<>();

    @BeforeEach void setUp() throws IOException {
        firstBackend = new FakeServer();
        secondBackend = new FakeServer();
        supervisor = new Supervisor(folder, member("s-1", firstBackend, "east", "SERVING") + "," + member("s-2", secondBackend, "east", "SERVING"),
            256, Program.SETTINGS);
    }

    @AfterEach void tearDown() throws IOException, InterruptedException {
        isStopped.set(true);
        supervisor.close();
        for (Thread thread : threads) {
            thread.join();
        }
        firstBackend.close();
        secondBackend.close();
    }

    private interface IoTask {
        void run() throws IOException, InterruptedException;
    }

    private void startThread(IoTask work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException | InterruptedException | AssertionError e) {
                // told by what the test counts
            }
        });
        threads.add(thread);
        thread.start();
    }

    /** Backends that serve whatever comes, after a moment. */
    private void startServing(FakeServer peer, int millis) {
        startThread(() -> {
            while (!isStopped.get()) {
                FakeServer.Exchange call = peer.poll();
                if (call == null) {
                    TimeUnit.MILLISECONDS.sleep(1);
                } else {
                    TimeUnit.MILLISECONDS.sleep(millis);
                    executedCount.incrementAndGet();
                    call.sendResult("r");
                }
            }
        });
    }

    /** Steady load on connections that are kept: how many requests were sent, and how many of them were answered 200. */
    private final class LoadGenerator {
        final AtomicInteger sent = new AtomicInteger();
        final AtomicInteger served = new AtomicInteger();
        final AtomicInteger crossedCloses = new AtomicInteger();
        final AtomicInteger failed = new AtomicInteger();
        final AtomicBoolean isEnded = new AtomicBoolean();

        LoadGenerator(int clients) {
            for (int i = 0; i < clients; i++) {
                startThread(() -> {
                    Client client = supervisor.client();
                    while (!isEnded.get()) {
                        sent.incrementAndGet();
                        String request = Client.request("/publish", "5000m", "Idempotency-Key: " + Client.nextRequestId() + "\r\n", "");
                        client = sendWithRetry(client, request);
                    }
                    client.close();
                });
            }
        }

        /** As the protocol has it: a close that crosses a request, on a connection that was used before, is no answer. */
        private Client sendWithRetry(Client on, String request) throws IOException {
            Client client = on;
            for (boolean again = true; ; again = false) {
                try {
                    Client.Response answer = client.send(request).read();
                    served.addAndGet(answer.status() == 200 ? 1 : 0);
                    if ("close".equals(answer.header("Connection"))) {
                        client.close();
                        client = supervisor.client();
                    }
                    return client;
                } catch (IOException | AssertionError e) {
                    (again ? crossedCloses : failed).incrementAndGet();
                    client.close();
                    client = supervisor.client();
                    if (!again) {
                        return client;
                    }
                }
            }
        }

        /** Waits until so many more are served. */
        void awaitMoreServed(int more) {
            int then = served.get();
            Await.until("more served", () -> served.get() >= then + more);
        }

        void endAndAwaitResponses() {
            isEnded.set(true);
            Await.until("all answered", () -> served.get() + failed.get() >= sent.get());
        }
    }

    @Test void answersEachRequestOnceUnderLoad() throws IOException, InterruptedException {
        startServing(firstBackend, 3);
        startServing(secondBackend, 3);
        Supervisor.Instance old = supervisor.start();
        old.awaitReady();
        LoadGenerator load = new LoadGenerator(8);
        load.awaitMoreServed(50);
        long before = System.nanoTime();
        Supervisor.Instance next = supervisor.start();
        next.awaitReady();
        assertTrue(System.nanoTime() - before < 6_000_000_000L, "the yes is due within 6 s");
        old.signal("TERM");
        old.awaitExit();
        load.awaitMoreServed(50);
        load.endAndAwaitResponses();
        assertEquals(0, load.failed.get());
        assertEquals(load.sent.get(), load.served.get());
        assertTrue(load.crossedCloses.get() <= 2, "closes that crossed a req: " + load.crossedCloses);
        assertEquals(load.served.get(), executedCount.get(), "each ran once");
        long counted = Long.parseLong(old.output().replaceAll("(?s).*badgermux_answers_served (\\d+)\n.*", "$1"));
        assertTrue(counted >= 50, "the old one's standard output lives to the end");
        assertEquals(load.served.get(), counted + next.dumpValue("transactions.publish.answered"));
    }

    /** Whom it asks first does not answer: it has let nobody in, and its end found nothing that could end. */
    @Test void exitsAtOnceWhenTerminatedDuringTakeover() throws IOException, InterruptedException {
        try (ServerSocket before = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Files.createDirectories(folder.resolve("badgermux-n"));
            Files.writeString(folder.resolve("badgermux-n").resolve("console"), "127.0.0.1:" + before.getLocalPort() + " secret\n");
            Supervisor.Instance next = supervisor.start();
            try (Socket asked = before.accept()) {
                assertEquals('T', asked.getInputStream().read(), "TAKEOVER");
                next.signal("TERM");
                next.awaitExit();
                assertFalse(next.log().contains("listens on"), next.log());
            }
        }
    }

    @Test void previousProcessAnswersItsRunningRequest() throws IOException, InterruptedException {
        Supervisor.Instance old = supervisor.start();
        old.awaitReady();
        old.callConsole("OFFLINE s-2");
        try (Client client = supervisor.client(); Client resting = supervisor.client()) {
            resting.send(Client.request("/preview", "5000m", "", ""));
            firstBackend.take().sendResult("r");
            assertEquals(200, resting.read().status());
            client.send(Client.request("/pay", "5000m", "", ""));
            FakeServer.Exchange call = firstBackend.take();
            Supervisor.Instance next = supervisor.start();
            assertTrue(resting.isClosedByServer(), "an idle client is sent to the next process");
            assertTrue(next.callConsole("HEALTH").startsWith("400 serving, but"), "the old one has a job");
            try (Client other = supervisor.client()) {
                other.send(Client.request("/preview", "5000m", "", ""));
                firstBackend.take().sendResult("by the next");
                assertEquals("by the next", other.read().body());
            }
            call.sendResult("late");
            Client.Response answer = client.read();
            assertEquals("late", answer.body());
            assertEquals("close", answer.header("Connection"));
            next.awaitReady();
            assertEquals(0, old.dumpValue("current"));
        }
    }

    @Test void sharesCordonsBetweenBothProcesses() throws IOException, InterruptedException {
        Supervisor.Instance old = supervisor.start();
        old.awaitReady();
        old.callConsole("OFFLINE s-1");
        Supervisor.Instance next = supervisor.start();
        next.awaitReady();
        assertEquals(1, next.dumpValue("cluster_unhealthy"));
        assertEquals("200 out: s-2\n", next.callConsole("OFFLINE s-2"));
        Await.until("it is out at both", () -> old.dumpValue("cluster_unhealthy") == 2);
        assertEquals("200 back: s-1\n", old.callConsole("ONLINE s-1"));
        Await.until("it is back at both", () -> next.dumpValue("cluster_unhealthy") == 1);
        old.signal("TERM");
        old.awaitExit();
        Supervisor.Instance third = supervisor.start();
        third.awaitReady();
        assertEquals(1, third.dumpValue("cluster_unhealthy"));
        try (var out = Files.list(folder.resolve("badgermux-n/out"))) {
            assertEquals(List.of("732d32"), out.map(file -> file.getFileName().toString()).toList());
        }
    }

    @Test void previousProcessResumesWhenNextDiesOrHangs() throws IOException, InterruptedException {
        startServing(firstBackend, 1);
        startServing(secondBackend, 1);
        Supervisor.Instance old = supervisor.start();
        old.awaitReady();
        for (String signal : List.of("KILL", "STOP")) {
            Supervisor.Instance next = supervisor.start();
            next.awaitReady();
            next.signal(signal);
            try (Client client = supervisor.client()) {
                assertEquals(200, client.post("/preview").status(), signal);
            }
            next.signal("KILL");
        }
        assertTrue(old.log().contains("this one serves again"));
        Supervisor.Instance last = supervisor.start();
        last.awaitReady();
        old.signal("KILL");
        old.awaitExit();
        try (Client client = supervisor.client()) {
            assertEquals(200, client.post("/preview").status());
        }
        assertTrue(last.isReady());
    }

    @Test void failedStartLeavesPreviousProcessServing() throws IOException, InterruptedException {
        startServing(firstBackend, 1);
        startServing(secondBackend, 1);
        Supervisor.Instance old = supervisor.start();
        old.awaitReady();
        Path config = folder.resolve("config.json");
        String good = Files.readString(config);
        Files.writeString(config, good.replace("RequestClasses", "Nothing"));
        supervisor.start().awaitExit();
        Files.writeString(config, good);
        assertFalse(old.log().contains("handed over"));
        try (Client client = supervisor.client()) {
            assertEquals(200, client.post("/preview").status());
        }
    }

    @Test void supportsTwoHotRestartsInQuickSuccession() throws IOException, InterruptedException {
        startServing(firstBackend, 2);
        startServing(secondBackend, 2);
        Supervisor.Instance first = supervisor.start();
        first.awaitReady();
        LoadGenerator load = new LoadGenerator(4);
        Supervisor.Instance second = supervisor.start().awaitLog("Serving");
        Supervisor.Instance third = supervisor.start();
        second.awaitReady();
        first.signal("TERM");
        third.awaitReady();
        second.signal("TERM");
        first.awaitExit();
        second.awaitExit();
        assertTrue(second.log().contains("handed over"), "the second was asked by the third");
        load.awaitMoreServed(20);
        load.endAndAwaitResponses();
        assertEquals(0, load.failed.get());
        assertEquals(load.served.get(), executedCount.get());
    }

    @Test void nextProcessServesClientsThatConnectedInBetween() throws IOException, InterruptedException {
        Supervisor.Instance old = supervisor.start();
        old.awaitReady();
        old.signal("TERM");
        old.awaitExit();
        try (Client client = supervisor.client()) {
            client.send(Client.request("/preview", "5000m", "", ""));
            supervisor.start();
            FakeServer.Exchange call = Await.nextExchange(firstBackend, secondBackend);
            call.sendResult("by the next");
            assertEquals("by the next", client.read().body());
        }
    }

    /** What the configuration knows is old: the list that the old process holds says that a backend drains. */
    @Test void nextProcessKeepsBackendsDraining() throws IOException, InterruptedException {
        Supervisor.Instance old = supervisor.start();
        old.awaitReady();
        supervisor.discovery.take().reply("200 OK", "{\"revision\":9,\"complete\":false,\"members\":["
            + member("s-1", firstBackend, "east", "DRAINING") + "]}");
        Await.until("the list", () -> old.dumpValue("cluster_unhealthy") == 1);
        Supervisor.Instance next = supervisor.start();
        next.awaitReady();
        assertEquals(1, next.dumpValue("cluster_unhealthy"));
        try (Client client = supervisor.client()) {
            for (int i = 0; i < 10; i++) {
                client.send(Client.request("/preview", "5000m", "", ""));
                FakeServer.Exchange call = Await.nextExchange(firstBackend, secondBackend);
                assertEquals(secondBackend, call.receiver);
                call.sendResult("r");
                client.read();
            }
        }
    }

    @Test void rejectsInvalidSocketDescriptor() throws IOException, InterruptedException {
        for (String number : List.of("3", "x", "0")) {
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", Program.runCommand());
            builder.environment().put("GW_CONFIG", folder.resolve("config.json").toString());
            builder.environment().put("GW_LISTEN", "127.0.0.1:0");
            builder.environment().put("GW_DISCOVERY", supervisor.discovery.address());
            builder.environment().put("GW_SOCKET_FD", number);
            Process process = builder.redirectInput(ProcessBuilder.Redirect.from(Path.of("/dev/null").toFile())).start();
            assertEquals(2, process.waitFor());
            String told = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(told.startsWith("badgermux: GW_SOCKET_FD"), told);
            assertEquals(1, told.lines().count());
        }
    }
}

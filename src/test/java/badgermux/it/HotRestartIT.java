package badgermux.it;

import static badgermux.it.Program.member;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
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

/** Hot restart of the built program: one process hands over to the next on a listening socket that both inherit. */
@Timeout(60)
class HotRestartIT {
    @TempDir private Path folder;
    private FakeServer firstBackend;
    private FakeServer secondBackend;
    private Supervisor supervisor;
    /** Sends requests throughout the test; null in tests that send single requests. */
    private LoadGenerator load;
    private final AtomicBoolean isStopped = new AtomicBoolean();
    private final AtomicInteger executedCount = new AtomicInteger();
    private final List<Thread> threads = new CopyOnWriteArrayList<>();

    @BeforeEach void setUp() throws IOException {
        firstBackend = new FakeServer();
        secondBackend = new FakeServer();
        supervisor = new Supervisor(folder, member("s-1", firstBackend, "east", "SERVING") + ","
            + member("s-2", secondBackend, "east", "SERVING"), 256, Program.SETTINGS);
    }

    @AfterEach void tearDown() throws IOException, InterruptedException {
        isStopped.set(true);
        supervisor.close();
        if (load != null) {
            load.close();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        firstBackend.close();
        secondBackend.close();
    }

    private interface IoTask {
        void run() throws IOException, InterruptedException;
    }

    private void startThread(IoTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException | InterruptedException | AssertionError e) {
                // the requests that are not answered now fail the test
            }
        });
        threads.add(thread);
        thread.start();
    }

    /** Responds to each request at a backend after a delay, until the test ends. */
    private void startServing(FakeServer backend, int delayMillis) {
        startThread(() -> {
            while (!isStopped.get()) {
                FakeServer.Exchange exchange = backend.poll();
                if (exchange == null) {
                    TimeUnit.MILLISECONDS.sleep(1);
                } else {
                    TimeUnit.MILLISECONDS.sleep(delayMillis);
                    executedCount.incrementAndGet();
                    exchange.sendResult("r");
                }
            }
        });
    }

    @Test void answersEachRequestOnceUnderLoad() throws IOException, InterruptedException {
        startServing(firstBackend, 3);
        startServing(secondBackend, 3);
        Supervisor.Instance previous = supervisor.start();
        previous.awaitReady();
        load = new LoadGenerator(supervisor, 8);
        load.awaitMoreServed(50);
        long startedNanos = System.nanoTime();
        Supervisor.Instance next = supervisor.start();
        next.awaitReady();
        assertTrue(System.nanoTime() - startedNanos < 6_000_000_000L, "readiness is due within 6 s");
        previous.signal("TERM");
        previous.awaitExit();
        load.awaitMoreServed(50);
        load.endAndAwaitResponses();
        assertEquals(0, load.failed.get());
        assertEquals(load.sent.get(), load.served.get());
        assertTrue(load.crossedCloses.get() <= 2, "connections closed while a request was on its way: " + load.crossedCloses);
        assertEquals(load.served.get(), executedCount.get(), "each request runs once");
        long servedByPrevious = Long.parseLong(previous.output().replaceAll("(?s).*badgermux_answers_served (\\d+)\n.*", "$1"));
        assertTrue(servedByPrevious >= 50, "the previous process prints at its exit that it served 50 requests or more");
        assertEquals(load.served.get(), servedByPrevious + next.dumpValue("transactions.publish.answered"));
    }

    /**
     * SIGTERM arrives while the previous process does not answer the TAKEOVER. The new process has no listener and no
     * connection yet, and its shutdown must not wait for one to close.
     */
    @Test void exitsAtOnceWhenTerminatedDuringTakeover() throws IOException, InterruptedException {
        try (ServerSocket silentConsole = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Files.createDirectories(folder.resolve("badgermux-n"));
            Files.writeString(folder.resolve("badgermux-n").resolve("console"),
                "127.0.0.1:" + silentConsole.getLocalPort() + " secret\n");
            Supervisor.Instance next = supervisor.start();
            try (Socket link = silentConsole.accept()) {
                assertEquals('T', link.getInputStream().read(), "the new process sends TAKEOVER");
                next.signal("TERM");
                next.awaitExit();
                assertFalse(next.log().contains("listens on"), next.log());
            }
        }
    }

    @Test void previousProcessAnswersItsRunningRequest() throws IOException, InterruptedException {
        Supervisor.Instance previous = supervisor.start();
        previous.awaitReady();
        previous.callConsole("OFFLINE s-2");
        try (Client client = supervisor.client(); Client idle = supervisor.client()) {
            idle.send(Client.request("/preview", "5000m", "", ""));
            firstBackend.take().sendResult("r");
            assertEquals(200, idle.read().status());
            client.send(Client.request("/pay", "5000m", "", ""));
            FakeServer.Exchange exchange = firstBackend.take();
            Supervisor.Instance next = supervisor.start();
            assertTrue(idle.isClosedByServer(), "the previous process closes idle connections");
            assertTrue(next.callConsole("HEALTH").startsWith("400 serving, but"), "the previous process has an open request");
            try (Client other = supervisor.client()) {
                other.send(Client.request("/preview", "5000m", "", ""));
                firstBackend.take().sendResult("by the next");
                assertEquals("by the next", other.read().body());
            }
            exchange.sendResult("late");
            Client.Response response = client.read();
            assertEquals("late", response.body());
            assertEquals("close", response.header("Connection"));
            next.awaitReady();
            assertEquals(0, previous.dumpValue("current"));
        }
    }

    /**
     * Guards against a second run at the other process: of a request whose client left before the restart, during it, and of
     * one that the previous process takes once the next one serves.
     */
    @Test void requestOfPreviousProcessIsNotSentAgainByNext() throws IOException, InterruptedException {
        Supervisor.Instance previous = supervisor.start();
        previous.awaitReady();
        previous.callConsole("OFFLINE s-2");
        String first = Client.request("/pay", "5000m", "", "");
        String second = Client.request("/pay", "5000m", "", "");
        String third = Client.request("/pay", "5000m", "", "");
        Client leaving = supervisor.client().send(first);
        firstBackend.take().sendStarted();
        leaving.close();
        Await.until("the first client has left", () -> previous.dumpValue("current") == 0);
        Client running = supervisor.client().send(second);
        firstBackend.take().sendStarted();
        Client idle = supervisor.client();
        assertEquals(200, idle.get("/healthz").status());
        supervisor.start().awaitLog("Serving");
        idle.send(third);
        firstBackend.take().sendStarted();
        running.close();
        idle.close();
        for (String request : List.of(first, second, third)) {
            try (Client again = supervisor.client().send(request)) {
                assertEquals(409, again.read().status());
            }
        }
        assertNull(firstBackend.poll());
    }

    @Test void sharesCordonsBetweenBothProcesses() throws IOException, InterruptedException {
        Supervisor.Instance previous = supervisor.start();
        previous.awaitReady();
        previous.callConsole("OFFLINE s-1");
        Supervisor.Instance next = supervisor.start();
        next.awaitReady();
        assertEquals(1, next.dumpValue("cluster_unhealthy"));
        assertEquals("200 out: s-2\n", next.callConsole("OFFLINE s-2"));
        Await.until("the cordon at both processes", () -> previous.dumpValue("cluster_unhealthy") == 2);
        assertEquals("200 back: s-1\n", previous.callConsole("ONLINE s-1"));
        Await.until("the end of the cordon at both processes", () -> next.dumpValue("cluster_unhealthy") == 1);
        previous.signal("TERM");
        previous.awaitExit();
        Supervisor.Instance third = supervisor.start();
        third.awaitReady();
        assertEquals(1, third.dumpValue("cluster_unhealthy"));
        try (var outFiles = Files.list(folder.resolve("badgermux-n/out"))) {
            // the file of s-2: its name is that of the backend in hexadecimal
            assertEquals(List.of("732d32"), outFiles.map(file -> file.getFileName().toString()).toList());
        }
    }

    @Test void previousProcessResumesWhenNextDiesOrHangs() throws IOException, InterruptedException {
        startServing(firstBackend, 1);
        startServing(secondBackend, 1);
        Supervisor.Instance previous = supervisor.start();
        previous.awaitReady();
        for (String signal : List.of("KILL", "STOP")) {
            Supervisor.Instance next = supervisor.start();
            next.awaitReady();
            if (signal.equals("STOP")) {
                next.hang();
            } else {
                next.signal(signal);
            }
            try (Client client = supervisor.client()) {
                assertEquals(200, client.post("/preview").status(), signal);
            }
            next.signal("KILL");
        }
        assertTrue(previous.log().contains("this one serves again"));
        Supervisor.Instance last = supervisor.start();
        last.awaitReady();
        previous.signal("KILL");
        previous.awaitExit();
        try (Client client = supervisor.client()) {
            assertEquals(200, client.post("/preview").status());
        }
        assertTrue(last.isReady());
    }

    @Test void failedStartLeavesPreviousProcessServing() throws IOException, InterruptedException {
        startServing(firstBackend, 1);
        startServing(secondBackend, 1);
        Supervisor.Instance previous = supervisor.start();
        previous.awaitReady();
        Path configFile = folder.resolve("config.json");
        String validConfig = Files.readString(configFile);
        Files.writeString(configFile, validConfig.replace("RequestClasses", "Nothing"));
        supervisor.start().awaitExit();
        Files.writeString(configFile, validConfig);
        assertFalse(previous.log().contains("handed over"));
        try (Client client = supervisor.client()) {
            assertEquals(200, client.post("/preview").status());
        }
    }

    @Test void supportsTwoHotRestartsInQuickSuccession() throws IOException, InterruptedException {
        startServing(firstBackend, 2);
        startServing(secondBackend, 2);
        Supervisor.Instance first = supervisor.start();
        first.awaitReady();
        load = new LoadGenerator(supervisor, 4);
        Supervisor.Instance second = supervisor.start().awaitLog("Serving");
        Supervisor.Instance third = supervisor.start();
        second.awaitReady();
        first.signal("TERM");
        third.awaitReady();
        second.signal("TERM");
        first.awaitExit();
        second.awaitExit();
        assertTrue(second.log().contains("handed over"), "the second process has handed over to the third");
        load.awaitMoreServed(20);
        load.endAndAwaitResponses();
        assertEquals(0, load.failed.get());
        assertEquals(load.served.get(), executedCount.get());
    }

    /** A client connects after the previous process has exited and before the next one starts. */
    @Test void nextProcessServesClientsThatConnectedInBetween() throws IOException, InterruptedException {
        Supervisor.Instance previous = supervisor.start();
        previous.awaitReady();
        previous.signal("TERM");
        previous.awaitExit();
        try (Client client = supervisor.client()) {
            client.send(Client.request("/preview", "5000m", "", ""));
            supervisor.start();
            FakeServer.Exchange exchange = Await.nextExchange(firstBackend, secondBackend);
            exchange.sendResult("by the next");
            assertEquals("by the next", client.read().body());
        }
    }

    /** The previous process knows from discovery that a backend drains; the older list in the configuration says it serves. */
    @Test void nextProcessKeepsBackendsDraining() throws IOException, InterruptedException {
        Supervisor.Instance previous = supervisor.start();
        previous.awaitReady();
        supervisor.discovery.take().reply("200 OK", "{\"revision\":9,\"complete\":false,\"members\":["
            + member("s-1", firstBackend, "east", "DRAINING") + "]}");
        Await.until("the draining backend", () -> previous.dumpValue("cluster_unhealthy") == 1);
        Supervisor.Instance next = supervisor.start();
        next.awaitReady();
        assertEquals(1, next.dumpValue("cluster_unhealthy"));
        try (Client client = supervisor.client()) {
            for (int i = 0; i < 10; i++) {
                client.send(Client.request("/preview", "5000m", "", ""));
                FakeServer.Exchange exchange = Await.nextExchange(firstBackend, secondBackend);
                assertEquals(secondBackend, exchange.receiver);
                exchange.sendResult("r");
                client.read();
            }
        }
    }

    @Test void rejectsInvalidSocketDescriptor() throws IOException, InterruptedException {
        for (String descriptor : List.of("3", "x", "0")) {
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", Program.runCommand());
            builder.environment().put("GW_CONFIG", folder.resolve("config.json").toString());
            builder.environment().put("GW_LISTEN", "127.0.0.1:0");
            builder.environment().put("GW_DISCOVERY", supervisor.discovery.address());
            builder.environment().put("GW_SOCKET_FD", descriptor);
            Process process = builder.redirectInput(ProcessBuilder.Redirect.from(Path.of("/dev/null").toFile())).start();
            assertEquals(2, process.waitFor());
            String errorOutput = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(errorOutput.startsWith("badgermux: GW_SOCKET_FD"), errorOutput);
            assertEquals(1, errorOutput.lines().count());
        }
    }
}

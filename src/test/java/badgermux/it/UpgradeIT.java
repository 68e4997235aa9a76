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
class UpgradeIT {
    @TempDir private Path folder;
    private Peer one;
    private Peer two;
    private Holder holder;
    private final AtomicBoolean stop = new AtomicBoolean();
    private final AtomicInteger ran = new AtomicInteger();
    private final List<Thread> threads = new CopyOnWriteArrayList<>();

    @BeforeEach void hold() throws IOException {
        one = new Peer();
        two = new Peer();
        holder = new Holder(folder, member("s-1", one, "east", "SERVING") + "," + member("s-2", two, "east", "SERVING"),
            256, Program.SETTINGS);
    }

    @AfterEach void release() throws IOException, InterruptedException {
        stop.set(true);
        holder.close();
        for (Thread thread : threads) {
            thread.join();
        }
        one.close();
        two.close();
    }

    private interface Work {
        void run() throws IOException, InterruptedException;
    }

    private void thread(Work work) {
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
    private void serve(Peer peer, int millis) {
        thread(() -> {
            while (!stop.get()) {
                Peer.Call call = peer.peek();
                if (call == null) {
                    TimeUnit.MILLISECONDS.sleep(1);
                } else {
                    TimeUnit.MILLISECONDS.sleep(millis);
                    ran.incrementAndGet();
                    call.done("r");
                }
            }
        });
    }

    /** Steady load on connections that are kept: how many requests were sent, and how many of them were answered 200. */
    private final class Load {
        final AtomicInteger sent = new AtomicInteger();
        final AtomicInteger served = new AtomicInteger();
        final AtomicInteger crossed = new AtomicInteger();
        final AtomicInteger turnedBack = new AtomicInteger();
        final AtomicBoolean ended = new AtomicBoolean();

        Load(int clients) {
            for (int i = 0; i < clients; i++) {
                thread(() -> {
                    Client client = holder.client();
                    while (!ended.get()) {
                        sent.incrementAndGet();
                        String request = Client.request("/publish", "5000m", "Idempotency-Key: " + Client.id() + "\r\n", "");
                        client = ask(client, request);
                    }
                    client.close();
                });
            }
        }

        /** As the protocol has it: a close that crosses a request, on a connection that was used before, is no answer. */
        private Client ask(Client on, String request) throws IOException {
            Client client = on;
            for (boolean again = true; ; again = false) {
                try {
                    Client.Answer answer = client.send(request).read();
                    served.addAndGet(answer.status() == 200 ? 1 : 0);
                    if ("close".equals(answer.header("Connection"))) {
                        client.close();
                        client = holder.client();
                    }
                    return client;
                } catch (IOException | AssertionError e) {
                    (again ? crossed : turnedBack).incrementAndGet();
                    client.close();
                    client = holder.client();
                    if (!again) {
                        return client;
                    }
                }
            }
        }

        /** Waits until so many more are served. */
        void goesOn(int more) {
            int then = served.get();
            Await.until("more served", () -> served.get() >= then + more);
        }

        void end() {
            ended.set(true);
            Await.until("all answered", () -> served.get() + turnedBack.get() >= sent.get());
        }
    }

    @Test void underLoadEachRequestHasOneAnswerAndNoneIsTurnedBack() throws IOException, InterruptedException {
        serve(one, 3);
        serve(two, 3);
        Holder.Run old = holder.start();
        old.awaitsReady();
        Load load = new Load(8);
        load.goesOn(50);
        long before = System.nanoTime();
        Holder.Run next = holder.start();
        next.awaitsReady();
        assertTrue(System.nanoTime() - before < 6_000_000_000L, "the yes is due within 6 s");
        old.signal("TERM");
        old.join();
        load.goesOn(50);
        load.end();
        assertEquals(0, load.turnedBack.get());
        assertEquals(load.sent.get(), load.served.get());
        assertTrue(load.crossed.get() <= 2, "closes that crossed a req: " + load.crossed);
        assertEquals(load.served.get(), ran.get(), "each ran once");
        long counted = Long.parseLong(old.output().replaceAll("(?s).*badgermux_answers_served (\\d+)\n.*", "$1"));
        assertTrue(counted >= 50, "the old one's standard output lives to the end");
        assertEquals(load.served.get(), counted + next.figure("transactions.publish.answered"));
    }

    /** Whom it asks first does not answer: it has let nobody in, and its end found nothing that could end. */
    @Test void oneThatIsEndedWhileItAsksTheProcessBeforeItEndsAtOnce() throws IOException, InterruptedException {
        try (ServerSocket before = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Files.createDirectories(folder.resolve("badgermux-n"));
            Files.writeString(folder.resolve("badgermux-n").resolve("console"), "127.0.0.1:" + before.getLocalPort() + " secret\n");
            Holder.Run next = holder.start();
            try (Socket asked = before.accept()) {
                assertEquals('T', asked.getInputStream().read(), "TAKEOVER");
                next.signal("TERM");
                next.join();
                assertFalse(next.log().contains("listens on"), next.log());
            }
        }
    }

    @Test void aJobThatRunsIsAnsweredByWhoTookIt() throws IOException, InterruptedException {
        Holder.Run old = holder.start();
        old.awaitsReady();
        old.call("OFFLINE s-2");
        try (Client client = holder.client(); Client resting = holder.client()) {
            resting.send(Client.request("/preview", "5000m", "", ""));
            one.take().done("r");
            assertEquals(200, resting.read().status());
            client.send(Client.request("/pay", "5000m", "", ""));
            Peer.Call call = one.take();
            Holder.Run next = holder.start();
            assertTrue(resting.isEnded(), "an idle client is sent to the next process");
            assertTrue(next.call("HEALTH").startsWith("400 serving, but"), "the old one has a job");
            try (Client other = holder.client()) {
                other.send(Client.request("/preview", "5000m", "", ""));
                one.take().done("by the next");
                assertEquals("by the next", other.read().body());
            }
            call.done("late");
            Client.Answer answer = client.read();
            assertEquals("late", answer.body());
            assertEquals("close", answer.header("Connection"));
            next.awaitsReady();
            assertEquals(0, old.figure("current"));
        }
    }

    @Test void runnersOutAreOutForBothWhoeverIsCalled() throws IOException, InterruptedException {
        Holder.Run old = holder.start();
        old.awaitsReady();
        old.call("OFFLINE s-1");
        Holder.Run next = holder.start();
        next.awaitsReady();
        assertEquals(1, next.figure("cluster_unhealthy"));
        assertEquals("200 out: s-2\n", next.call("OFFLINE s-2"));
        Await.until("it is out at both", () -> old.figure("cluster_unhealthy") == 2);
        assertEquals("200 back: s-1\n", old.call("ONLINE s-1"));
        Await.until("it is back at both", () -> next.figure("cluster_unhealthy") == 1);
        old.signal("TERM");
        old.join();
        Holder.Run third = holder.start();
        third.awaitsReady();
        assertEquals(1, third.figure("cluster_unhealthy"));
        try (var out = Files.list(folder.resolve("badgermux-n/out"))) {
            assertEquals(List.of("732d32"), out.map(file -> file.getFileName().toString()).toList());
        }
    }

    @Test void anOldProcessServesAgainWhenTheNextOneDiesOrHangs() throws IOException, InterruptedException {
        serve(one, 1);
        serve(two, 1);
        Holder.Run old = holder.start();
        old.awaitsReady();
        for (String signal : List.of("KILL", "STOP")) {
            Holder.Run next = holder.start();
            next.awaitsReady();
            next.signal(signal);
            try (Client client = holder.client()) {
                assertEquals(200, client.ask("/preview").status(), signal);
            }
            next.signal("KILL");
        }
        assertTrue(old.log().contains("this one serves again"));
        Holder.Run last = holder.start();
        last.awaitsReady();
        old.signal("KILL");
        old.join();
        try (Client client = holder.client()) {
            assertEquals(200, client.ask("/preview").status());
        }
        assertTrue(last.isReady());
    }

    @Test void aNewProcessThatCantStartChangesNothing() throws IOException, InterruptedException {
        serve(one, 1);
        serve(two, 1);
        Holder.Run old = holder.start();
        old.awaitsReady();
        Path config = folder.resolve("config.json");
        String good = Files.readString(config);
        Files.writeString(config, good.replace("RequestClasses", "Nothing"));
        holder.start().join();
        Files.writeString(config, good);
        assertFalse(old.log().contains("handed over"));
        try (Client client = holder.client()) {
            assertEquals(200, client.ask("/preview").status());
        }
    }

    @Test void twoUpgradesInQuickSuccession() throws IOException, InterruptedException {
        serve(one, 2);
        serve(two, 2);
        Holder.Run first = holder.start();
        first.awaitsReady();
        Load load = new Load(4);
        Holder.Run second = holder.start().awaits("Serving");
        Holder.Run third = holder.start();
        second.awaitsReady();
        first.signal("TERM");
        third.awaitsReady();
        second.signal("TERM");
        first.join();
        second.join();
        assertTrue(second.log().contains("handed over"), "the second was asked by the third");
        load.goesOn(20);
        load.end();
        assertEquals(0, load.turnedBack.get());
        assertEquals(load.served.get(), ran.get());
    }

    @Test void whoConnectsBetweenTwoProcessesIsServedByTheNext() throws IOException, InterruptedException {
        Holder.Run old = holder.start();
        old.awaitsReady();
        old.signal("TERM");
        old.join();
        try (Client client = holder.client()) {
            client.send(Client.request("/preview", "5000m", "", ""));
            holder.start();
            Peer.Call call = Await.next(one, two);
            call.done("by the next");
            assertEquals("by the next", client.read().body());
        }
    }

    /** What the configuration knows is old: the list that the old process holds says that a backend drains. */
    @Test void aDrainThatTheOldOneWasToldOfHoldsForTheNext() throws IOException, InterruptedException {
        Holder.Run old = holder.start();
        old.awaitsReady();
        holder.discovery.take().reply("200 OK", "{\"revision\":9,\"complete\":false,\"members\":["
            + member("s-1", one, "east", "DRAINING") + "]}");
        Await.until("the list", () -> old.figure("cluster_unhealthy") == 1);
        Holder.Run next = holder.start();
        next.awaitsReady();
        assertEquals(1, next.figure("cluster_unhealthy"));
        try (Client client = holder.client()) {
            for (int i = 0; i < 10; i++) {
                client.send(Client.request("/preview", "5000m", "", ""));
                Peer.Call call = Await.next(one, two);
                assertEquals(two, call.from);
                call.done("r");
                client.read();
            }
        }
    }

    @Test void aWrongDescriptorIsToldAndEndsTheStart() throws IOException, InterruptedException {
        for (String number : List.of("3", "x", "0")) {
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", Program.command());
            builder.environment().put("GW_CONFIG", folder.resolve("config.json").toString());
            builder.environment().put("GW_LISTEN", "127.0.0.1:0");
            builder.environment().put("GW_DISCOVERY", holder.discovery.address());
            builder.environment().put("GW_SOCKET_FD", number);
            Process process = builder.redirectInput(ProcessBuilder.Redirect.from(Path.of("/dev/null").toFile())).start();
            assertEquals(2, process.waitFor());
            String told = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(told.startsWith("badgermux: GW_SOCKET_FD"), told);
            assertEquals(1, told.lines().count());
        }
    }
}

package badgermux.it;

import static badgermux.it.Program.member;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Peers that write slowly, say half of something or nothing, and crowds of them, on few descriptors. */
@Timeout(60)
class SlowClientsIT {
    @TempDir private Path folder;
    private FakeServer backend;
    private Program program;

    @BeforeEach void start() throws IOException {
        backend = new FakeServer();
        program = Program.startWithConsole(folder, member("s-1", backend, "east", "SERVING"), 128);
    }

    @AfterEach void stop() throws IOException {
        program.close();
        backend.close();
    }

    /** Sends a request in pieces, with a pause behind each. */
    private static void sendSlowly(Client client, String request, int pieces, int millis) throws IOException, InterruptedException {
        int size = (request.length() + pieces - 1) / pieces;
        for (int at = 0; at < request.length(); at += size) {
            client.send(request.substring(at, Math.min(request.length(), at + size)));
            TimeUnit.MILLISECONDS.sleep(millis);
        }
    }

    @Test void servesRequestSentOverMoreThanTwoSeconds() throws IOException, InterruptedException {
        try (Client client = program.client()) {
            sendSlowly(client, Client.request("/preview", "5000m", "", "body"), 9, 290);
            backend.take().sendResult("r");
            assertEquals(200, client.read().status());
        }
    }

    @Test void answers408AfterTwoSecondsOfSilence() throws IOException {
        try (Client client = program.client()) {
            long before = System.nanoTime();
            client.send("POST /preview HTTP/1.1\r\nHost: x\r\n");
            assertEquals(408, client.read().status());
            assertTrue(System.nanoTime() - before < 3_000_000_000L);
        }
    }

    @Test void answers408ToRequestThatNeverEnds() throws IOException, InterruptedException {
        try (Client client = program.client()) {
            long before = System.nanoTime();
            client.send("POST /preview HTTP/1.1\r\nX-A: ");
            while (client.unreadBytes() == 0 && System.nanoTime() - before < 12_000_000_000L) {
                client.send("a");
                TimeUnit.MILLISECONDS.sleep(200);
            }
            assertEquals(408, client.read().status());
            assertTrue(System.nanoTime() - before < 9_500_000_000L);
        }
    }

    /** More than there is room for send a byte now and then for ever: who is new gets a place all the same. */
    @Test void servesNewClientDespiteCrowdSendingByteByByte() throws IOException, InterruptedException {
        List<Client> crowd = new ArrayList<>();
        for (int i = 0; i < 80; i++) {
            crowd.add(program.client().send("POST /preview HTTP/1.1\r\nX-A: "));
        }
        Thread drip = new Thread(() -> {
            while (!Thread.currentThread().isInterrupted()) {
                for (Client client : crowd) {
                    try {
                        client.send("a");
                    } catch (IOException e) {
                        // it had to make room
                    }
                }
                try {
                    TimeUnit.MILLISECONDS.sleep(50);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
        drip.start();
        try (Client client = program.client()) {
            long before = System.nanoTime();
            client.send(Client.request("/preview", "9000m", "", ""));
            backend.take().sendResult("r");
            assertEquals(200, client.read().status());
            assertTrue(System.nanoTime() - before < 5_000_000_000L, "after the 3 s that they are let be");
        } finally {
            drip.interrupt();
            drip.join();
            for (Client client : crowd) {
                client.close();
            }
        }
    }

    /** Ten times as many as there is room for, silent or halfway; new clients are served, also those that send slowly. */
    @Test void servesNewClientsDespiteSilentAndHalfSentCrowd() throws IOException, InterruptedException {
        List<Client> crowd = new ArrayList<>();
        for (int turn = 0; turn < 6; turn++) {
            // More come while it sends than there is room for; it is let be for 3 s, however slow this machine is today.
            try (Client slow = program.client()) {
                String request = Client.request("/preview", "5000m", "", "body");
                slow.send(request.substring(0, 20));
                pause(50);      // from 20 ms on a request goes on coming, and was not left behind
                slow.send(request.substring(20, 40));
                for (int i = 0; i < 100; i++) {
                    crowd.add(program.client());
                    if (i % 2 == 0) {
                        crowd.get(crowd.size() - 1).send("POST /preview HTTP/1.1\r\nHost: x\r\nX-Req");
                    }
                    if (i == 50) {
                        pause(350);     // silent for longer than one is spared that left half a request behind
                    }
                }
                slow.send(request.substring(40));
                backend.take().sendResult("slow");
                assertEquals("slow", slow.read().body(), "crowd of " + crowd.size());
            }
            if (turn % 2 == 1) {
                long before = System.nanoTime();
                try (Client client = program.client()) {
                    client.send(Client.request("/preview", "5000m", "", ""));
                    backend.take().sendResult("r");
                    assertEquals(200, client.read().status());
                }
                assertTrue(System.nanoTime() - before < 3_000_000_000L, "served in time, crowd of " + crowd.size());
                assertEquals("200 ready\n", program.callConsole("HEALTH"));
            }
        }
        for (Client client : crowd) {
            client.close();
        }
    }

    /** A time that has to pass for what a test says, whatever else happens. */
    private static void pause(int millis) {
        long from = System.nanoTime();
        Await.until("its end", () -> System.nanoTime() - from > millis * 1_000_000L);
    }
}

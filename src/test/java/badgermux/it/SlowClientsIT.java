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

/** Runs the packaged program with 128 descriptors and clients, also in crowds, that send slowly, half a request or nothing. */
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

    /** Sends a request in pieces, with a pause after each. */
    private static void sendSlowly(Client client, String request, int pieces, int pauseMillis)
            throws IOException, InterruptedException {
        int size = (request.length() + pieces - 1) / pieces;
        for (int start = 0; start < request.length(); start += size) {
            client.send(request.substring(start, Math.min(request.length(), start + size)));
            TimeUnit.MILLISECONDS.sleep(pauseMillis);
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
            long startNanos = System.nanoTime();
            client.send("POST /preview HTTP/1.1\r\nHost: x\r\n");
            assertEquals(408, client.read().status());
            assertTrue(System.nanoTime() - startNanos < 3_000_000_000L);
        }
    }

    @Test void answers408ToRequestThatNeverEnds() throws IOException, InterruptedException {
        try (Client client = program.client()) {
            long startNanos = System.nanoTime();
            client.send("POST /preview HTTP/1.1\r\nX-A: ");
            while (client.unreadBytes() == 0 && System.nanoTime() - startNanos < 12_000_000_000L) {
                client.send("a");
                TimeUnit.MILLISECONDS.sleep(200);
            }
            assertEquals(408, client.read().status());
            assertTrue(System.nanoTime() - startNanos < 9_500_000_000L);
        }
    }

    /**
     * More clients than the connection limit keep sending a byte now and then. A new client must be accepted nevertheless,
     * as soon as the grace of 3 s has passed for one of them.
     */
    @Test void servesNewClientDespiteCrowdSendingByteByByte() throws IOException, InterruptedException {
        List<Client> crowd = new ArrayList<>();
        for (int i = 0; i < 80; i++) {
            crowd.add(program.client().send("POST /preview HTTP/1.1\r\nX-A: "));
        }
        Thread trickle = new Thread(() -> {
            while (!Thread.currentThread().isInterrupted()) {
                for (Client client : crowd) {
                    try {
                        client.send("a");
                    } catch (IOException e) {
                        // expected: the connection was evicted
                    }
                }
                try {
                    TimeUnit.MILLISECONDS.sleep(50);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
        trickle.start();
        try (Client client = program.client()) {
            long startNanos = System.nanoTime();
            client.send(Client.request("/preview", "9000m", "", ""));
            backend.take().sendResult("r");
            assertEquals(200, client.read().status());
            assertTrue(System.nanoTime() - startNanos < 5_000_000_000L, "soon after the 3 s without eviction");
        } finally {
            trickle.interrupt();
            trickle.join();
            for (Client client : crowd) {
                client.close();
            }
        }
    }

    /**
     * Ten times as many clients as the connection limit are silent or have sent half a request. New clients are served, even
     * those that send slowly.
     */
    @Test void servesNewClientsDespiteSilentAndHalfSentCrowd() throws IOException, InterruptedException {
        List<Client> crowd = new ArrayList<>();
        for (int round = 0; round < 6; round++) {
            // More clients than the limit connect meanwhile. This one is not evicted for 3 s, long enough for a slow machine.
            try (Client slowClient = program.client()) {
                String request = Client.request("/preview", "5000m", "", "body");
                slowClient.send(request.substring(0, 20));
                pause(50);      // input 20 ms or more after the first shows that the request is in progress
                slowClient.send(request.substring(20, 40));
                for (int i = 0; i < 100; i++) {
                    crowd.add(program.client());
                    if (i % 2 == 0) {
                        crowd.get(crowd.size() - 1).send("POST /preview HTTP/1.1\r\nHost: x\r\nX-Req");
                    }
                    if (i == 50) {
                        pause(350);     // longer than the eviction grace of an abandoned half request
                    }
                }
                slowClient.send(request.substring(40));
                backend.take().sendResult("slow");
                assertEquals("slow", slowClient.read().body(), "crowd of " + crowd.size());
            }
            if (round % 2 == 1) {
                long startNanos = System.nanoTime();
                try (Client client = program.client()) {
                    client.send(Client.request("/preview", "5000m", "", ""));
                    backend.take().sendResult("r");
                    assertEquals(200, client.read().status());
                }
                assertTrue(System.nanoTime() - startNanos < 3_000_000_000L, "served too late, crowd of " + crowd.size());
                assertEquals("200 ready\n", program.callConsole("HEALTH"));
            }
        }
        for (Client client : crowd) {
            client.close();
        }
    }

    /** Waits until this time has passed. */
    private static void pause(int millis) {
        long startNanos = System.nanoTime();
        Await.until("the end of the pause", () -> System.nanoTime() - startNanos > millis * 1_000_000L);
    }
}

package badgermux.it;

import static badgermux.it.Program.member;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Requests that wait in the queue of a listening socket that one process of the built program leaves to the next. */
@Timeout(60)
class AcceptQueueRestartIT {
    private static final int CLIENT_TIMEOUT_MILLIS = 5000;
    /** By the protocol a backend may be told so much more than its client has left. */
    private static final int TOLD_TIME_SLACK_MILLIS = 150;

    @TempDir private Path folder;
    private FakeServer backend;
    private Supervisor supervisor;
    private Supervisor.Instance previous;

    @BeforeEach void startPrevious() throws IOException {
        backend = new FakeServer();
        supervisor = new Supervisor(folder, member("s-1", backend, "east", "SERVING"), 256, Program.SETTINGS);
        previous = supervisor.start();
        previous.awaitReady();
    }

    @AfterEach void stop() throws IOException {
        supervisor.close();
        backend.close();
    }

    private static void send(Client client) throws IOException {
        client.send(Client.request("/preview", CLIENT_TIMEOUT_MILLIS + "m", "", ""));
    }

    /** Takes the request at the backend, checks the time that it is told, and responds. */
    private void assertServedInTimeLeft(Client client, long sentNanos) throws IOException, InterruptedException {
        FakeServer.Exchange exchange = backend.take();
        long waitedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
        int toldMillis = Integer.parseInt(exchange.header("X-Timeout").replace("m", ""));
        assertTrue(toldMillis <= CLIENT_TIMEOUT_MILLIS - waitedMillis + TOLD_TIME_SLACK_MILLIS,
            "told " + toldMillis + " ms when the client had waited for " + waitedMillis + " ms");
        exchange.sendResult("r");
        assertEquals(200, client.read().status());
    }

    /** Guards against a backend that is told the whole time of a client that has waited for the next process to start. */
    @Test void backendIsToldTheTimeLeftAfterAShutdown() throws IOException, InterruptedException {
        previous.signal("TERM");
        previous.awaitExit();
        try (Client client = supervisor.client()) {
            long sentNanos = System.nanoTime();
            send(client);
            supervisor.start();
            assertServedInTimeLeft(client, sentNanos);
        }
    }

    /** The same where the next process hangs, and the previous one serves again. */
    @Test void backendIsToldTheTimeLeftAfterTheNextProcessHangs() throws IOException, InterruptedException {
        Supervisor.Instance next = supervisor.start();
        next.awaitReady();
        next.hang();
        try (Client client = supervisor.client()) {
            long sentNanos = System.nanoTime();
            send(client);
            assertServedInTimeLeft(client, sentNanos);
        }
    }

    /** A killed process leaves no word of its queue, so whoever waits there may have no time left: no backend is tried. */
    @Test void requestThatHasWaitedSinceAKillIsRefused() throws IOException, InterruptedException {
        previous.signal("KILL");
        previous.awaitExit();
        try (Client client = supervisor.client()) {
            send(client);
            Supervisor.Instance next = supervisor.start();
            assertEquals(503, client.read().status());
            assertNull(backend.poll(), "no backend is tried");
            next.awaitReady();
        }
        try (Client client = supervisor.client()) {
            long sentNanos = System.nanoTime();
            send(client);
            assertServedInTimeLeft(client, sentNanos);
        }
    }
}

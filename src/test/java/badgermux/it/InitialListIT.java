package badgermux.it;

import static badgermux.it.Program.member;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.it.FakeDiscovery.Mode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The built program starts with a list that names a backend which has left since, and clients send from its first moment on.
 * It must not send to that backend if discovery can be reached, and must serve with that list if discovery can't.
 */
@Timeout(60)
class InitialListIT {
    private static final int CLIENT_COUNT = 4;
    /** The limit for a restarted process to be ready. */
    private static final long MAX_READY_MILLIS = 6_000;

    @TempDir private Path folder;
    private FakeServer goneBackend;
    private FakeServer listedBackend;
    private FakeDiscovery discovery;

    @BeforeEach void start() throws IOException {
        goneBackend = new FakeServer();
        listedBackend = new FakeServer();
        discovery = new FakeDiscovery();
        discovery.recover(2, member("s-2", listedBackend, "east", "SERVING"), true);
    }

    @AfterEach void stop() throws IOException {
        discovery.close();
        goneBackend.close();
        listedBackend.close();
    }

    private Program startProgram(String settings) throws IOException {
        return Program.startWithDiscovery(discovery.address(), Program.runCommand(), folder,
            member("s-1", goneBackend, "east", "SERVING"), 1024, settings);
    }

    /** Sends requests at once on several connections; all have to be served by the listed backend. */
    private void assertServedByListedBackend(Program program) throws IOException, InterruptedException {
        Client[] clients = new Client[CLIENT_COUNT];
        for (int i = 0; i < CLIENT_COUNT; i++) {
            clients[i] = program.client().send(Client.request("/preview", "5000m", "", ""));
        }
        for (int i = 0; i < CLIENT_COUNT; i++) {
            listedBackend.take().sendResult("r");
        }
        for (Client client : clients) {
            assertEquals(200, client.read().status());
            client.close();
        }
        assertNull(goneBackend.poll(), "a backend that has left is sent no request");
    }

    @Test void sendsNothingToABackendThatHasLeft() throws IOException, InterruptedException {
        try (Program program = startProgram(Program.SETTINGS)) {
            assertServedByListedBackend(program);
        }
    }

    @Test void sendsNothingToABackendThatHasLeftWhereTheListIsPushed() throws IOException, InterruptedException {
        try (Program program = startProgram(Program.SETTINGS.replace("on_request", "pushed"))) {
            assertServedByListedBackend(program);
        }
    }

    /** Discovery has too many callers: the first call waits and fails. */
    @ParameterizedTest @ValueSource(longs = {1_000, 2_000})
    void sendsNothingToABackendThatHasLeftWhileDiscoveryIsBusy(long refusalDelayMillis) throws IOException, InterruptedException {
        discovery.refuseCalls(1, refusalDelayMillis);
        try (Program program = startProgram(Program.SETTINGS)) {
            assertServedByListedBackend(program);
        }
    }

    /** The load balancer sends clients to a process only once it is ready. */
    @Test void isNotReadyBeforeDiscoveryHasAnswered() throws IOException, InterruptedException {
        discovery.refuseCalls(1, 2_000);
        try (Program program = startProgram(Program.SETTINGS)) {
            try (Client client = program.client()) {
                assertEquals(503, client.get("/healthz").status());
            }
            awaitReady(program);
            assertTrue(discovery.recordedCalls().size() > 1, "the call after the refused one has been answered");
        }
    }

    /** Without discovery the program serves with the list that it has, and is ready in time. */
    @ParameterizedTest @EnumSource(value = Mode.class, names = {"REFUSED", "RESET", "BUSY", "SILENT"})
    void servesWithTheInitialListWithoutDiscovery(Mode mode) throws IOException, InterruptedException {
        discovery.failWith(mode);
        long startedNanos = System.nanoTime();
        try (Program program = startProgram(Program.SETTINGS)) {
            awaitReady(program);
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
            assertTrue(millis <= MAX_READY_MILLIS, "ready after " + millis + " ms");
            try (Client client = program.client()) {
                client.send(Client.request("/preview", "5000m", "", ""));
                goneBackend.take().sendResult("r");
                assertEquals(200, client.read().status());
            }
        }
    }

    private static void awaitReady(Program program) {
        Await.until("ready", () -> {
            try (Client client = program.client()) {
                return client.get("/healthz").status() == 200;
            }
        });
    }
}

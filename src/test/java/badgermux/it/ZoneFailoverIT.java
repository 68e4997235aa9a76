package badgermux.it;

import static badgermux.it.Program.member;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the packaged program through the loss and the return of a zone, and checks what the fake backends of both zones were
 * sent.
 */
@Timeout(90)
class ZoneFailoverIT {
    /** Short times, so that a zone changes its standing within seconds. */
    private static final String ZONE_SETTINGS = "{\"holdMs\":500,\"stageMs\":200,\"learnsForMs\":200,\"evidenceForMs\":2000}";

    @TempDir private Path folder;
    private final List<FakeServer> west = new ArrayList<>();
    private final List<FakeServer> east = new ArrayList<>();
    private final List<Integer> eastPorts = new ArrayList<>();
    private final AtomicInteger servedCount = new AtomicInteger();
    private final AtomicInteger servedInEastCount = new AtomicInteger();
    private final Map<String, Integer> runsByKey = new ConcurrentHashMap<>();
    private String members;
    private Program program;

    @BeforeEach void start() throws IOException {
        StringBuilder list = new StringBuilder();
        for (int i = 0; i < 3; i++) {
            FakeServer westBackend = new FakeServer();
            FakeServer eastBackend = new FakeServer();
            west.add(westBackend);
            eastPorts.add(eastBackend.port());
            serveInBackground(westBackend, false);
            list.append(i == 0 ? "" : ",").append(member("w-" + i, westBackend, "west", "SERVING")).append(',')
                .append(member("e-" + i, eastBackend, "east", "SERVING"));
            // Connections to this port are refused until the zone returns, as after the crash of a backend.
            eastBackend.close();
        }
        members = list.toString();
    }

    @AfterEach void stop() throws IOException {
        program.close();
        for (FakeServer server : west) {
            server.close();
        }
        for (FakeServer server : east) {
            server.close();
        }
    }

    /** Serves the requests to a backend on a thread of its own and counts them. */
    private void serveInBackground(FakeServer server, boolean inEast) {
        Thread thread = new Thread(() -> {
            try {
                while (true) {
                    FakeServer.Exchange exchange = server.take();
                    String key = exchange.header("Idempotency-Key");
                    if (key != null) {
                        runsByKey.merge(key, 1, Integer::sum);
                    }
                    servedCount.incrementAndGet();
                    servedInEastCount.addAndGet(inEast ? 1 : 0);
                    exchange.sendResult("r");
                }
            } catch (InterruptedException | IOException | AssertionError e) {
                // expected at the end of the test, or when no request came for a while
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Sets the settings of zones by the admin API and restarts the program, which reads them from its snapshot. */
    private void startWithZonesEnabled() throws IOException {
        program = new Program(folder, members, "--snapshot " + folder.resolve("s.json"));
        try (Client admin = program.adminClient()) {
            assertEquals(422, admin.callAdmin("PUT", "/v1/zones", "", "{\"darkAt\":0.1}").status());
            Client.Response invalid = admin.callAdmin("PUT", "/v1/zones", "", "{\"darkness\":1}");
            assertTrue(invalid.status() == 422 && invalid.body().contains("darkness is no setting"), invalid.body());
            assertTrue(admin.callAdmin("GET", "/v1/zones", "", "").body().contains("\"on\": false"));
            assertEquals(200, admin.callAdmin("PUT", "/v1/zones", "", ZONE_SETTINGS).status());
        }
        program.close();
        program = new Program(folder, members, "--snapshot " + folder.resolve("s.json"));
    }

    /** Returns what the admin API shows of the zones. */
    private String zoneView() throws IOException {
        try (Client admin = program.adminClient()) {
            return admin.callAdmin("GET", "/v1/zones", "", "").body();
        }
    }

    private static boolean hasStanding(String view, String zone, String standing) {
        return view.replaceAll("\\s", "").contains("\"zone\":\"" + zone + "\",\"standing\":\"" + standing + "\"");
    }

    /**
     * The zone east is down at first: its work is spilled to west, and keyed requests run at most once. When its backends
     * return, the zone gets work again by stages.
     */
    @Test void spillsWorkOfDarkZoneAndReturnsItByStages() throws IOException {
        startWithZonesEnabled();
        int answerCount = 0;
        int resultCount = 0;
        String view = "";
        try (Client client = program.client()) {
            for (int round = 0; !hasStanding(view, "east", "dark"); round++) {
                assertTrue(round < 2_000, view);
                for (int i = 0; i < 5; i++) {
                    int status = client.send(Client.request("/preview", "5000m", "", "")).read().status();
                    assertTrue(status == 200 || status == 503, "status " + status);
                    resultCount += status == 200 ? 1 : 0;
                    answerCount++;
                }
                view = zoneView();
            }
            // A keyed request is sent once, whatever the standing of its zone.
            for (int i = 0; i < 20; i++) {
                int status = client.send(Client.request("/publish", "5000m", "Idempotency-Key: k" + i + "\r\n", "")).read()
                    .status();
                assertTrue(status == 200 || status == 503, "status " + status);
                resultCount += status == 200 ? 1 : 0;
                answerCount++;
            }
            assertTrue(resultCount > answerCount / 2, resultCount + " of " + answerCount + " served");
            assertEquals(0, servedInEastCount.get());
            assertTrue(zoneView().contains("nodes fail (connects "), view);
            for (int port : eastPorts) {
                FakeServer restarted = new FakeServer(port);
                east.add(restarted);
                serveInBackground(restarted, true);
            }
            boolean wasReturning = false;
            for (int round = 0; !hasStanding(view, "east", "whole"); round++) {
                assertTrue(round < 30_000, view);
                int status = client.send(Client.request("/preview", "5000m", "", "")).read().status();
                assertTrue(status == 200 || status == 503, "status " + status);
                resultCount += status == 200 ? 1 : 0;
                view = zoneView();
                wasReturning |= hasStanding(view, "east", "returning");
            }
            assertTrue(wasReturning, "the zone returned by stages");
        }
        assertEquals(resultCount, servedCount.get(), "one run for each result");
        assertFalse(runsByKey.values().stream().anyMatch(runs -> runs > 1), runsByKey.toString());
        assertTrue(servedInEastCount.get() > 0);
        assertEquals(0, program.counterValue("exceptions"));
    }
}

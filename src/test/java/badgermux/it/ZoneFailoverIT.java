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

/** A zone's loss and return on the real jar: what the stand-in nodes of either zone were sent. */
@Timeout(90)
class ZoneFailoverIT {
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
            FakeServer here = new FakeServer();
            FakeServer gone = new FakeServer();
            west.add(here);
            eastPorts.add(gone.port());
            serveInBackground(here, false);
            list.append(i == 0 ? "" : ",").append(member("w-" + i, here, "west", "SERVING")).append(',')
                .append(member("e-" + i, gone, "east", "SERVING"));
            // Nobody listens there until the zone comes back: connections are refused, as by dead processes.
            gone.close();
        }
        members = list.toString();
    }

    @AfterEach void stop() throws IOException {
        program.close();
        for (FakeServer peer : west) {
            peer.close();
        }
        for (FakeServer peer : east) {
            peer.close();
        }
    }

    private void serveInBackground(FakeServer peer, boolean inEast) {
        Thread thread = new Thread(() -> {
            try {
                while (true) {
                    FakeServer.Exchange call = peer.take();
                    String key = call.header("Idempotency-Key");
                    if (key != null) {
                        runsByKey.merge(key, 1, Integer::sum);
                    }
                    servedCount.incrementAndGet();
                    servedInEastCount.addAndGet(inEast ? 1 : 0);
                    call.sendResult("r");
                }
            } catch (InterruptedException | IOException | AssertionError e) {
                // the test is over, or nothing came for a while
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void startWithZonesEnabled() throws IOException {
        program = new Program(folder, members, "--snapshot " + folder.resolve("s.json"));
        try (Client admin = program.adminClient()) {
            assertEquals(422, admin.callAdmin("PUT", "/v1/zones", "", "{\"darkAt\":0.1}").status());
            Client.Response wrong = admin.callAdmin("PUT", "/v1/zones", "", "{\"darkness\":1}");
            assertTrue(wrong.status() == 422 && wrong.body().contains("darkness is no setting"), wrong.body());
            assertTrue(admin.callAdmin("GET", "/v1/zones", "", "").body().contains("\"on\": false"));
            assertEquals(200, admin.callAdmin("PUT", "/v1/zones", "", ZONE_SETTINGS).status());
        }
        program.close();
        program = new Program(folder, members, "--snapshot " + folder.resolve("s.json"));
    }

    private String zoneView() throws IOException {
        try (Client admin = program.adminClient()) {
            return admin.callAdmin("GET", "/v1/zones", "", "").body();
        }
    }

    private static boolean hasStanding(String view, String zone, String standing) {
        return view.replaceAll("\\s", "").contains("\"zone\":\"" + zone + "\",\"standing\":\"" + standing + "\"");
    }

    @Test void spillsWorkOfDarkZoneAndReturnsItByStages() throws IOException {
        startWithZonesEnabled();
        int answers = 0;
        int done = 0;
        String view = "";
        try (Client client = program.client()) {
            for (int round = 0; !hasStanding(view, "east", "dark"); round++) {
                assertTrue(round < 2_000, view);
                for (int i = 0; i < 5; i++) {
                    int status = client.send(Client.request("/preview", "5000m", "", "")).read().status();
                    assertTrue(status == 200 || status == 503, "status " + status);
                    done += status == 200 ? 1 : 0;
                    answers++;
                }
                view = zoneView();
            }
            // A keyed job goes out once, wherever its zone stands.
            for (int i = 0; i < 20; i++) {
                int status = client.send(Client.request("/publish", "5000m", "Idempotency-Key: k" + i + "\r\n", "")).read().status();
                assertTrue(status == 200 || status == 503, "status " + status);
                done += status == 200 ? 1 : 0;
                answers++;
            }
            assertTrue(done > answers / 2, done + " of " + answers);
            assertEquals(0, servedInEastCount.get());
            assertTrue(zoneView().contains("nodes fail (connects "), view);
            for (int port : eastPorts) {
                FakeServer back = new FakeServer(port);
                east.add(back);
                serveInBackground(back, true);
            }
            boolean returning = false;
            for (int round = 0; !hasStanding(view, "east", "whole"); round++) {
                assertTrue(round < 30_000, view);
                int status = client.send(Client.request("/preview", "5000m", "", "")).read().status();
                assertTrue(status == 200 || status == 503, "status " + status);
                done += status == 200 ? 1 : 0;
                view = zoneView();
                returning |= hasStanding(view, "east", "returning");
            }
            assertTrue(returning, "it came back by stages");
        }
        assertEquals(done, servedCount.get(), "one run for each answer");
        assertFalse(runsByKey.values().stream().anyMatch(times -> times > 1), runsByKey.toString());
        assertTrue(servedInEastCount.get() > 0);
        assertEquals(0, program.counterValue("exceptions"));
    }
}

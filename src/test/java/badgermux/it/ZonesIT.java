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
class ZonesIT {
    private static final String SETTINGS = "{\"holdMs\":500,\"stageMs\":200,\"learnsForMs\":200,\"evidenceForMs\":2000}";

    @TempDir private Path folder;
    private final List<Peer> west = new ArrayList<>();
    private final List<Peer> east = new ArrayList<>();
    private final List<Integer> ports = new ArrayList<>();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger servedInEast = new AtomicInteger();
    private final Map<String, Integer> keys = new ConcurrentHashMap<>();
    private String members;
    private Program program;

    @BeforeEach void start() throws IOException {
        StringBuilder list = new StringBuilder();
        for (int i = 0; i < 3; i++) {
            Peer here = new Peer();
            Peer gone = new Peer();
            west.add(here);
            ports.add(gone.port());
            answer(here, false);
            list.append(i == 0 ? "" : ",").append(member("w-" + i, here, "west", "SERVING")).append(',')
                .append(member("e-" + i, gone, "east", "SERVING"));
            // Nobody listens there until the zone comes back: connections are refused, as by dead processes.
            gone.close();
        }
        members = list.toString();
    }

    @AfterEach void stop() throws IOException {
        program.close();
        for (Peer peer : west) {
            peer.close();
        }
        for (Peer peer : east) {
            peer.close();
        }
    }

    private void answer(Peer peer, boolean inEast) {
        Thread thread = new Thread(() -> {
            try {
                while (true) {
                    Peer.Call call = peer.take();
                    String key = call.header("Idempotency-Key");
                    if (key != null) {
                        keys.merge(key, 1, Integer::sum);
                    }
                    served.incrementAndGet();
                    servedInEast.addAndGet(inEast ? 1 : 0);
                    call.done("r");
                }
            } catch (InterruptedException | IOException | AssertionError e) {
                // the test is over, or nothing came for a while
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void zonesOn() throws IOException {
        program = new Program(folder, members, "--snapshot " + folder.resolve("s.json"));
        try (Client admin = program.admin()) {
            assertEquals(422, admin.call("PUT", "/v1/zones", "", "{\"darkAt\":0.1}").status());
            Client.Answer wrong = admin.call("PUT", "/v1/zones", "", "{\"darkness\":1}");
            assertTrue(wrong.status() == 422 && wrong.body().contains("darkness is no setting"), wrong.body());
            assertTrue(admin.call("GET", "/v1/zones", "", "").body().contains("\"on\": false"));
            assertEquals(200, admin.call("PUT", "/v1/zones", "", SETTINGS).status());
        }
        program.close();
        program = new Program(folder, members, "--snapshot " + folder.resolve("s.json"));
    }

    private String view() throws IOException {
        try (Client admin = program.admin()) {
            return admin.call("GET", "/v1/zones", "", "").body();
        }
    }

    private static boolean stands(String view, String zone, String standing) {
        return view.replaceAll("\\s", "").contains("\"zone\":\"" + zone + "\",\"standing\":\"" + standing + "\"");
    }

    @Test void aDarkZonesWorkIsSpilledAndItsReturnGoesByStages() throws IOException {
        zonesOn();
        int answers = 0;
        int done = 0;
        String view = "";
        try (Client client = program.client()) {
            for (int round = 0; !stands(view, "east", "dark"); round++) {
                assertTrue(round < 2_000, view);
                for (int i = 0; i < 5; i++) {
                    int status = client.send(Client.request("/preview", "5000m", "", "")).read().status();
                    assertTrue(status == 200 || status == 503, "status " + status);
                    done += status == 200 ? 1 : 0;
                    answers++;
                }
                view = view();
            }
            // A keyed job goes out once, wherever its zone stands.
            for (int i = 0; i < 20; i++) {
                int status = client.send(Client.request("/publish", "5000m", "Idempotency-Key: k" + i + "\r\n", "")).read().status();
                assertTrue(status == 200 || status == 503, "status " + status);
                done += status == 200 ? 1 : 0;
                answers++;
            }
            assertTrue(done > answers / 2, done + " of " + answers);
            assertEquals(0, servedInEast.get());
            assertTrue(view().contains("nodes fail (connects "), view);
            for (int port : ports) {
                Peer back = new Peer(port);
                east.add(back);
                answer(back, true);
            }
            boolean returning = false;
            for (int round = 0; !stands(view, "east", "whole"); round++) {
                assertTrue(round < 30_000, view);
                int status = client.send(Client.request("/preview", "5000m", "", "")).read().status();
                assertTrue(status == 200 || status == 503, "status " + status);
                done += status == 200 ? 1 : 0;
                view = view();
                returning |= stands(view, "east", "returning");
            }
            assertTrue(returning, "it came back by stages");
        }
        assertEquals(done, served.get(), "one run for each answer");
        assertFalse(keys.values().stream().anyMatch(times -> times > 1), keys.toString());
        assertTrue(servedInEast.get() > 0);
        assertEquals(0, program.count("exceptions"));
    }
}

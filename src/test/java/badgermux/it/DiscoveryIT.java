package badgermux.it;

import static badgermux.it.Program.member;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.GsonBuilder;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The real program under a discovery service that fails, lags or replaces much at once. */
@Timeout(60)
class DiscoveryIT {
    @TempDir private Path folder;
    private FakeServer backend;
    private Program program;

    @BeforeEach void start() throws IOException {
        backend = new FakeServer();
        program = Program.startWithConsole(folder, member("s-1", backend, "east", "SERVING"), 1024);
    }

    @AfterEach void stop() throws IOException {
        program.close();
        backend.close();
    }

    private void assertServedBy(FakeServer at) throws IOException, InterruptedException {
        try (Client client = program.client()) {
            client.send(Client.request("/preview", "5000m", "", ""));
            at.take().sendResult("r");
            assertEquals(200, client.read().status());
        }
    }

    private static String list(int revision, boolean complete, String members) {
        return "{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":[" + members + "]}";
    }

    private static String members(int count, FakeServer at) {
        return IntStream.range(0, count).mapToObj(i -> member("r-" + i, at, "west", "SERVING"))
            .collect(Collectors.joining(","));
    }

    /** An older list once brought back who had left, and took away who had come. */
    @Test void keepsCurrentListWhateverDiscoveryAnswers() throws IOException, InterruptedException {
        program.discovery.take().reply("200 OK", list(5, false, ""));
        program.discovery.take().reply("503 Busy", "");
        assertServedBy(backend);
        program.discovery.take().reset();
        program.discovery.take().send("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n" + list(6, true, "").substring(9)).reset();
        assertServedBy(backend);
        program.discovery.take().reply("200 OK", list(4, true, ""));
        FakeServer.Exchange next = program.discovery.take();
        assertTrue(next.head.startsWith("GET /v1/servers?since=5&"), next.head);
        assertServedBy(backend);
        assertEquals(4, program.counterValue("director_failures"));
        next.reply("200 OK", list(6, false, members(500, backend)));
        program.discovery.take().reply("200 OK", list(7, true, member("s-1", backend, "east", "SERVING")));
        program.discovery.take();
        assertServedBy(backend);
        assertEquals(1, program.dumpValue("cluster_size"), "it has been 501");
        program.process.toHandle().destroy();
        List<String> log = new ArrayList<>();
        for (String line = program.readLogLine(); line != null; line = program.readLogLine()) {
            log.add(line);
        }
        assertEquals(1, log.stream().filter(line -> line.contains("Discovery request failed: status 503")).count(), log::toString);
        assertEquals(1, log.stream().filter(line -> line.contains("Discovery request failed")).count(), "one line for all");
        assertEquals(1, log.stream().filter(line -> line.contains("Discovery requests succeed again")).count());
    }

    @Test void watchesAgainWhenDiscoveryFallsSilent() throws IOException, InterruptedException {
        FakeServer.Exchange silent = program.discovery.take();
        assertTrue(silent.isClosedByClient(), "after the wait that was asked for and a little more");
        program.discovery.take();
        assertServedBy(backend);
    }

    /**
     * What a silent watch misses counts as told 6 s after it fell silent, which may be as it begins: the call made anew has
     * to be answered by then, also where it is refused once.
     */
    @Test void reopensSilentWatchInTimeForMissedDrain() throws IOException, InterruptedException {
        FakeServer other = new FakeServer();
        long before = System.nanoTime();
        FakeServer.Exchange silent = program.discovery.take();
        FakeServer.Exchange again = program.discovery.take();
        long millis = (System.nanoTime() - before) / 1_000_000;
        assertTrue(millis > 3_500 && millis < 4_600, "after the wait and a second: " + millis);
        assertTrue(silent.isClosedByClient());
        again.reply("200 OK", list(2, false, member("s-1", backend, "east", "DRAINING") + ','
            + member("s-2", other, "east", "SERVING")));
        program.discovery.take();
        assertServedBy(other);
        assertEquals(0, program.counterValue("director_failures"));
        assertEquals(1, program.counterValue("director_silences"));
        other.close();
    }

    /** For ten seconds nothing was believed of a discovery service that counts its revisions from the start again, drains included. */
    @Test void appliesDrainsOfOlderListAndRequestsFullList() throws IOException, InterruptedException {
        FakeServer other = new FakeServer();
        program.discovery.take().reply("200 OK", list(40, false, member("s-2", other, "east", "SERVING")));
        program.discovery.take().reply("200 OK", list(3, false, member("s-1", backend, "east", "DRAINING") + ','
            + member("s-9", backend, "east", "SERVING")));
        FakeServer.Exchange whole = program.discovery.take();
        assertTrue(whole.head.startsWith("GET /v1/servers?since=0&"), whole.head);
        for (int i = 0; i < 5; i++) {
            assertServedBy(other);
        }
        assertNull(backend.poll(), "it drains, and who stands in an older list only is not brought back");
        whole.reply("200 OK", list(4, true, member("s-1", backend, "east", "SERVING")));
        assertTrue(program.discovery.take().head.startsWith("GET /v1/servers?since=4&"));
        assertServedBy(backend);
        other.close();
    }

    @Test void addressTakenOverByNewBackendBelongsToIt() throws IOException, InterruptedException {
        FakeServer other = new FakeServer();
        assertServedBy(backend);
        program.discovery.take().reply("200 OK", list(2, false, member("s-1", backend, "east", "DELETED") + ','
            + member("s-2", backend, "east", "SERVING")));
        program.discovery.take().reply("200 OK", list(3, false, member("s-2", backend, "east", "DELETED") + ','
            + member("s-1", other, "east", "SERVING")));
        program.discovery.take();
        for (int i = 0; i < 3; i++) {
            assertServedBy(other);
        }
        assertNull(backend.poll(), "both ids have left this address");
        assertEquals(1, program.dumpValue("cluster_size"));
        other.close();
    }

    /**
     * A list that is pushed was never asked for: all went to the runners of the configuration until the first SIGHUP,
     * whoever had drained, left or come.
     */
    @Test void watchesPushedListFromStartAndThroughFailures() throws IOException, InterruptedException {
        FakeServer other = new FakeServer();
        try (Program pushed = new Program(folder, member("s-1", backend, "east", "SERVING"), 1024,
                Program.SETTINGS.replace("on_request", "pushed")); Client client = pushed.client()) {
            FakeServer.Exchange first = pushed.discovery.take();
            assertTrue(first.head.startsWith("GET /v1/servers?since=1&"), first.head);
            first.reply("200 OK", list(2, false, member("s-1", backend, "east", "DRAINING") + ','
                + member("s-2", other, "east", "SERVING")));
            pushed.discovery.take().reset();
            pushed.discovery.take().reply("503 Busy", "");
            FakeServer.Exchange again = pushed.discovery.take();
            assertTrue(again.head.startsWith("GET /v1/servers?since=2&"), again.head);
            for (int i = 0; i < 5; i++) {
                client.send(Client.request("/preview", "5000m", "", ""));
                other.take().sendResult("r");
                assertEquals(200, client.read().status());
            }
            assertNull(backend.poll(), "it drains");
        }
        other.close();
    }

    @Test void handlesThousandBackendsAndDispatchersWithMinimumDescriptors() throws IOException, InterruptedException {
        String settings = Program.SETTINGS.replaceFirst("\\{", "{\"Balancers\":1024,\"Me\":1023,");
        String whole = new GsonBuilder().setPrettyPrinting().create()
            .toJson(JsonParser.parseString(list(2, true, members(1024, backend))));
        assertTrue(whole.lines().count() > 8 * 1024);
        try (Program large = Program.startWithConsole(Files.createDirectory(folder.resolve("large")), members(1024, backend), 128, settings)) {
            large.discardLog();
            large.discovery.take().reply("200 OK", whole);
            large.discovery.take();
            assertEquals(1024, large.dumpValue("cluster_size"));
            for (int i = 0; i < 100; i++) {
                try (Client client = large.client()) {
                    client.send(Client.request("/preview", "5000m", "", ""));
                    backend.take().sendResult("r");
                    assertEquals(200, client.read().status());
                }
            }
            Path about = Path.of("/proc", String.valueOf(large.process.pid()));
            String resident = Files.readAllLines(about.resolve("status")).stream().filter(line -> line.startsWith("VmHWM"))
                .findFirst().orElseThrow().replaceAll("\\D", "");
            assertTrue(Long.parseLong(resident) < 192 * 1024, resident + " kB");
            try (Stream<Path> open = Files.list(about.resolve("fd"))) {
                assertTrue(open.count() <= 128);
            }
        }
    }

    /** 44 connections to runners are all that 128 descriptors leave: each probe of one more closes an idle one. */
    @Test void closesIdleConnectionsToProbeTwoHundredBackends() throws IOException, InterruptedException {
        String probing = Program.SETTINGS.replace("\"silent\"", "\"pull\"").replace("\"Cancel\"", "\"Probes\":true,\"Cancel\"");
        try (Program small = new Program(folder, members(200, backend), 128, probing); Client client = small.client()) {
            for (int i = 0; i < 60; i++) {
                client.send(Client.request("/preview", "5000m", "", ""));
                FakeServer.Exchange call = backend.take();
                while (call.head.startsWith("GET")) {
                    call.reply("200 OK", "TEXT x0=2, x1=2, recent_ms=0, throughput=0");
                    call = backend.take();
                }
                call.sendResult("r");
                assertEquals(200, client.read().status());
            }
            assertTrue(small.counterValue("backend_connects") > 100, "far more than fit");
            assertTrue(small.counterValue("backend_connections_open") <= 44);
            assertEquals(0, small.counterValue("backend_connections_over_cap"));
            assertEquals(60, small.counterValue("fetches_served"));
        }
    }
}

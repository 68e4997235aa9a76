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

/**
 * Runs the packaged program with a discovery service that fails, falls silent, sends outdated lists or replaces many backends
 * at once.
 */
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

    /** Sends a request and checks that it goes to this backend. */
    private void assertServedBy(FakeServer server) throws IOException, InterruptedException {
        try (Client client = program.client()) {
            client.send(Client.request("/preview", "5000m", "", ""));
            server.take().sendResult("r");
            assertEquals(200, client.read().status());
        }
    }

    private static String list(int revision, boolean complete, String members) {
        return "{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":[" + members + "]}";
    }

    private static String members(int count, FakeServer server) {
        return IntStream.range(0, count).mapToObj(i -> member("r-" + i, server, "west", "SERVING"))
            .collect(Collectors.joining(","));
    }

    /**
     * Failed, truncated and outdated responses leave the backend list as it is. An older list would bring back backends that
     * have left and remove backends that have joined.
     */
    @Test void keepsCurrentListWhateverDiscoveryAnswers() throws IOException, InterruptedException {
        program.discovery.take().reply("200 OK", list(5, false, ""));
        program.discovery.take().reply("503 Busy", "");
        assertServedBy(backend);
        program.discovery.take().reset();
        program.discovery.take().send("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n" + list(6, true, "").substring(9))
            .reset();
        assertServedBy(backend);
        program.discovery.take().reply("200 OK", list(4, true, ""));
        FakeServer.Exchange nextWatch = program.discovery.take();
        assertTrue(nextWatch.head.startsWith("GET /v1/servers?since=5&"), nextWatch.head);
        assertServedBy(backend);
        assertEquals(4, program.counterValue("director_failures"));
        nextWatch.reply("200 OK", list(6, false, members(500, backend)));
        program.discovery.take().reply("200 OK", list(7, true, member("s-1", backend, "east", "SERVING")));
        program.discovery.take();
        assertServedBy(backend);
        assertEquals(1, program.dumpValue("cluster_size"), "there were 501 before");
        program.process.toHandle().destroy();
        List<String> log = new ArrayList<>();
        for (String line = program.readLogLine(); line != null; line = program.readLogLine()) {
            log.add(line);
        }
        assertEquals(1, log.stream().filter(line -> line.contains("Discovery request failed: status 503")).count(),
            log::toString);
        assertEquals(1, log.stream().filter(line -> line.contains("Discovery request failed")).count(),
            "one line for all failures");
        assertEquals(1, log.stream().filter(line -> line.contains("Discovery requests succeed again")).count());
    }

    @Test void watchesAgainWhenDiscoveryFallsSilent() throws IOException, InterruptedException {
        FakeServer.Exchange silentWatch = program.discovery.take();
        assertTrue(silentWatch.isClosedByClient(), "closed shortly after the requested wait");
        program.discovery.take();
        assertServedBy(backend);
    }

    /**
     * A change counts as known 6 s after the watch fell silent, which may be as soon as it begins. The next call has to be
     * answered by then, even if it is refused once.
     */
    @Test void reopensSilentWatchInTimeForMissedDrain() throws IOException, InterruptedException {
        FakeServer other = new FakeServer();
        long startNanos = System.nanoTime();
        FakeServer.Exchange silentWatch = program.discovery.take();
        FakeServer.Exchange nextWatch = program.discovery.take();
        long millis = (System.nanoTime() - startNanos) / 1_000_000;
        assertTrue(millis > 3_500 && millis < 4_600, "a second after the requested wait: " + millis + " ms");
        assertTrue(silentWatch.isClosedByClient());
        nextWatch.reply("200 OK", list(2, false, member("s-1", backend, "east", "DRAINING") + ','
            + member("s-2", other, "east", "SERVING")));
        program.discovery.take();
        assertServedBy(other);
        assertEquals(0, program.counterValue("director_failures"));
        assertEquals(1, program.counterValue("director_silences"));
        other.close();
    }

    /**
     * A discovery service may count its revisions from the start again. The drains in its lists have to be applied at once:
     * ignoring all of these lists for 10 s kept sending requests to draining backends.
     */
    @Test void appliesDrainsOfOlderListAndRequestsFullList() throws IOException, InterruptedException {
        FakeServer other = new FakeServer();
        program.discovery.take().reply("200 OK", list(40, false, member("s-2", other, "east", "SERVING")));
        program.discovery.take().reply("200 OK", list(3, false, member("s-1", backend, "east", "DRAINING") + ','
            + member("s-9", backend, "east", "SERVING")));
        FakeServer.Exchange fullListWatch = program.discovery.take();
        assertTrue(fullListWatch.head.startsWith("GET /v1/servers?since=0&"), fullListWatch.head);
        for (int i = 0; i < 5; i++) {
            assertServedBy(other);
        }
        assertNull(backend.poll(), "it drains, and a backend that only an older list has is not added");
        fullListWatch.reply("200 OK", list(4, true, member("s-1", backend, "east", "SERVING")));
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
        assertNull(backend.poll(), "neither id uses this address any more");
        assertEquals(1, program.dumpValue("cluster_size"));
        other.close();
    }

    /**
     * A list that an agent pushes must be watched without a request of the policy. Otherwise the backends of the configuration
     * stay in use until the first SIGHUP, whatever has drained, left or joined.
     */
    @Test void watchesPushedListFromStartAndThroughFailures() throws IOException, InterruptedException {
        FakeServer other = new FakeServer();
        try (Program pushed = new Program(folder, member("s-1", backend, "east", "SERVING"), 1024,
                Program.SETTINGS.replace("on_request", "pushed")); Client client = pushed.client()) {
            FakeServer.Exchange firstWatch = pushed.discovery.take();
            assertTrue(firstWatch.head.startsWith("GET /v1/servers?since=1&"), firstWatch.head);
            firstWatch.reply("200 OK", list(2, false, member("s-1", backend, "east", "DRAINING") + ','
                + member("s-2", other, "east", "SERVING")));
            pushed.discovery.take().reset();
            pushed.discovery.take().reply("503 Busy", "");
            FakeServer.Exchange nextWatch = pushed.discovery.take();
            assertTrue(nextWatch.head.startsWith("GET /v1/servers?since=2&"), nextWatch.head);
            for (int i = 0; i < 5; i++) {
                client.send(Client.request("/preview", "5000m", "", ""));
                other.take().sendResult("r");
                assertEquals(200, client.read().status());
            }
            assertNull(backend.poll(), "it is draining");
        }
        other.close();
    }

    /**
     * An indented list of 1,024 backends and 1,024 dispatchers have to fit into 128 file descriptors and 192 MB of resident
     * memory.
     */
    @Test void handlesThousandBackendsAndDispatchersWithMinimumDescriptors() throws IOException, InterruptedException {
        String settings = Program.SETTINGS.replaceFirst("\\{", "{\"Balancers\":1024,\"Me\":1023,");
        String fullList = new GsonBuilder().setPrettyPrinting().create()
            .toJson(JsonParser.parseString(list(2, true, members(1024, backend))));
        assertTrue(fullList.lines().count() > 8 * 1024);
        try (Program large = Program.startWithConsole(Files.createDirectory(folder.resolve("large")), members(1024, backend), 128,
                settings)) {
            large.discardLog();
            large.discovery.take().reply("200 OK", fullList);
            large.discovery.take();
            assertEquals(1024, large.dumpValue("cluster_size"));
            for (int i = 0; i < 100; i++) {
                try (Client client = large.client()) {
                    client.send(Client.request("/preview", "5000m", "", ""));
                    backend.take().sendResult("r");
                    assertEquals(200, client.read().status());
                }
            }
            Path processFolder = Path.of("/proc", String.valueOf(large.process.pid()));
            String peakResidentKb = Files.readAllLines(processFolder.resolve("status")).stream()
                .filter(line -> line.startsWith("VmHWM")).findFirst().orElseThrow().replaceAll("\\D", "");
            assertTrue(Long.parseLong(peakResidentKb) < 192 * 1024, peakResidentKb + " kB");
            try (Stream<Path> descriptors = Files.list(processFolder.resolve("fd"))) {
                assertTrue(descriptors.count() <= 128);
            }
        }
    }

    /** 128 file descriptors leave 44 connections to backends. Each probe of another backend closes an idle connection. */
    @Test void closesIdleConnectionsToProbeTwoHundredBackends() throws IOException, InterruptedException {
        String settings = Program.SETTINGS.replace("\"silent\"", "\"pull\"").replace("\"Cancel\"", "\"Probes\":true,\"Cancel\"");
        try (Program small = new Program(folder, members(200, backend), 128, settings); Client client = small.client()) {
            for (int i = 0; i < 60; i++) {
                client.send(Client.request("/preview", "5000m", "", ""));
                FakeServer.Exchange exchange = backend.take();
                while (exchange.head.startsWith("GET")) {
                    exchange.reply("200 OK", "TEXT x0=2, x1=2, recent_ms=0, throughput=0");
                    exchange = backend.take();
                }
                exchange.sendResult("r");
                assertEquals(200, client.read().status());
            }
            assertTrue(small.counterValue("backend_connects") > 100, "far more than the limit");
            assertTrue(small.counterValue("backend_connections_open") <= 44);
            assertEquals(0, small.counterValue("backend_connections_over_cap"));
            assertEquals(60, small.counterValue("fetches_served"));
        }
    }
}

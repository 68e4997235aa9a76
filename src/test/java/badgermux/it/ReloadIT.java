package badgermux.it;

import static badgermux.it.Program.member;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** SIGHUP on the built program: it rereads the configuration and loses no request. */
@Timeout(60)
class ReloadIT {
    @TempDir private Path folder;
    private FakeServer backend;
    private FakeServer newDiscovery;
    private Program program;
    private Client client;

    @BeforeEach void start() throws IOException {
        backend = new FakeServer();
        newDiscovery = new FakeServer();
        program = new Program(folder, member("s-1", backend, "east", "SERVING"));
        client = program.client();
    }

    @AfterEach void stop() throws IOException {
        client.close();
        program.close();
        newDiscovery.close();
        backend.close();
    }

    /** Writes the address of the new discovery service into the configuration and sends SIGHUP. */
    private void moveDiscovery() throws IOException, InterruptedException {
        program.reload("{\"name\":\"n\"", "{\"discovery\":\"" + newDiscovery.address() + "\",\"name\":\"n\"");
    }

    /** Reads the log up to a line with this text. */
    private void awaitLog(String text) throws IOException {
        String line = program.readLogLine();
        while (line != null && !line.contains(text)) {
            line = program.readLogLine();
        }
        assertTrue(line != null, "end of the log without: " + text);
    }

    @Test void watchesNewDiscoveryAddressAndKeepsRequests() throws IOException, InterruptedException {
        FakeServer.Exchange oldWatch = program.discovery.take();
        client.send(Client.request("/preview", "5000m", "", ""));
        FakeServer.Exchange inFlight = backend.take().sendStarted();
        moveDiscovery();
        FakeServer.Exchange newWatch = newDiscovery.take();
        assertTrue(newWatch.head.startsWith("GET /v1/servers?since=1&timeout_ms="), newWatch.head);
        assertEquals(newDiscovery.address(), newWatch.header("Host"));
        assertTrue(oldWatch.isClosedByClient(), "the old watch is closed");
        FakeServer addedBackend = new FakeServer();
        newWatch.reply("200 OK", "{\"revision\":2,\"complete\":false,\"members\":["
            + member("s-1", backend, "east", "DRAINING") + ',' + member("s-2", addedBackend, "east", "SERVING") + "]}");
        assertTrue(newDiscovery.take().head.startsWith("GET /v1/servers?since=2&"));
        try (Client second = program.client().send(Client.request("/preview", "5000m", "", ""))) {
            addedBackend.take().sendResult("new");
            assertEquals("new", second.read().body());
        }
        inFlight.sendLine("done", ",\"result\":\"old\"").endResponse();
        assertEquals("old", client.read().body());
        assertEquals(0, program.counterValue("director_failures"));
        assertEquals(1, program.counterValue("reloads"));
    }

    @Test void rejectsInvalidConfigurationAndLogsItsKey() throws IOException, InterruptedException {
        program.discovery.take();
        long callsBefore = program.counterValue("director_calls");
        program.reload("\"once\"", "\"twice\"");
        awaitLog("Configuration reload rejected: settings: setting RequestClasses.1.Effect");
        program.reload("{\"name\":\"n\"", "{\"discovery\":\"nowhere\",\"name\":\"n\"");
        awaitLog("Configuration reload rejected");
        program.reload("{", "");
        awaitLog("is not a JSON object");
        assertEquals(3, program.counterValue("reloads_rejected"));
        assertEquals(callsBefore, program.counterValue("director_calls"));
    }

    @Test void answersAllWhenReloadsRepeatAndSigtermFollows() throws IOException, InterruptedException {
        program.discovery.take();
        long callsBefore = program.counterValue("director_calls");
        client.send(Client.request("/preview", "5000m", "", ""));
        FakeServer.Exchange exchange = backend.take().sendStarted();
        moveDiscovery();
        FakeServer.Exchange newWatch = newDiscovery.take();
        program.sendSighup();
        awaitLog("Configuration reloaded");
        awaitLog("Configuration reloaded");
        assertEquals(1, program.counterValue("director_calls") - callsBefore, "the same address again keeps the watch");
        program.process.toHandle().destroy();
        program.sendSighup();
        awaitLog("Configuration reloaded");
        newWatch.reply("200 OK", "{\"revision\":2,\"complete\":false,\"members\":[]}");
        newDiscovery.take();
        exchange.sendLine("done", ",\"result\":\"r\"").endResponse();
        assertEquals("r", client.read().body());
        assertTrue(program.awaitOutput().contains("badgermux_reloads 3\n"));
        assertEquals(143, program.process.waitFor());
    }
}

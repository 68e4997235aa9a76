package badgermux.it;

import static badgermux.it.Program.member;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The built program under other settings: names with spaces and commas, and state learned under different settings. */
@Timeout(60)
class SettingsIT {
    @TempDir private Path folder;

    /** Names with spaces and commas match between settings and backend list: a mismatch would leave every backend unused. */
    @Test void acceptsNamesWithSpacesAndCommas() throws IOException, InterruptedException {
        String settings = Program.SETTINGS.replace("\"east\"", "\"reef, east\"").replace("[\"k\"]", "[\"quad 4\"]")
            .replace("\"preview\"", "\"photo set\"");
        FakeServer backend = new FakeServer();
        String member = member("s-1", backend, "reef, east", "SERVING").replace("\"k\"", "\"quad 4\"");
        try (Program program = new Program(folder, member, 1024, settings); Client client = program.client()) {
            for (String path : new String[] {"/photo%20set/7", "/photo_set"}) {
                client.send(Client.request(path, "5000m", "X-Priority-Class: photo set\r\n", ""));
                FakeServer.Exchange exchange = backend.take();
                assertTrue(exchange.head.startsWith("POST " + path + " HTTP/1.1\r\n"), exchange.head);
                exchange.sendResult("r");
                assertEquals(200, client.read().status());
            }
            assertEquals(0, program.counterValue("director_entries_skipped"));
            assertEquals(400, client.send(Client.request("/photo%zz", "5000m", "", "")).read().status());
        }
        backend.close();
    }

    /** Serves a request and exits in order; returns whether it went on from the learned state of the previous process. */
    private boolean restoresLearnedState(String settings) throws IOException, InterruptedException {
        FakeServer backend = new FakeServer();
        try (Program program = Program.startInFolder(folder, member("s-1", backend, "east", "SERVING"), settings)) {
            try (Client client = program.client()) {
                client.send(Client.request("/preview", "5000m", "", ""));
                backend.take().sendResult("r");
                assertEquals(200, client.read().status());
            }
            program.process.toHandle().destroy();
            program.awaitOutput();
            return program.awaitFullLog().stream()
                .anyMatch(line -> line.contains("Restored the learned state of the previous process"));
        } finally {
            backend.close();
        }
    }

    /** Learned state is only used under the settings it was learned with, even where names of classes and kinds are the same. */
    @Test void ignoresStateLearnedUnderOtherSettings() throws IOException, InterruptedException {
        assertFalse(restoresLearnedState(Program.SETTINGS));
        assertTrue(restoresLearnedState(Program.SETTINGS), "the same settings");
        assertFalse(restoresLearnedState(Program.SETTINGS.replace("\"GiveUpMs\":5000", "\"GiveUpMs\":9000")), "other settings");
        assertFalse(restoresLearnedState(Program.SETTINGS), "the first settings again");
    }
}

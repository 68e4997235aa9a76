package badgermux.it;

import static badgermux.it.Program.member;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that break the protocol get an error or a close soon, and nobody else suffers. */
@Timeout(60)
class MisbehavingClientsIT {
    private static final String ID_HEADER = "X-Request-ID: 00000000000000aa|";

    @TempDir private Path folder;
    private FakeServer backend;
    private Program program;
    private Client client;

    @BeforeEach void start() throws IOException {
        backend = new FakeServer();
        program = new Program(folder, member("s-1", backend, "east", "SERVING"));
        client = program.client();
    }

    @AfterEach void stop() throws IOException {
        client.close();
        program.close();
        backend.close();
    }

    private void assertOthersAreServed(Program by) throws IOException, InterruptedException {
        try (Client other = by.client().send(Client.request("/preview", "5000m", "", ""))) {
            FakeServer.Exchange call = backend.take();
            assertTrue(call.head.startsWith("POST /preview HTTP/1.1"), "something else came first: " + call.head);
            call.sendResult("r");
            assertEquals(200, other.read().status());
        }
    }

    private static final String[] REJECTED_REQUESTS = {
        "POST /preview HTTP/1.1|Content-Length: 0||~400", "nonsense||~400", "<>?|~400",
        "POST /preview HTTP/1.1|X-Request-ID: |Content-Length: 0||~400",
        "POST /preview HTTP/1.1|X-Request-ID: a b|Content-Length: 0||~400",
        "POST /preview HTTP/1.1|X-Request-ID: 00000000000000AA|Content-Length: 0||~400",
        "POST /preview HTTP/1.1|X-Request-ID: 00000000000000aaa|Content-Length: 0||~400",
        "POST /preview HTTP/1.1|@X-Request-ID: 00000000000000ab|Content-Length: 0||~400",
        "POST /preview HTTP/1.1|@Content-Length: x||~400", "POST /preview HTTP/1.1|@Content-Length: -1||~400",
        "POST /preview HTTP/1.1|@Content-Length: 65537||~413",
        "POST /preview HTTP/1.1|@Content-Length: 0|Content-Length: 0||~400",
        "POST /preview HTTP/1.1|@Content-Length: 1|Transfer-Encoding: chunked||~400",
        "POST /preview HTTP/1.1|@Transfer-Encoding: chunked||1 |x|0||~400",
        "POST /preview HTTP/1.0|@Content-Length: 0||~400", "POST preview HTTP/1.1|@Content-Length: 0||~400",
        "POST /what HTTP/1.1|@Content-Length: 0||~400", "PUT /preview HTTP/1.1|@|~405",
        "POST /preview HTTP/1.1|@X-Priority-Class: pay|Content-Length: 0||~400",
        "POST /what HTTP/1.1|@X-Priority-Class: preview|Content-Length: 0||~400",
        "POST /publish HTTP/1.1|@Content-Length: 0||~400",
        "POST /preview HTTP/1.1|@X-Timeout: 5|Content-Length: 0||~400",
        "POST /preview HTTP/1.1|@X-Timeout: 1dm|Content-Length: 0||~400",
        "POST /preview HTTP/1.1|@X-Timeout: 0x1p3m|Content-Length: 0||~400",
        "POST /preview HTTP/1.1|@X-Timeout: 5 m|Content-Length: 0||~400",
        "POST /preview HTTP/1.1|@X-Timeout: -5m|Content-Length: 0||~400",
        "POST /preview HTTP/1.1|@X-Attrs: slots=1f|Content-Length: 0||~400",
        "POST /preview HTTP/1.1|@A: b%Content-Length: 0||~400", "POST /preview HTTP/1.1|@A: b^c||~400",
        "POST /preview HTTP/1.1#|@Content-Length: 0||~400",
        "POST /preview HTTP/1.1|@A : b||~400", "POST /preview HTTP/1.1|@A: b| folded: c||~400"};

    @Test void rejectsInvalidRequestsBeforeAnyBackend() throws IOException, InterruptedException {
        for (String row : REJECTED_REQUESTS) {
            String text = row.substring(0, row.length() - 4).replace("HTTP/1.1|", "HTTP/1.1|Host: h|").replace("#", "").replace("@", ID_HEADER).replace("|", "\r\n").replace('%', '\n')
                .replace('^', '\0');
            try (Client bad = program.client().send(text)) {
                assertEquals(row.substring(row.length() - 3), String.valueOf(bad.read().status()), row);
                assertTrue(bad.isClosedByServer(), row);
            }
            assertNull(backend.poll(), row);
        }
        assertOthersAreServed(program);
        assertEquals(REJECTED_REQUESTS.length, program.counterValue("bad_messages"));
    }

    @ParameterizedTest @ValueSource(strings = {"POST /preview HTTP/1.1\r\nA: ",
        "POST /preview HTTP/1.1\r\nX-Request-ID: 00000000000000aa\r\nContent-Length: 70000000\r\n\r\n"})
    void errorIsReadableWhenClientKeepsSending(String head) throws IOException, InterruptedException {
        client.send(head + "x".repeat(600_000));
        assertTrue(client.read().status() >= 400);
        assertTrue(client.isClosedByServer(), "closed in order, not reset");
        assertOthersAreServed(program);
    }

    @Test void closesSilentAndHalfSentConnectionsInTime() throws IOException, InterruptedException {
        long before = System.nanoTime();
        Client half = program.client().send("POST /preview HTTP/1.1\r\nX-Requ");
        Client cut = program.client().send(Client.request("/preview", "60000m", "", "abc").replace("abc", ""));
        Client strange = program.client();
        assertEquals(200, strange.get("/healthz").status());
        assertTrue(client.isClosedByServer(), "one that says nothing");
        assertTrue(strange.isClosedByServer(), "one that asks no more");
        assertEquals(408, half.read().status());
        assertEquals(408, cut.read().status());
        assertTrue(half.isClosedByServer() && cut.isClosedByServer());
        assertTrue(System.nanoTime() - before < 3_000_000_000L, "too late");
        assertNull(backend.poll());
        assertOthersAreServed(program);
    }

    @Test void rejectsIdInUseAndFreesItAfterAnswer() throws IOException, InterruptedException {
        String request = Client.request("/preview", "5000m", "", "");
        client.send(request);
        FakeServer.Exchange call = backend.take();
        try (Client thief = program.client().send(request)) {
            assertEquals(409, thief.read().status());
            assertTrue(thief.isClosedByServer());
        }
        call.sendResult("mine");
        assertEquals("mine", client.read().body());
        client.send(request);
        backend.take().sendResult("again");
        assertEquals("again", client.read().body());
        assertEquals(1, program.counterValue("ids_in_use"));
    }

    @ParameterizedTest @ValueSource(strings = {"rubbish", "GET /\0", "POST /preview HTTP/1.1\r\nContent-Length: x\r\n\r\n"})
    void rejectsGarbageBehindOpenRequestAtOnce(String behind) throws IOException, InterruptedException {
        client.send(Client.request("/preview", "60000m", "", ""));
        FakeServer.Exchange call = backend.take().sendStarted();
        assertEquals(400, client.send(behind).read().status());
        assertTrue(client.isClosedByServer());
        assertTrue(call.isClosedByClient(), "its fetch is given up");
        assertOthersAreServed(program);
    }

    @Test void boundsClientTimeoutByClassTimeout() throws IOException, InterruptedException {
        client.send(Client.request("/preview", "3600000m", "", ""));
        int told = Integer.parseInt(backend.take().header("X-Timeout").replace("m", ""));
        assertTrue(told <= 5000, "its class gives up sooner than " + told);
        client.close();
        assertOthersAreServed(program);
    }

    @Test void evictsSilentConnectionsForNewClients() throws IOException, InterruptedException {
        int all = 46 + 16;  // what 128 descriptors leave for clients, and some over
        try (Program small = new Program(folder, member("s-1", backend, "east", "SERVING"), 128, Program.SETTINGS)) {
            List<Client> silent = new ArrayList<>();
            for (int i = 0; i < 2 * all; i++) {
                silent.add(small.client());
            }
            long before = System.nanoTime();
            assertOthersAreServed(small);
            assertTrue(System.nanoTime() - before < 1_500_000_000L, "not before the silent ones run out of time");
            for (Client quiet : silent) {
                assertTrue(quiet.isClosedByServer());
            }
        }
    }
}

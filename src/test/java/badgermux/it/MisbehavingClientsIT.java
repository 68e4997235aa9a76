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

/** Checks that clients that break the protocol soon get an error or a close, and that other clients are served. */
@Timeout(60)
class MisbehavingClientsIT {
    /** A valid header line in the notation of {@link #REJECTED_REQUESTS}. */
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

    /** Checks that another client is served, and that no other request has reached the backend before it. */
    private void assertOthersAreServed(Program dispatcher) throws IOException, InterruptedException {
        try (Client other = dispatcher.client().send(Client.request("/preview", "5000m", "", ""))) {
            FakeServer.Exchange exchange = backend.take();
            assertTrue(exchange.head.startsWith("POST /preview HTTP/1.1"), "another request came first: " + exchange.head);
            exchange.sendResult("r");
            assertEquals(200, other.read().status());
        }
    }

    /**
     * Invalid requests, each with the expected status behind "~". "|" stands for CR LF, "@" for a header line with a valid id,
     * "%" for LF, "^" for NUL; "HTTP/1.1|" gets a Host header, and "#" suppresses that.
     */
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
        for (String testCase : REJECTED_REQUESTS) {
            String text = testCase.substring(0, testCase.length() - 4).replace("HTTP/1.1|", "HTTP/1.1|Host: h|")
                .replace("#", "").replace("@", ID_HEADER).replace("|", "\r\n").replace('%', '\n').replace('^', '\0');
            try (Client invalidClient = program.client().send(text)) {
                assertEquals(testCase.substring(testCase.length() - 3), String.valueOf(invalidClient.read().status()), testCase);
                assertTrue(invalidClient.isClosedByServer(), testCase);
            }
            assertNull(backend.poll(), testCase);
        }
        assertOthersAreServed(program);
        assertEquals(REJECTED_REQUESTS.length, program.counterValue("bad_messages"));
    }

    /** Closing a socket with unread input resets the connection, and the client would lose the error response. */
    @ParameterizedTest @ValueSource(strings = {"POST /preview HTTP/1.1\r\nA: ",
        "POST /preview HTTP/1.1\r\nX-Request-ID: 00000000000000aa\r\nContent-Length: 70000000\r\n\r\n"})
    void errorIsReadableWhenClientKeepsSending(String head) throws IOException, InterruptedException {
        client.send(head + "x".repeat(600_000));
        assertTrue(client.read().status() >= 400);
        assertTrue(client.isClosedByServer(), "closed with FIN, not reset");
        assertOthersAreServed(program);
    }

    @Test void closesSilentAndHalfSentConnectionsInTime() throws IOException, InterruptedException {
        long startNanos = System.nanoTime();
        Client partialHead = program.client().send("POST /preview HTTP/1.1\r\nX-Requ");
        Client missingBody = program.client().send(Client.request("/preview", "60000m", "", "abc").replace("abc", ""));
        Client idle = program.client();
        assertEquals(200, idle.get("/healthz").status());
        assertTrue(client.isClosedByServer(), "a client that sends nothing");
        assertTrue(idle.isClosedByServer(), "a client that sends no further request");
        assertEquals(408, partialHead.read().status());
        assertEquals(408, missingBody.read().status());
        assertTrue(partialHead.isClosedByServer() && missingBody.isClosedByServer());
        assertTrue(System.nanoTime() - startNanos < 3_000_000_000L, "closed too late");
        assertNull(backend.poll());
        assertOthersAreServed(program);
    }

    /** A second client with the id of an open request is rejected, and the owner of the id may use it again after its answer. */
    @Test void rejectsIdInUseAndFreesItAfterAnswer() throws IOException, InterruptedException {
        String request = Client.request("/preview", "5000m", "", "");
        client.send(request);
        FakeServer.Exchange exchange = backend.take();
        try (Client intruder = program.client().send(request)) {
            assertEquals(409, intruder.read().status());
            assertTrue(intruder.isClosedByServer());
        }
        exchange.sendResult("mine");
        assertEquals("mine", client.read().body());
        client.send(request);
        backend.take().sendResult("again");
        assertEquals("again", client.read().body());
        assertEquals(1, program.counterValue("ids_in_use"));
    }

    @ParameterizedTest @ValueSource(strings = {"rubbish", "GET /\0", "POST /preview HTTP/1.1\r\nContent-Length: x\r\n\r\n"})
    void rejectsGarbageBehindOpenRequestAtOnce(String garbage) throws IOException, InterruptedException {
        client.send(Client.request("/preview", "60000m", "", ""));
        FakeServer.Exchange exchange = backend.take().sendStarted();
        assertEquals(400, client.send(garbage).read().status());
        assertTrue(client.isClosedByServer());
        assertTrue(exchange.isClosedByClient(), "the attempt is cancelled");
        assertOthersAreServed(program);
    }

    /** A client timeout of an hour is cut to the timeout of its class. */
    @Test void boundsClientTimeoutByClassTimeout() throws IOException, InterruptedException {
        client.send(Client.request("/preview", "3600000m", "", ""));
        int timeoutMillis = Integer.parseInt(backend.take().header("X-Timeout").replace("m", ""));
        assertTrue(timeoutMillis <= 5000, "longer than the timeout of its class: " + timeoutMillis);
        client.close();
        assertOthersAreServed(program);
    }

    @Test void evictsSilentConnectionsForNewClients() throws IOException, InterruptedException {
        int clientCount = 46 + 16;  // the limit on clients with 128 descriptors, and a margin
        try (Program small = new Program(folder, member("s-1", backend, "east", "SERVING"), 128, Program.SETTINGS)) {
            List<Client> silentClients = new ArrayList<>();
            for (int i = 0; i < 2 * clientCount; i++) {
                silentClients.add(small.client());
            }
            long startNanos = System.nanoTime();
            assertOthersAreServed(small);
            assertTrue(System.nanoTime() - startNanos < 1_500_000_000L,
                "served too late: silent clients have to be evicted before they time out");
            for (Client silentClient : silentClients) {
                assertTrue(silentClient.isClosedByServer());
            }
        }
    }
}

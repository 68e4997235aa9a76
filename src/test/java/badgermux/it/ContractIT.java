package badgermux.it;

import static badgermux.it.Program.member;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the packaged program with contracts: a request that no description allows reaches no backend, and the admin API changes
 * the descriptions.
 */
@Timeout(90)
class ContractIT {
    private static final String JSON_HEADER = "Content-Type: application/json\r\n";
    /** An OpenAPI description; MAX stands for the maximum of the property "pages". */
    private static final String OPENAPI_TEMPLATE = """
        {"openapi":"3.0.3","info":{"title":"t","version":"1"},"paths":{
         "/preview/{paper}":{"post":{"parameters":[{"name":"paper","in":"path","required":true,"schema":{"type":"string","pattern":"^[a-z]+$"}},
           {"name":"width","in":"query","schema":{"type":"integer","minimum":1}}],
           "requestBody":{"required":true,"content":{"application/json":{"schema":{"type":"object","required":["pages"],
             "additionalProperties":false,"properties":{"pages":{"type":"integer","minimum":1,"maximum":MAX},
             "tags":{"type":"array","uniqueItems":true,"items":{"type":"string","maxLength":8}}}}}}},
           "responses":{"200":{"description":"ok"}}}},
         "/pay":{"post":{"responses":{"200":{"description":"ok"}}}},
         "/publish":{"post":{"x-results":"fail","responses":{"200":{"description":"ok","content":{"application/json":
           {"schema":{"type":"object","required":["url"]}}}}}}}}}""";
    /** An AsyncAPI description that sets the order of states in a response. */
    private static final String ASYNCAPI = """
        asyncapi: 3.0.0
        info: {title: t, version: '1'}
        channels: {p: {address: '/preview/{paper}', messages: MESSAGES}, o: {address: /pay, messages: MESSAGES}}
        operations:
          a: {action: send, channel: {$ref: '#/channels/p'}, ORDER}
          b: {action: send, channel: {$ref: '#/channels/o'}, ORDER}
        """
        .replace("ORDER", "x-order: {first: [started], follow: {started: [running, done], "
            + "running: [running, done]}, last: [done]}")
        .replace("MESSAGES", "{started: {payload: {properties: {state: {const: started}}}}, running: {payload: {properties: "
            + "{state: {const: running}}}}, done: {payload: {properties: {state: {const: done}}}}}");

    @TempDir private Path folder;
    private FakeServer backend;
    private Program program;

    @BeforeEach void start() throws IOException {
        backend = new FakeServer();
        program = new Program(folder, member("s-1", backend, "east", "SERVING"), "--snapshot " + folder.resolve("s.json"));
    }

    @AfterEach void stop() throws IOException {
        program.close();
        backend.close();
    }

    private static String openApi(int maxPages) {
        return OPENAPI_TEMPLATE.replace("MAX", String.valueOf(maxPages));
    }

    private Client.Response callAdmin(String method, String path, String headers, String body) throws IOException {
        try (Client admin = program.adminClient()) {
            return admin.callAdmin(method, path, headers, body);
        }
    }

    /** Adds a description, or replaces it if it exists. */
    private Client.Response putDescription(String name, String body) throws IOException {
        return callAdmin("PUT", "/v1/contracts/" + name, callAdmin("GET", "/v1/contracts/" + name, "", "").status() == 200
            ? "If-Match: *\r\n" : "", body);
    }

    /** Serves each request with this result on a thread of its own; returns the set that collects their ids. */
    private Set<String> serveInBackground(String result) {
        Set<String> servedIds = ConcurrentHashMap.newKeySet();
        Thread thread = new Thread(() -> {
            try {
                while (true) {
                    FakeServer.Exchange exchange = backend.take();
                    assertTrue(servedIds.add(exchange.header("X-Request-ID")), "a request was sent twice");
                    exchange.sendResult(result);
                }
            } catch (InterruptedException | IOException | AssertionError e) {
                // expected at the end of the test
            }
        });
        thread.setDaemon(true);
        thread.start();
        return servedIds;
    }

    /** A random request and the status of the response that it has to get. */
    private record GeneratedRequest(String target, String headers, String body, int expectedStatus) {
        static GeneratedRequest generate(Random random) {
            int pages = 1 + random.nextInt(100);
            String tags = random.nextBoolean() ? "" : ",\"tags\":[\"a" + random.nextInt(10) + "\",\"b\"]";
            String target = "/preview/" + "abcxyz".substring(random.nextInt(5))
                + (random.nextBoolean() ? "" : "?width=" + (1 + random.nextInt(999)));
            String body = "{\"pages\":" + pages + tags + "}";
            return switch (random.nextInt(24)) {
                case 0 -> new GeneratedRequest(target, JSON_HEADER, "{\"pages\":" + (101 + random.nextInt(999)) + "}", 422);
                case 1 -> new GeneratedRequest(target, JSON_HEADER, "{\"pages\":\"" + pages + "\"}", 422);
                case 2 -> new GeneratedRequest(target, JSON_HEADER, "{\"page\":" + pages + "}", 422);
                case 3 -> new GeneratedRequest(target, JSON_HEADER, body.replace("}", ",\"more\":null}"), 422);
                case 4 -> new GeneratedRequest(target, JSON_HEADER, "{\"pages\":1,\"tags\":[\"x\",\"x\"]}", 422);
                case 5 -> new GeneratedRequest(target, JSON_HEADER, body.substring(0, body.length() - 1 - random.nextInt(4)),
                    400);
                case 6 -> new GeneratedRequest(target, JSON_HEADER, "", 422);
                case 7 -> new GeneratedRequest(target, "Content-Type: text/xml\r\n", body, 415);
                case 8 -> new GeneratedRequest(target, "", body, 415);
                case 9 -> new GeneratedRequest(target.replace("preview/", "preview/A"), JSON_HEADER, body, 422);
                case 10 -> new GeneratedRequest("/preview", JSON_HEADER, body, 404);
                case 11 -> new GeneratedRequest("/preview/a?width=" + (random.nextBoolean() ? "0" : "wide"), JSON_HEADER,
                    body, 422);
                case 12 -> new GeneratedRequest("/preview/%zz", JSON_HEADER, body, 400);
                case 13 -> new GeneratedRequest(target, JSON_HEADER, "{\"pages\":1,\"pages\":" + pages + "}", 400);
                case 14 -> new GeneratedRequest(target, JSON_HEADER,
                    "{\"pages\":1,\"tags\":[\"" + "t".repeat(9 + random.nextInt(3_000)) + "\"]}", 422);
                default -> new GeneratedRequest(target, JSON_HEADER, body, 200);
            };
        }
    }

    @Test void servesValidAndRefusesInvalidRequestsOfRandomMix() throws Exception {
        assertEquals(201, putDescription("open", openApi(100)).status());
        Set<String> servedIds = serveInBackground("r");
        Set<String> validIds = ConcurrentHashMap.newKeySet();
        ExecutorService executor = Executors.newFixedThreadPool(8);
        List<Future<?>> futures = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            Random random = new Random(20261201L + i);
            futures.add(executor.submit(() -> {
                try (Client client = program.client()) {
                    for (int sent = 0; sent < 260; sent++) {
                        GeneratedRequest request = GeneratedRequest.generate(random);
                        String requestId = Client.nextRequestId();
                        if (request.expectedStatus == 200) {
                            validIds.add(requestId);
                        }
                        Client.Response response = client.send("POST " + request.target
                            + " HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + requestId + "\r\n" + request.headers
                            + "Content-Length: " + request.body.length() + "\r\n\r\n" + request.body).read();
                        assertEquals(request.expectedStatus, response.status(), () -> request + " " + response.body());
                        assertTrue(request.expectedStatus == 200
                            || response.header("Content-Type").equals("application/problem+json"));
                    }
                }
                return null;
            }));
        }
        for (Future<?> future : futures) {
            future.get();
        }
        executor.shutdown();
        assertEquals(validIds, servedIds);
        assertTrue(validIds.size() > 600 && validIds.size() < 1_600, "both kinds of requests occur");
        assertEquals(2_080 - validIds.size(), program.counterValue("contract_refused"));
        assertEquals(validIds.size(), program.counterValue("reqs_taken"));
    }

    /** A corrected request may follow on the same connection with the same id. */
    @Test void connectionAndIdStayUsableAfterRefusal() throws IOException, InterruptedException {
        putDescription("open", openApi(100));
        String requestId = Client.nextRequestId();
        String head = " HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + requestId + "\r\n" + JSON_HEADER;
        try (Client client = program.client()) {
            Client.Response refused = client.send("POST /preview/a" + head + "Content-Length: 12\r\n\r\n{\"pages\":-1}").read();
            assertEquals(422, refused.status());
            assertTrue(refused.body().contains("\"pointer\":\"/pages\",\"keyword\":\"minimum\"")
                && refused.body().contains("\"description\":\"open\"") && refused.body().contains("\"revision\":1"),
                refused.body());
            client.send("POST /preview/a" + head + "Content-Length: 11\r\n\r\n{\"pages\":1}");
            backend.take().sendResult("r");
            assertEquals(200, client.read().status());
        }
    }

    /**
     * Descriptions change while requests arrive and are open. Each request is validated by one revision from start to end and
     * answered once, and old revisions end with their last request.
     */
    @Test void validatesEachRequestByOneRevisionWhileContractsChange() throws Exception {
        putDescription("open", openApi(100));
        int requests = 200;
        List<Client> clients = new ArrayList<>();
        Map<String, FakeServer.Exchange> exchanges = new ConcurrentHashMap<>();
        for (int i = 0; i < requests; i++) {
            if (i % 20 == 10) {
                // Half of the new descriptions are invalid and change nothing.
                Client.Response response = putDescription("open", i % 40 == 10
                    ? openApi(100).replace("\"type\":\"object\"", "\"type\":\"oject\",\"pattern\":\"(?=a)\"")
                    : openApi(100 + i));
                assertEquals(i % 40 == 10 ? 422 : 200, response.status(), response.body());
            }
            Client client = program.client();
            clients.add(client);
            client.send(Client.request("/preview/a", "5000m", JSON_HEADER, "{\"pages\":" + (i < 30 ? 100 : 120) + "}"));
            if (i < 30) {
                FakeServer.Exchange exchange = backend.take().sendStarted();
                assertNull(exchanges.put(exchange.header("X-Request-ID"), exchange));
            }
        }
        // The other requests are held because the backend counts as full, or reach it later: each is answered once.
        Thread answeringThread = new Thread(() -> {
            try {
                exchanges.values().forEach(exchange -> {
                    try {
                        exchange.sendLine("done", ",\"result\":\"r\"").endResponse();
                    } catch (IOException e) {
                        throw new AssertionError(e);
                    }
                });
                while (true) {
                    FakeServer.Exchange exchange = backend.take();
                    assertNull(exchanges.put(exchange.header("X-Request-ID"), exchange));
                    exchange.sendResult("r");
                }
            } catch (InterruptedException | IOException | AssertionError e) {
                // expected at the end of the test
            }
        });
        answeringThread.setDaemon(true);
        answeringThread.start();
        int servedCount = 0;
        for (int i = 0; i < requests; i++) {
            Client.Response response = clients.get(i).read();
            assertTrue(i < 30 ? response.status() == 200 : response.status() == 200 || response.status() == 503,
                i + " " + response.head());
            servedCount += response.status() == 200 ? 1 : 0;
            assertEquals(0, clients.get(i).unreadBytes(), "more than one response");
            clients.get(i).close();
        }
        assertEquals(servedCount, exchanges.size());
        assertTrue(servedCount >= 100, "served " + servedCount);
        String overview = callAdmin("GET", "/v1/contracts", "", "").body();
        assertTrue(overview.contains("\"alive\": [\n    {\n      \"revision\": 6,\n      \"open\": 0\n    }\n  ]"), overview);
        assertEquals(0, program.counterValue("exceptions"));
    }

    /** A response line out of the described order ends its attempt, whose request may have run. */
    @Test void treatsOutOfOrderResponseAsMayHaveRun() throws IOException, InterruptedException {
        putDescription("open", openApi(100));
        assertEquals(201, putDescription("lines", ASYNCAPI).status());
        try (Client client = program.client()) {
            // A request that may run only once fails and is not sent again.
            for (String firstState : new String[] {"done", "running"}) {
                client.send(Client.request("/pay", "5000m", "", ""));
                FakeServer.Exchange exchange = backend.take().send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                exchange.sendLine(firstState, ",\"result\":\"r\"");
                assertEquals(500, client.read().status());
                assertTrue(exchange.isClosedByClient());
                assertNull(backend.poll());
            }
            client.send(Client.request("/pay", "5000m", "", ""));
            FakeServer.Exchange repeatedStart = backend.take().sendStarted().sendLine("running", "").sendLine("started", "");
            assertEquals(500, client.read().status());
            assertTrue(repeatedStart.isClosedByClient());
            // A line that arrives byte by byte is validated once it is complete.
            client.send(Client.request("/pay", "5000m", "", ""));
            FakeServer.Exchange splitLine = backend.take().sendStarted();
            String line = "{\"id\":\"" + splitLine.header("X-Request-ID") + "\",\"state\":\"done\",\"result\":\"r\"}\n";
            for (char c : line.toCharArray()) {
                splitLine.send("1\r\n" + c + "\r\n");
            }
            splitLine.endResponse();
            assertEquals("r", client.read().body());
            // A repeatable request is sent again.
            client.send(Client.request("/preview/a", "5000m", JSON_HEADER, "{\"pages\":1}"));
            backend.take().sendStarted().sendLine("started", "");
            backend.take().sendResult("r");
            assertEquals(200, client.read().status());
        }
        assertEquals(4, program.counterValue("contract_lines_bad"));
    }

    /**
     * The description says x-results: fail. A result that it does not allow fails the request, although a keyed request could
     * be sent again.
     */
    @Test void failsKeyedRequestOnInvalidResultWithoutRetry() throws IOException, InterruptedException {
        putDescription("open", openApi(100));
        try (Client client = program.client()) {
            client.send(Client.request("/publish", "5000m", "Idempotency-Key: k\r\n", ""));
            backend.take().sendResult("no JSON");
            assertEquals(500, client.read().status());
            assertNull(backend.poll());
            client.send(Client.request("/publish", "5000m", "Idempotency-Key: k2\r\n", ""));
            backend.take().sendResult("{\\\"url\\\":\\\"u\\\"}");
            assertEquals("{\"url\":\"u\"}", client.read().body());
        }
        assertEquals(1, program.counterValue("contract_results_bad"));
        assertEquals(2, program.counterValue("fetches_sent"));
    }

    /**
     * Changes need a valid description and a matching revision. A dry run reports what would be refused, and a restart keeps
     * the contracts.
     */
    @Test void checksReportsAndPersistsContractChanges() throws Exception {
        assertEquals(422, putDescription("open",
            "{\"openapi\":\"3.0.3\",\n\"paths\":{\"/a\":{\"post\":{\"parameters\":[{}]}}}}").status());
        assertEquals(404, callAdmin("GET", "/v1/contracts/open", "", "").status());
        assertEquals("\"1\"", putDescription("open", openApi(100)).header("ETag"));
        serveInBackground("r");
        try (Client client = program.client()) {
            assertEquals(200, client.send(Client.request("/preview/a", "5000m", JSON_HEADER, "{\"pages\":50}")).read().status());
            Client.Response dryRun = callAdmin("PUT", "/v1/contracts/open?dry-run=true", "", openApi(10));
            assertTrue(dryRun.body().contains("maximum is now 10") && dryRun.body().contains("\"newlyRefused\": 1"),
                dryRun.body());
            assertEquals(200, client.send(Client.request("/preview/a", "5000m", JSON_HEADER, "{\"pages\":50}")).read().status());
            assertEquals(428, callAdmin("PUT", "/v1/contracts/open", "", openApi(10)).status());
            assertEquals(412, callAdmin("PUT", "/v1/contracts/open", "If-Match: \"9\"\r\n", openApi(10)).status());
            assertEquals(200, callAdmin("PUT", "/v1/contracts/open", "If-Match: \"1\"\r\n", openApi(10)).status());
            assertEquals(422, client.send(Client.request("/preview/a", "5000m", JSON_HEADER, "{\"pages\":50}")).read().status());
            assertEquals(404, client.send(Client.request("/preview/a/b", "5000m", JSON_HEADER, "{}")).read().status());
            assertEquals(200, callAdmin("PUT", "/v1/contracts", "", "{\"undescribed\":\"pass\"}").status());
            assertEquals(200, client.send(Client.request("/preview/a/b", "5000m", JSON_HEADER, "{}")).read().status());
        }
        program.close();
        program = new Program(folder, member("s-1", backend, "east", "SERVING"), "--snapshot " + folder.resolve("s.json"));
        try (Client client = program.client()) {
            assertEquals(422, client.send(Client.request("/preview/a", "5000m", JSON_HEADER, "{\"pages\":50}")).read().status());
            assertEquals(200, client.send(Client.request("/preview/a/b", "5000m", JSON_HEADER, "{}")).read().status());
            assertEquals(200, callAdmin("DELETE", "/v1/contracts/open", "If-Match: \"2\"\r\n", "").status());
            assertEquals(200, client.send(Client.request("/preview/a", "5000m", JSON_HEADER, "{\"pages\":50}")).read().status());
        }
    }

    /** A damaged, foreign or newer snapshot is reported in one line, and no part of it is applied. */
    @Test void exitsWithOneLineOnUnusableSnapshot() throws Exception {
        putDescription("open", openApi(100));
        String validSnapshot = Files.readString(folder.resolve("s.json"));
        assertFalse(Files.exists(folder.resolve("s.json.new")));
        for (String[] testCase : new String[][] {{validSnapshot.replace("maximum", "minimum"), "damaged: the checksum"},
            {validSnapshot.substring(0, validSnapshot.length() / 2), "damaged: not a JSON object"},
            {validSnapshot.replace("\"version\":1}", "\"version\":2}"), "newer program"},
            {"{}", "not a snapshot"}}) {
            Files.writeString(folder.resolve("bad.json"), testCase[0]);
            try (Program other = new Program(Program.runCommand() + " --snapshot " + folder.resolve("bad.json"),
                    folder.resolve("config.json"))) {
                String line = other.readLogLine();
                assertTrue(line.startsWith("badgermux: --snapshot: ") && line.contains(testCase[1]), line);
                assertNull(other.readLogLine());
                assertEquals(2, other.process.waitFor());
            }
        }
    }

    /** Changes are applied although they cannot be stored, and the log says so only once. */
    @Test void servesAndLogsOnceWhenSnapshotCannotBeWritten() throws Exception {
        try (Program other = new Program(folder, member("s-1", backend, "east", "SERVING"),
                "--snapshot " + folder.resolve("none/s.json"));
                Client admin = other.adminClient(); Client client = other.client()) {
            assertTrue(admin.callAdmin("PUT", "/v1/contracts/open", "", openApi(100)).body().contains("\"kept\": false"));
            assertEquals(200, admin.callAdmin("PUT", "/v1/contracts/open", "If-Match: *\r\n", openApi(50)).status());
            int warnings = 0;
            for (String line = other.readLogLine(); !line.contains("contracts revision 2"); line = other.readLogLine()) {
                warnings += line.contains("can't be written") ? 1 : 0;
            }
            assertEquals(1, warnings);
            assertEquals(422, client.send(Client.request("/preview/a", "5000m", JSON_HEADER, "{\"pages\":70}")).read().status());
        }
    }

    @Test void acceptsAdminCallsOnSeparateConnectionsInSuccession() throws IOException {
        for (int i = 0; i < 40; i++) {
            assertEquals(200, callAdmin("GET", "/v1/contracts", "Connection: close\r\n", "").status());
        }
    }

    @Test void adminApiRequiresToken() throws Exception {
        Path tokenFile = Files.writeString(folder.resolve("token"), "0123456789abcdef\n");
        try (Program other = new Program(folder, "", "--admin-token-file " + tokenFile)) {
            for (String[] testCase : new String[][] {{"", "401"}, {"Authorization: Bearer 0123456789abcdeg\r\n", "401"},
                {"Authorization: Bearer 0123456789abcdef\r\nOrigin: http://x\r\n", "403"},
                {"Authorization: bearer 0123456789abcdef\r\n", "200"}}) {
                try (Client admin = other.adminClient()) {
                    assertEquals(testCase[1], String.valueOf(admin.callAdmin("GET", "/v1/contracts", testCase[0], "").status()));
                }
            }
        }
        for (String options : new String[] {"--admin 10.0.0.1:1",
            "--admin 127.0.0.1:0 --admin-token-file " + folder.resolve("none"),
            "--admin nonsense", "--wrong"}) {
            try (Program other = new Program(Program.runCommand() + " " + options, folder.resolve("config.json"))) {
                assertEquals(2, other.process.waitFor(), options);
            }
        }
    }
}

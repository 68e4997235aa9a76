package badgermux.it;

import static badgermux.it.Program.member;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Two builds of the program work together and on each other's files. The system property {@code badgermux.otherBuild} names
 * the root folder of another built clone; without it, the other build is this one.
 */
@Timeout(60)
class BuildCompatibilityIT {
    /** Which build is started first. */
    enum Order {
        OTHER_BUILD_FIRST, THIS_BUILD_FIRST;

        String firstCommand() throws IOException {
            return this == OTHER_BUILD_FIRST ? Program.otherBuildCommand() : Program.runCommand();
        }

        String secondCommand() throws IOException {
            return this == OTHER_BUILD_FIRST ? Program.runCommand() : Program.otherBuildCommand();
        }
    }

    private static final int SOCKETS = 256;
    private static final int CLIENTS = 8;
    /** A description under which a request of the class preview needs a JSON body with a member "pages". */
    private static final String DESCRIPTION = """
        {"openapi":"3.0.3","info":{"title":"t","version":"1"},"paths":{"/preview":{"post":{"requestBody":{"required":true,
         "content":{"application/json":{"schema":{"type":"object","required":["pages"]}}}},
         "responses":{"200":{"description":"ok"}}}}}}""";
    private static final String JSON = "Content-Type: application/json\r\n";

    @TempDir private Path folder;
    private FakeServer firstBackend;
    private FakeServer secondBackend;
    /** Ids of the requests that {@link #startServing} has responded to. */
    private final Set<String> servedIds = ConcurrentHashMap.newKeySet();
    /** Ids of requests that came to a backend a second time. */
    private final Set<String> repeatedIds = ConcurrentHashMap.newKeySet();

    @BeforeEach void setUp() throws IOException {
        firstBackend = new FakeServer();
        secondBackend = new FakeServer();
    }

    @AfterEach void tearDown() throws IOException {
        firstBackend.close();
        secondBackend.close();
    }

    private String members() {
        return member("s-1", firstBackend, "east", "SERVING") + "," + member("s-2", secondBackend, "east", "SERVING");
    }

    /** Returns the entry of a backend that has been up for 1 s, which is cold under {@link LearnedStateIT#COLD_SETTINGS}. */
    private static String coldMember(String id, FakeServer backend) {
        return member(id, backend, "east", "SERVING").replace("\"up_since_ms\":0",
            "\"up_since_ms\":" + (System.currentTimeMillis() - 1_000));
    }

    /** Has a thread respond to each request at a backend and keep its id, until no request comes within the timeout. */
    private void startServing(FakeServer backend) {
        Thread thread = new Thread(() -> {
            try {
                while (true) {
                    FakeServer.Exchange exchange = backend.take();
                    if (!servedIds.add(exchange.header("X-Request-ID"))) {
                        repeatedIds.add(exchange.header("X-Request-ID"));
                    }
                    exchange.sendResult("r");
                }
            } catch (IOException | InterruptedException | AssertionError e) {
                // the test has ended, or fails by its counts
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Sends a request, responds to it at a backend with a load report, and returns the program's response. */
    private static Client.Response serveOne(Program program, FakeServer backend, String path, String headers, String body)
            throws IOException, InterruptedException {
        try (Client client = program.client()) {
            client.send(Client.request(path, "5000m", headers, body));
            backend.take().sendStarted().sendLine("done", ",\"result\":\"r\",\"load\":{\"x0\":2}").endResponse();
            return client.read();
        }
    }

    /** Ends a program by SIGTERM and waits until it has exited. */
    private static void terminate(Program program) throws IOException, InterruptedException {
        program.process.toHandle().destroy();
        program.awaitOutput();
        assertFalse(program.process.isAlive(), "exit after SIGTERM");
    }

    /** Without the run times and recent sends of the first process, the cold backend would get no request. */
    @ParameterizedTest @EnumSource void continuesFromLearnedStateFile(Order order) throws IOException, InterruptedException {
        String settings = LearnedStateIT.settings();
        String warm = member("s-1", firstBackend, "east", "SERVING");
        try (Program first = Program.startWithConsole(order.firstCommand(), folder, warm, SOCKETS, settings)) {
            assertEquals(200, serveOne(first, firstBackend, "/preview", "", "").status());
            terminate(first);
        }
        String cold = coldMember("s-1", firstBackend);
        try (Program second = Program.startWithConsole(order.secondCommand(), folder, cold, SOCKETS, settings)) {
            assertEquals(200, serveOne(second, firstBackend, "/preview", "", "").status());
        }
    }

    @ParameterizedTest @EnumSource void keepsCordons(Order order) throws IOException, InterruptedException {
        try (Program first = Program.startWithConsole(order.firstCommand(), folder, members(), SOCKETS, Program.SETTINGS)) {
            assertEquals("200 out: s-1\n", first.callConsole("OFFLINE s-1"));
            assertEquals(1, first.dumpValue("cluster_unhealthy"));
            terminate(first);
        }
        try (Program second = Program.startWithConsole(order.secondCommand(), folder, members(), SOCKETS, Program.SETTINGS)) {
            assertEquals(1, second.dumpValue("cluster_unhealthy"));
            for (int i = 0; i < 10; i++) {
                assertEquals(200, serveOne(second, secondBackend, "/preview", "", "").status());
            }
            assertNull(firstBackend.poll(), "a cordoned backend gets no request");
            assertEquals("200 back: s-1\n", second.callConsole("ONLINE s-1"));
            assertEquals(0, second.dumpValue("cluster_unhealthy"));
        }
    }

    @ParameterizedTest @EnumSource void readsSnapshotOfOperators(Order order) throws IOException, InterruptedException {
        String options = "--snapshot " + folder.resolve("s.json");
        String path = "/v1/contracts/open";
        try (Program first = new Program(order.firstCommand(), folder, members(), options); Client admin = first.adminClient()) {
            assertEquals(201, admin.callAdmin("PUT", path, "", DESCRIPTION).status());
            terminate(first);
        }
        try (Program second = new Program(order.secondCommand(), folder, members(), options);
                Client admin = second.adminClient(); Client client = second.client()) {
            Client.Response description = admin.callAdmin("GET", path, "", "");
            assertEquals(200, description.status());
            assertEquals("\"1\"", description.header("ETag"));
            assertEquals(422, client.send(Client.request("/preview", "5000m", JSON, "{}")).read().status());
            assertEquals(404, client.send(Client.request("/pay", "5000m", JSON, "{}")).read().status(), "not described");
            startServing(firstBackend);
            startServing(secondBackend);
            assertEquals(200, client.send(Client.request("/preview", "5000m", JSON, "{\"pages\":1}")).read().status());
            assertEquals(1, servedIds.size());
            assertEquals(200, admin.callAdmin("PUT", path, "If-Match: \"1\"\r\n", DESCRIPTION).status());
        }
    }

    @ParameterizedTest @EnumSource void readsSettingsFile(Order order) throws IOException, InterruptedException {
        String settings = LearnedStateIT.settings().replace("\"Customers\":[]",
            "\"OverShareWorth\":0.05,\"Customers\":[{\"Name\":\"desk a\",\"QuotaPerS\":10}]")
            .replace("\"How\":\"silent\",\"Columns\":[]", "\"How\":\"piggyback\",\"Columns\":[\"x0\"]");
        Path config = Program.writeConfig(folder, member("s-1", firstBackend, "east", "SERVING"), SOCKETS, 192, settings);
        byte[] written = Files.readAllBytes(config);
        String tenant = "X-Tenant-Id: desk a\r\n";
        for (String command : List.of(order.firstCommand(), order.secondCommand())) {
            try (Program program = Program.startOnConfig(command, config, folder)) {
                assertEquals(200, serveOne(program, firstBackend, "/preview", tenant, "").status());
                assertEquals(200, serveOne(program, firstBackend, "/pay", tenant, "").status());
                assertEquals(200, serveOne(program, firstBackend, "/publish", tenant + "Idempotency-Key: k\r\n", "").status());
                assertEquals(0, program.counterValue("tenants_unknown"));
                assertEquals(200, serveOne(program, firstBackend, "/preview", "X-Tenant-Id: other\r\n", "").status());
                assertEquals(1, program.counterValue("tenants_unknown"));
                program.sendSighup();
                Await.until("the reload", () -> program.counterValue("reloads") == 1);
                assertEquals(0, program.counterValue("reloads_rejected"));
                assertEquals(2, program.dumpValue("transactions.preview.answered"));
                assertEquals(1, program.dumpValue("transactions.pay.answered"));
                assertEquals(1, program.dumpValue("transactions.publish.answered"));
                terminate(program);
            }
            assertArrayEquals(written, Files.readAllBytes(config));
        }
    }

    /**
     * Backend list, cordons and learned state go over. Without the learned state, the second process would send nothing to the
     * cold backend, the only one left in the end, for the 20 s of FallMs after its start.
     */
    @ParameterizedTest @EnumSource void hotRestartsUnderLoad(Order order) throws IOException, InterruptedException {
        startServing(firstBackend);
        try (Supervisor supervisor = new Supervisor(folder, members(), SOCKETS, LearnedStateIT.settings());
                FakeServer coldBackend = new FakeServer()) {
            Supervisor.Instance first = supervisor.start(order.firstCommand());
            first.awaitReady();
            supervisor.discovery.take().reply("200 OK", "{\"revision\":9,\"complete\":false,\"members\":["
                + coldMember("s-3", coldBackend) + "]}");
            Await.until("the added backend", () -> first.dumpValue("cluster_size") == 3);
            assertEquals("200 out: s-2\n", first.callConsole("OFFLINE s-2"));
            try (LoadGenerator load = new LoadGenerator(supervisor, CLIENTS)) {
                load.awaitMoreServed(50);
                startServing(coldBackend);
                Supervisor.Instance second = supervisor.start(order.secondCommand());
                second.awaitReady();
                assertEquals(3, second.dumpValue("cluster_size"), "the backend list goes over");
                assertEquals(1, second.dumpValue("cluster_unhealthy"), "the cordon goes over");
                first.signal("TERM");
                first.awaitExit();
                load.awaitMoreServed(50);
                load.endAndAwaitResponses();
                assertEquals(0, load.failed.get());
                assertEquals(load.sent.get(), load.served.get());
                assertTrue(load.crossedCloses.get() <= CLIENTS, "each connection is closed once at most: " + load.crossedCloses);
                assertEquals(Set.of(), repeatedIds, "each request runs once");
                assertEquals(load.served.get(), servedIds.size());
                long servedByFirst = Long.parseLong(first.output().replaceAll("(?s).*badgermux_answers_served (\\d+)\n.*", "$1"));
                assertTrue(servedByFirst >= 50, "the first process prints its counters at its exit");
                assertEquals(load.served.get(), servedByFirst + second.dumpValue("transactions.publish.answered"));
                assertNull(secondBackend.poll(), "a cordoned backend gets no request");
                assertEquals("200 out: s-1\n", second.callConsole("OFFLINE s-1"));
            }
            try (Client client = supervisor.client()) {
                client.send(Client.request("/publish", "5000m", "Idempotency-Key: cold\r\n", ""));
                assertEquals(200, client.read().status(), "the learned state goes over");
            }
        }
    }

    @ParameterizedTest @EnumSource void serveSideBySide(Order order) throws Exception {
        startServing(firstBackend);
        startServing(secondBackend);
        Path firstFolder = Files.createDirectory(folder.resolve("first"));
        Path secondFolder = Files.createDirectory(folder.resolve("second"));
        String known = member("s-1", firstBackend, "east", "SERVING");
        String withAdmin = " --admin 127.0.0.1:0";      // which adds the metrics of contracts
        try (FakeDiscovery discovery = new FakeDiscovery();
                Program first = Program.startWithDiscovery(discovery.address(), order.firstCommand() + withAdmin, firstFolder,
                    known, SOCKETS, settingsOfDispatcher(0));
                Program second = Program.startWithDiscovery(discovery.address(), order.secondCommand() + withAdmin, secondFolder,
                    known, SOCKETS, settingsOfDispatcher(1))) {
            discovery.recover(2, members(), true);
            Await.until("the list at both", () -> first.dumpValue("cluster_size") == 2 && second.dumpValue("cluster_size") == 2);
            int requests = 50;
            List<Client> clients = new ArrayList<>();
            for (int i = 0; i < requests; i++) {
                for (Program program : List.of(first, second)) {
                    clients.add(program.client().send(Client.request("/preview", "5000m", "", "")));
                }
            }
            for (Client client : clients) {
                assertEquals(200, client.read().status());
                client.close();
            }
            assertEquals(2 * requests, servedIds.size());
            assertEquals(Set.of(), repeatedIds, "each request runs once");
            for (Program program : List.of(first, second)) {
                assertEquals(requests, program.counterValue("answers_served"));
            }
            assertTrue(metricNames(first).contains("badgermux_contract_revision"), "the metrics of contracts");
            assertEquals(metricNames(first), metricNames(second));
            assertEquals(dumpNames(first), dumpNames(second));
        }
    }

    private static String settingsOfDispatcher(int index) {
        return Program.SETTINGS.replaceFirst("\\{", "{\"Balancers\":2,\"Me\":" + index + ",");
    }

    /** Returns the lines of {@code GET /metrics} without their values. */
    private static List<String> metricNames(Program program) throws IOException {
        try (Client client = program.client()) {
            List<String> names = client.get("/metrics").body().lines().map(line -> line.replaceAll(" -?\\d+$", "")).toList();
            assertTrue(names.contains("badgermux_answers_served"), names.toString());
            return names;
        }
    }

    /** Returns the lines of the console's DUMP without their values. */
    private static List<String> dumpNames(Program program) throws IOException {
        List<String> names = program.callConsole("DUMP").lines().filter(line -> line.startsWith("svc."))
            .map(line -> line.replaceAll(":\\d+\\|", "|")).toList();
        assertTrue(names.contains("svc.cluster_size|g"), names.toString());
        return names;
    }
}

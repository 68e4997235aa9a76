package badgermux.it;

import static badgermux.it.Program.member;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.operator.Snapshot;
import badgermux.operator.SnapshotStore;
import com.google.gson.JsonElement;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What operators set while two processes of a dispatcher run: a change that was acknowledged is in force at whoever serves, and
 * in the file after any later change and restart.
 */
@Timeout(90)
class SettingsHandoverIT {
    private static final Set<String> SECTIONS = Set.of("contracts", "zones");
    private static final String PREVIEWS = "/v1/contracts/previews";
    private static final String REPLACE = "If-Match: *\r\n";
    private static final String JSON = "Content-Type: application/json\r\n";
    private static final long SEED = 20261207;
    /** How often a change is tried that is refused for the moment. */
    private static final int MAX_TRIES = 30;
    /** How long the admin API may be without an answer while its address passes to the next process. */
    private static final long MAX_ADMIN_GAP_MILLIS = 300;

    @TempDir private Path folder;
    private Path snapshot;
    private FakeServer backend;
    private String members;
    private Supervisor supervisor;
    private final AtomicBoolean isStopped = new AtomicBoolean();

    @BeforeEach void setUp() throws IOException {
        snapshot = folder.resolve("operators.json");
        backend = new FakeServer();
        members = member("s-1", backend, "east", "SERVING");
        supervisor = new Supervisor(folder, members, 256, Program.SETTINGS);
    }

    @AfterEach void tearDown() throws IOException {
        isStopped.set(true);
        supervisor.close();
        backend.close();
    }

    // ---- Helpers

    private Supervisor.Instance start() throws IOException {
        return startOn("127.0.0.1:0");
    }

    private Supervisor.Instance startOn(String adminAddress) throws IOException {
        return supervisor.start(Program.runCommand() + " --admin " + adminAddress + " --snapshot " + snapshot);
    }

    /** A description that allows widths up to a maximum. */
    private static String description(String path, int maxWidth) {
        return "{\"openapi\":\"3.1.0\",\"info\":{\"title\":\"t\",\"version\":\"1\"},\"paths\":{\"" + path + "\":{\"post\":{"
            + "\"requestBody\":{\"required\":true,\"content\":{\"application/json\":{\"schema\":{\"properties\":{\"width\":"
            + "{\"type\":\"integer\",\"maximum\":" + maxWidth + "}}}}}},\"responses\":{\"200\":{\"description\":\"d\"}}}}}}";
    }

    private static void assertKept(Client.Response response) {
        assertTrue(response.status() == 200 || response.status() == 201, response.head() + response.body());
        assertTrue(response.body().contains("\"kept\": true"), response.body());
    }

    private static void setMaxWidth(Supervisor.Instance instance, int maxWidth) throws IOException {
        boolean exists = instance.callAdmin("GET", PREVIEWS, "", "").status() == 200;
        assertKept(instance.callAdmin("PUT", PREVIEWS, exists ? REPLACE : "", description("/preview", maxWidth)));
    }

    private static void assertMaxWidth(int expected, Supervisor.Instance instance) throws IOException {
        String body = instance.callAdmin("GET", PREVIEWS, "", "").body();
        assertTrue(body.contains("\\\"maximum\\\":" + expected + "}"), "not " + expected + ": " + body);
    }

    /** Sends a request on a new connection and returns the response. */
    private Client.Response post(int width) throws IOException {
        try (Client client = supervisor.client()) {
            return client.send(Client.request("/preview", "5000m", JSON, "{\"width\":" + width + "}")).read();
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private SnapshotStore openStore() throws Exception {
        return SnapshotStore.open(snapshot, SECTIONS);
    }

    private JsonElement storedSection(String name) throws Exception {
        return openStore().current().section(name);
    }

    // ---- Changes at either process

    /**
     * Guards against a change that the draining process takes and keeps while the next one goes on by the settings that it read at
     * its start, and against its loss when that one writes.
     */
    @Test void changeAtDrainingProcessIsInForceAtNextAndKept() throws Exception {
        Supervisor.Instance previous = start().awaitReady();
        setMaxWidth(previous, 4000);
        try (Client client = supervisor.client()) {
            client.send(Client.request("/preview", "5000m", JSON, "{\"width\":320}"));
            FakeServer.Exchange exchange = backend.take();
            Supervisor.Instance next = start().awaitLog("Serving;");
            setMaxWidth(previous, 640);
            assertMaxWidth(640, next);
            assertMaxWidth(640, previous);
            assertEquals(422, post(2000).status());
            assertKept(next.callAdmin("PUT", "/v1/zones", "", "{}"));
            exchange.sendResult("r");
            assertEquals(200, client.read().status());
            next.awaitReady();
            previous.signal("TERM");
            previous.awaitExit();
            assertKept(next.callAdmin("PUT", "/v1/contracts/pages", "", description("/epaper-page", 900)));
            next.signal("TERM");
            next.awaitExit();
        }
        Supervisor.Instance restarted = start().awaitReady();
        assertMaxWidth(640, restarted);
        assertEquals(200, restarted.callAdmin("GET", "/v1/contracts/pages", "", "").status());
        assertTrue(restarted.callAdmin("GET", "/v1/zones", "", "").body().contains("\"on\": true"));
    }

    /** Guards against changes that get lost, or count in another order, at any moment of one upgrade after another. */
    @Test void acknowledgedChangesAreKeptInOrderThroughThreeUpgrades() throws Exception {
        Random random = new Random(SEED);
        List<Supervisor.Instance> running = new ArrayList<>(List.of(start().awaitReady()));
        setMaxWidth(running.get(0), 1_000);
        AtomicLong revisionSeen = new AtomicLong();
        AtomicInteger revisionsGoneBack = new AtomicInteger();
        Daemon.start(() -> observeRevisions(revisionSeen, revisionsGoneBack));
        long revision = 1;
        for (int change = 1; change <= 100; change++) {
            if (change == 10 || change == 40 || change == 60) {
                running.get(running.size() - 1).awaitLog("listens on");
                running.add(start());
            } else if (change == 30 || change >= 75 && running.size() > 1) {
                // The second and the third upgrade overlap.
                running.get(1).awaitReady();
                running.get(0).signal("TERM");
                running.remove(0);
            }
            long next = changeAtAny(running, random, change);
            assertTrue(next > revision, "revision " + next + " after " + revision);
            revision = next;
        }
        assertMaxWidth(100, running.get(running.size() - 1).awaitReady());
        long last = revision;
        Await.until("a request judged by the last revision", () -> revisionSeen.get() == last);
        assertEquals(0, revisionsGoneBack.get(), "requests judged by an older revision than the one before");
        assertEquals(revision, openStore().current().revision());
    }

    /** Sends requests that no description allows, one after another, and compares the revisions that refuse them. */
    private void observeRevisions(AtomicLong seen, AtomicInteger goneBack) throws IOException {
        while (!isStopped.get()) {
            Client.Response response = post(1_000_000);
            assertEquals(422, response.status(), response.body());
            long revision = JsonParser.parseString(response.body()).getAsJsonObject().get("revision").getAsLong();
            if (revision < seen.getAndSet(revision)) {
                goneBack.incrementAndGet();
            }
        }
    }

    /** Sets a maximum at any of the processes, again where it is refused for now; returns the revision of the change. */
    private static long changeAtAny(List<Supervisor.Instance> running, Random random, int maxWidth) throws Exception {
        for (int attempt = 0; attempt < MAX_TRIES; attempt++) {
            Supervisor.Instance instance = running.get(random.nextInt(running.size()));
            if (!instance.log().contains("the admin API listens on")) {
                instance = running.get(0);
            }
            Client.Response response = instance.callAdmin("PUT", PREVIEWS, REPLACE, description("/preview", maxWidth));
            if (response.status() != 503) {
                assertKept(response);
                return JsonParser.parseString(response.body()).getAsJsonObject().get("revision").getAsLong();
            }
            assertEquals("1", response.header("Retry-After"), response.head());
            TimeUnit.MILLISECONDS.sleep(20);
        }
        throw new AssertionError("refused " + MAX_TRIES + " times");
    }

    /** Guards against a process that serves again by its own settings, after the next one has changed them and ended. */
    @ParameterizedTest @ValueSource(strings = {"KILL", "STOP"})
    void previousProcessTakesSettingsBackWhenNextDiesOrHangs(String signal) throws Exception {
        Supervisor.Instance previous = start().awaitReady();
        setMaxWidth(previous, 4000);
        Supervisor.Instance next = start().awaitReady();
        setMaxWidth(next, 640);
        if (signal.equals("STOP")) {
            next.hang();
        } else {
            next.signal(signal);
        }
        previous.awaitLog("this one serves again");
        assertEquals(422, post(2000).status());
        next.signal("KILL");
        setMaxWidth(previous, 320);
        assertEquals(422, post(640).status());
        Daemon.start(() -> backend.answerAll("r"));
        assertEquals(200, post(320).status());
    }

    /** Guards against a file that is neither the one before nor the one after a change that the end of the process cuts off. */
    @ParameterizedTest @ValueSource(strings = {"KILL", "TERM"})
    void endInTheMiddleOfChangesLeavesWholeFile(String signal) throws Exception {
        Random random = new Random(SEED);
        int kept = 0;
        for (int round = 0; round < 3; round++) {
            Supervisor.Instance instance = start().awaitReady();
            AtomicInteger acknowledged = new AtomicInteger(kept);
            setMaxWidth(instance, kept);
            Thread changes = Daemon.start(() -> {
                while (true) {
                    setMaxWidth(instance, acknowledged.get() + 1);
                    acknowledged.incrementAndGet();
                }
            });
            int least = kept + 1 + random.nextInt(20);
            Await.until("some changes", () -> acknowledged.get() >= least);
            instance.signal(signal);
            instance.awaitExit();
            changes.join();
            String stored = storedSection("contracts").toString();
            kept = Integer.parseInt(stored.replaceAll("(?s).*maximum\\\\\":(\\d+).*", "$1"));
            assertTrue(kept == acknowledged.get() || kept == acknowledged.get() + 1, kept + " for " + acknowledged);
        }
    }

    // ---- The address of the admin API

    /** Guards against an admin API that nobody answers any more, where both processes are to have one address. */
    @Test void adminAddressPassesToNextProcessAndBack() throws Exception {
        int port = freePort();
        Supervisor.Instance previous = startOn("127.0.0.1:" + port).awaitReady();
        setMaxWidth(previous, 4000);
        AtomicLong longestGapMillis = new AtomicLong();
        AtomicBoolean isObserved = new AtomicBoolean(true);
        Thread observer = Daemon.start(() -> {
            for (long last = System.nanoTime(); isObserved.get(); TimeUnit.MILLISECONDS.sleep(5)) {
                try (Client client = new Client(port)) {
                    assertEquals(200, client.callAdmin("GET", PREVIEWS, "", "").status());
                } catch (IOException e) {
                    continue;
                }
                long now = System.nanoTime();
                longestGapMillis.accumulateAndGet(TimeUnit.NANOSECONDS.toMillis(now - last), Math::max);
                last = now;
            }
        });
        Supervisor.Instance next = startOn("127.0.0.1:" + port).awaitReady();
        isObserved.set(false);
        observer.join();
        assertTrue(longestGapMillis.get() <= MAX_ADMIN_GAP_MILLIS, "no answer for " + longestGapMillis + " ms");
        setMaxWidth(next, 640);
        assertEquals(422, post(2000).status());
        assertTrue(next.log().contains("the admin API listens on"));
        next.signal("KILL");
        previous.awaitLog("this one serves again");
        Await.until("the admin API of the previous process", () -> {
            try (Client client = new Client(port)) {
                return client.callAdmin("GET", PREVIEWS, "", "").status() == 200;
            } catch (IOException e) {
                return false;
            }
        });
        setMaxWidth(previous, 320);
        assertEquals(422, post(640).status());
    }

    /** Guards against a process that nobody can call and that does not say so. */
    @Test void startWithoutItsAdminAddressSaysSoAndTriesAgain() throws Exception {
        Supervisor.Instance instance;
        try (ServerSocket other = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            String address = "127.0.0.1:" + other.getLocalPort();
            instance = startOn(address).awaitReady().awaitLog("Failed to bind the admin API to");
            assertEquals("200 ready, but the admin API can't listen on " + address + "\n", instance.callConsole("HEALTH"));
            assertEquals(0, metric("admin_listening"));
        }
        instance.awaitLog("the admin API listens on");
        assertEquals("200 ready\n", instance.callConsole("HEALTH"));
        assertEquals(1, metric("admin_listening"));
    }

    private long metric(String name) throws IOException {
        try (Client client = supervisor.client()) {
            return client.get("/metrics").body().lines().filter(line -> line.startsWith("badgermux_" + name + ' '))
                .mapToLong(line -> Long.parseLong(line.substring(line.indexOf(' ') + 1))).findFirst().orElseThrow();
        }
    }

    // ---- Without a link, and with versions that do not replicate

    /** Guards against processes that go on by their own settings, and write them over what the other one has stored. */
    @Test void processesWithoutLinkFollowTheFile() throws Exception {
        String options = "--snapshot " + snapshot;
        try (Program first = new Program(folder, members, options); Program second = new Program(folder, members, options);
                Client firstAdmin = first.adminClient(); Client secondAdmin = second.adminClient()) {
            assertKept(firstAdmin.callAdmin("PUT", PREVIEWS, "", description("/preview", 640)));
            Await.until("the description at the other process",
                () -> secondAdmin.callAdmin("GET", PREVIEWS, "", "").status() == 200);
            assertKept(secondAdmin.callAdmin("PUT", "/v1/zones", "", "{}"));
            Await.until("the zones at the first process",
                () -> firstAdmin.callAdmin("GET", "/v1/zones", "", "").body().contains("\"settings\": {}"));
        }
        assertTrue(storedSection("zones") != null && storedSection("contracts") != null);
    }

    /** Guards against a response that is judged by a revision that was put in force, at either process, after its request. */
    @ParameterizedTest @ValueSource(booleans = {false, true})
    void responseUnderWayIsJudgedByTheRevisionOfItsRequest(boolean isChangedAtNext) throws Exception {
        Supervisor.Instance previous = start().awaitReady();
        String lines = "/v1/contracts/lines";
        assertKept(previous.callAdmin("PUT", lines, "", channel("started")));
        try (Client client = supervisor.client()) {
            client.send(Client.request("/preview", "5000m", "", ""));
            FakeServer.Exchange exchange = backend.take();
            Supervisor.Instance next = start().awaitLog("Serving;");
            assertKept((isChangedAtNext ? next : previous).callAdmin("PUT", lines, REPLACE, channel("queued")));
            exchange.sendStarted().sendLine("done", ",\"result\":\"r\"").endResponse();
            Client.Response response = client.read();
            assertEquals(200, response.status(), response.head());
            next.awaitReady();
            try (Client later = supervisor.client()) {
                later.send(Client.request("/pay", "5000m", "", ""));
                backend.take().sendStarted();
                assertEquals(500, later.read().status(), "judged by the new revision");
            }
        }
    }

    /** An AsyncAPI description of the lines of responses, which begin with a state. */
    private static String channel(String firstState) {
        return """
            asyncapi: 3.0.0
            info: {title: t, version: '1'}
            channels: {p: {address: /preview, messages: MESSAGES}, o: {address: /pay, messages: MESSAGES}}
            operations: {a: {action: send, channel: {$ref: '#/channels/p'}, ORDER}, b: {action: send, channel: {$ref: '#/channels/o'}, ORDER}}
            """
            .replace("ORDER", "x-order: {first: [begin], follow: {begin: [done]}, last: [done]}")
            .replace("MESSAGES", "{begin: {payload: {properties: {state: {const: " + firstState
                + "}}}}, done: {payload: {properties: {state: {const: done}}}}}");
    }

    /** Changes the stored settings as another process does. */
    private void storeUndescribed(String treatment) throws Exception {
        assertTrue(openStore().replace(openStore().current().with("contracts", JsonParser.parseString(
            "{\"version\":1,\"undescribed\":\"" + treatment + "\",\"descriptions\":{}}"))));
    }

    /** Guards against a blind write beside a next process of a version that does not replicate. */
    @Test void leavesSettingsToNextProcessOfOlderVersion() throws Exception {
        Supervisor.Instance previous = start().awaitReady();
        setMaxWidth(previous, 4000);
        try (HandoverPeer next = HandoverPeer.connectAsNext(folder)) {
            setMaxWidth(previous, 640);
            next.send("SERVING").await("LEFT ");
            Client.Response refused = previous.callAdmin("PUT", PREVIEWS, REPLACE, description("/preview", 320));
            assertEquals(503, refused.status());
            assertEquals("1", refused.header("Retry-After"));
            assertMaxWidth(640, previous);
            storeUndescribed("pass");
        }
        previous.awaitLog("this one serves again");
        assertEquals(404, previous.callAdmin("GET", PREVIEWS, "", "").status());
        assertKept(previous.callAdmin("PUT", PREVIEWS, "", description("/preview", 320)));
    }

    /** Guards against a start that waits for ever, or serves by old settings, behind a version that does not replicate. */
    @Test void readsStoredSettingsAgainBehindOlderVersion() throws Exception {
        storeUndescribed("refuse");
        try (ServerSocket console = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            HandoverPeer.leaveAddress(folder, console);
            Supervisor.Instance next = start();
            try (HandoverPeer previous = HandoverPeer.acceptAsPrevious(console, members)) {
                storeUndescribed("pass");
                previous.await("SERVING");
                assertTrue(next.callAdmin("GET", "/v1/contracts", "", "").body().contains("\"undescribed\": \"pass\""));
            }
        }
    }

    // ---- The steps of the handover, one by one

    /** Guards against a change that is taken between the claim and the moment at which the next process serves. */
    @Test void changeIsLeftToClaimant() throws Exception {
        Supervisor.Instance previous = start().awaitReady();
        setMaxWidth(previous, 4000);
        try (HandoverPeer next = HandoverPeer.connectAsNext(folder)) {
            next.send("SETTINGS FOLLOW ");
            assertTrue(next.await("SETTINGS SNAPSHOT ").contains("4000"));
            next.send("SETTINGS CLAIM 127.0.0.1:1");
            assertEquals("1", next.await("SETTINGS GRANT "));
            Daemon.start(() -> {
                String[] call = next.await("SETTINGS CALL ").split(" ", 2);
                assertTrue(call[1].contains("\"ifMatch\":\"*\""), call[1]);
                next.send("SETTINGS REPLY " + call[0] + " {\"status\":418,\"headers\":\"\",\"body\":\"\"}");
            });
            assertEquals(418, previous.callAdmin("PUT", PREVIEWS, REPLACE, description("/preview", 640)).status());
            assertMaxWidth(4000, previous);
        }
        previous.awaitLog("This process owns the settings");
        setMaxWidth(previous, 320);
    }

    /** Guards against a caller that waits for ever for a process that has ended in the middle of its change. */
    @Test void callThatOwnerDoesNotAnswerIsEnded() throws Exception {
        Supervisor.Instance previous = start().awaitReady();
        HandoverPeer next = HandoverPeer.connectAsNext(folder);
        next.send("SETTINGS FOLLOW ").send("SETTINGS CLAIM -").await("SETTINGS GRANT ");
        Daemon.start(() -> {
            next.await("SETTINGS CALL ");
            next.close();
        });
        assertEquals(502, previous.callAdmin("PUT", PREVIEWS, "", description("/preview", 640)).status());
    }

    /** Guards against a next process that serves without the settings of the previous one, as it can't use them. */
    @Test void settingsThatCannotBeUsedEndTheStart() throws Exception {
        try (ServerSocket console = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            HandoverPeer.leaveAddress(folder, console);
            Supervisor.Instance next = start();
            try (HandoverPeer previous = HandoverPeer.acceptAsPrevious(console, members)) {
                previous.await("SETTINGS FOLLOW");
                String unknown = new Snapshot(7, Map.of("budgets", JsonParser.parseString("{}"))).line();
                previous.send("SETTINGS OWNER -").send("SETTINGS SNAPSHOT " + unknown);
                next.awaitExit();
                assertTrue(next.log().contains("badgermux: the settings of the previous process can't be used: written by a "
                    + "newer program: section budgets is unknown"), next.log());
            }
        }
    }

    /** Guards against a link that closes for settings longer than its lines, or that cuts a character into two. */
    @ParameterizedTest @CsvSource({"70000", "5000000"})
    void longSettingsGoOverInPieces(int characters) throws Exception {
        Supervisor.Instance previous = start().awaitReady();
        String text = "\uD83D\uDCF0".repeat(characters / 4) + "x";
        assertKept(previous.callAdmin("PUT", PREVIEWS, "",
            description("/preview", 640).replace("\"title\":\"t\"", "\"title\":\"" + text + "\"")));
        Supervisor.Instance next = start().awaitReady();
        assertMaxWidth(640, next);
        assertTrue(next.callAdmin("GET", PREVIEWS, "", "").body().contains(text));
        setMaxWidth(previous, 320);
        assertMaxWidth(320, next);
        assertEquals(320, Integer.parseInt(Files.readString(snapshot).replaceAll("(?s).*maximum\\\\\":(\\d+).*", "$1")));
    }
}

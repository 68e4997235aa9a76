package badgermux.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.decide.DispatchPolicy.ListUpdate;
import badgermux.discovery.DiscoveryClient;
import badgermux.discovery.BackendListCodec;
import badgermux.metrics.Metrics.Count;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Requests, answers, closes and news in the one order that is wrong, every time: the event loop is held meanwhile. */
@Timeout(60)
class EventOrderIT {
    private InProcessDispatcher parts;
    private FakeServer backend;
    private Client client;

    @BeforeEach void start() throws Exception {
        parts = new InProcessDispatcher();
        backend = new FakeServer();
        client = parts.client();
        parts.runOnEventLoop(() -> parts.backendClient.setAddress(1, addressOf(backend)));
    }

    @AfterEach void stop() throws IOException {
        client.close();
        backend.close();
        parts.close();
    }

    private static InetSocketAddress addressOf(FakeServer peer) {
        return new InetSocketAddress("127.0.0.1", peer.port());
    }

    /** A close over bytes that nobody has read is a reset, which takes the answer before it along. */
    @Test void finalAnswerIsReadableWhenMoreInputArrivesAtClose() throws Exception {
        client.send(Client.request("/preview", "5000m", "Connection: close\r\n", ""));
        long job = parts.awaitRequest();
        parts.runOnEventLoop(() -> {
            client.send("x".repeat(10_000));
            parts.engine.refuse(job, 0);
        });
        assertEquals(1, parts.clientConnections(), "it is heard out, not closed over what lies unread");
        assertEquals(503, client.read().status());
        assertTrue(client.isClosedByServer(), "ended in order, not reset");
        client.close();
        Await.until("its end, once its client has left", () -> parts.clientConnections() == 0);
    }

    /** A client that rests sends just as its connection is closed: it sees the end, and sends once more elsewhere. */
    @Test void requestCrossingCloseOfIdleConnectionIsNeitherServedNorReset() throws Exception {
        client.send(Client.request("/preview", "5000m", "", ""));
        long job = parts.awaitRequest();
        parts.runOnEventLoop(() -> parts.engine.refuse(job, 0));
        assertEquals(503, client.read().status());
        parts.runOnEventLoop(() -> {
            client.send(Client.request("/preview", "5000m", "", ""));
            parts.frontend.handOver();
        });
        assertEquals(1, parts.clientConnections(), "it is heard out, not closed over what lies unread");
        assertTrue(client.isClosedByServer(), "ended in order, not reset");
        assertFalse(parts.hasRequest(), "what is read after the shutdown is no request of ours");
        assertEquals(1, parts.metrics.get(Count.REQS_TAKEN));
    }

    /** However it leaves, nothing that waits in the module is sent on, and its id, its place and its deadline are free again. */
    @Test void disconnectOfWaitingClientReleasesItsRequest() throws Exception {
        Client closes = parts.client();
        try (Client halfCloses = parts.client(); Client resets = parts.client()) {
            for (Client each : List.of(closes, halfCloses, resets)) {
                each.send(Client.request("/preview", "5000m", "", ""));
                parts.awaitRequest();
            }
            closes.close();
            halfCloses.halfClose();
            resets.reset();
            Await.until("their leave", () -> parts.counterValue(Count.CLIENTS_GONE) == 3);
            parts.runOnEventLoop(() -> {
                assertEquals(List.of("gone", "gone", "gone"), parts.policyEvents);
                assertEquals(0, parts.engine.openRequestCount());
            });
            Await.until("their ends", () -> parts.clientConnections() == 1);
            assertEquals(0, parts.counterValue(Count.FETCHES_SENT));
            assertNull(backend.poll());
        }
    }

    /** The event loop is late: the request and its client's end lie unread together, and the end is behind the request. */
    @Test void doesNotSendRequestOfClientThatLeftBeforeItWasRead() throws Exception {
        openIdleConnections(1, backend, 1);
        parts.sendToBackendId = 1;
        parts.runOnEventLoop(() -> {
            client.send(Client.request("/preview", "5000m", "", ""));
            client.closeAndAwaitFin();
        });
        Await.until("its end", () -> parts.clientConnections() == 0);
        assertEquals(1, parts.counterValue(Count.FETCHES_WRITTEN), "the one that opened the connection");
        assertNull(backend.poll(), "its client had gone when it was read");
    }

    /** Has so many connections to a backend stand idle, so that what is sent there is written at once. */
    private void openIdleConnections(long id, FakeServer peer, int count) throws Exception {
        parts.sendToBackendId = id;
        List<Client> clients = new ArrayList<>();
        List<FakeServer.Exchange> calls = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            clients.add(parts.client().send(Client.request("/preview", "5000m", "", "")));
            calls.add(peer.take());
        }
        for (FakeServer.Exchange call : calls) {
            call.sendResult("x");
        }
        for (Client each : clients) {
            assertEquals(200, each.read().status());
            each.close();
        }
        Await.until("their ends", () -> parts.clientConnections() <= 1);
    }

    /** Where there is no room, clients wait to be let in; the end of one that has left may come behind its request. */
    @Test void delaysRequestsOfLateAcceptedClientsToDetectDisconnect() throws Exception {
        openIdleConnections(1, backend, 1);
        List<Client> crowd = new ArrayList<>();
        for (int i = 0; i < InProcessDispatcher.MAX_CLIENTS; i++) {
            crowd.add(parts.client());
        }
        Await.until("a full house", () -> parts.clientConnections() == 1 + InProcessDispatcher.MAX_CLIENTS);
        parts.runOnEventLoop(() -> parts.setClockStopped(true));
        long before = parts.counterValue(Count.CLIENT_CONNECTIONS);
        Client leaves = parts.client();
        try (Client stays = parts.client()) {
            Await.until("they are let in", () -> parts.counterValue(Count.CLIENT_CONNECTIONS) == before + 2);
            leaves.send(Client.request("/preview", "5000m", "", ""));
            stays.send(Client.request("/preview", "5000m", "", ""));
            parts.runOnEventLoop(() -> { });  // a round of the event loop in which the requests are read
            parts.runOnEventLoop(() -> { });
            long connected = parts.clientConnections();
            leaves.close();
            Await.until("its end", () -> parts.clientConnections() < connected);
            parts.runOnEventLoop(() -> parts.setClockStopped(false));
            parts.awaitRequest();    // the one that opened the connection
            parts.awaitRequest();
            backend.take();
            assertNull(backend.poll(), "who stays is sent on, and nobody else");
            assertEquals(2, parts.counterValue(Count.FETCHES_WRITTEN), "the one that opened the connection, and who stays");
        }
        for (Client each : crowd) {
            each.close();
        }
    }

    /** The event loop stands still: a client's time counts from its last byte, not from when that was read. */
    @Test void deadlineCountsFromArrivalOfRequest() throws Exception {
        parts.runOnEventLoop(() -> {
            parts.deadlines.scheduleAfter(0, () -> { });
            client.send(Client.request("/preview", "2000m", "", ""));
            TimeUnit.MILLISECONDS.sleep(400);   // the standstill itself
        });
        parts.awaitRequest();
        long[] left = new long[1];
        parts.runOnEventLoop(() -> left[0] = parts.lastRemainingMicros());
        assertTrue(left[0] < 1_650_000, "it has waited for 0.4 s of its 2 s, but has " + left[0] + " us left");
    }

    /** The kill counts from the signal: a process that hears of it late has less time left. */
    @Test void finalAnswersAreTimedFromSignalEvenIfHandledLate() throws Exception {
        client.send(Client.request("/preview", "5000m", "", ""));
        parts.awaitRequest();
        long[] toldAt = new long[1];
        parts.runOnEventLoop(() -> {
            toldAt[0] = parts.nowMicros() - 3_000_000;
            parts.frontend.drain(toldAt[0], () -> { });
        });
        assertEquals(503, client.read().status());
        long answeredAt = parts.exitAnswerTimesMicros.get(0) - toldAt[0];
        assertTrue(answeredAt < 3_400_000, "answered " + answeredAt + " us after the signal; the kill comes after 3,700,000");
    }

    /** The module leaves it open although the process ends: the engine fails it. */
    @Test void failsRequestsThatPolicyLeavesOpenAtShutdown() throws Exception {
        parts.refusesBeforeExit = false;
        client.send(Client.request("/preview", "5000m", "", ""));
        parts.awaitRequest();
        long[] drainedAt = new long[1];
        parts.runOnEventLoop(() -> {
            drainedAt[0] = parts.nowMicros();
            parts.frontend.drain(drainedAt[0] - 3_300_000, () -> { });
        });
        assertEquals(504, client.read().status());
        parts.runOnEventLoop(() -> assertTrue(parts.nowMicros() - drainedAt[0] < 2_000_000, "at the end, not when its client gives up"));
    }

    /** Two whole requests on one connection, and the process is told to end: both are answered. */
    @Test void answersPipelinedRequestAtShutdown() throws Exception {
        client.send(Client.request("/preview", "5000m", "", "") + Client.request("/preview", "5000m", "", ""));
        long first = parts.awaitRequest();
        parts.runOnEventLoop(() -> {
            parts.frontend.drain(parts.nowMicros(), () -> { });
            parts.engine.refuse(first, 0);
        });
        long second = parts.awaitRequest();
        parts.runOnEventLoop(() -> parts.engine.refuse(second, 0));
        assertEquals(503, client.read().status());
        assertEquals(503, client.read().status());
        assertTrue(client.isClosedByServer());
    }

    /** Half a request has come and no more: where it has to make room its client is told, as its last byte may cross that. */
    @Test void answersEvictedClientThatSentHalfARequest() throws Exception {
        client.send("POST /preview HTTP/1.1\r\nHost: x\r\n");
        List<Client> crowd = new ArrayList<>();
        Await.until("its end", () -> {
            Client next = parts.client();
            crowd.add(next);
            next.send(Client.request("/preview", "5000m", "", ""));
            return parts.counterValue(Count.CLIENT_CONNECTIONS_EVICTED) > 0;
        });
        assertEquals(503, client.read().status());
        for (Client each : crowd) {
            each.close();
        }
    }

    /** A turn-down and the client's end lie unread together: whichever is read first, no second attempt begins. */
    @Test void doesNotRetryForClientThatLeftBeforeOutcomeWasRead() throws Exception {
        FakeServer other = new FakeServer();
        List<Client> clients = new ArrayList<>();
        List<FakeServer.Exchange> calls = new ArrayList<>();
        parts.runOnEventLoop(() -> parts.backendClient.setAddress(2, addressOf(other)));
        openIdleConnections(2, other, 8);
        long before = parts.counterValue(Count.FETCHES_WRITTEN);
        parts.sendToBackendId = 1;
        parts.retryBackendId = () -> 2L;
        for (int i = 0; i < 8; i++) {
            Client each = parts.client();
            clients.add(each.send(Client.request("/preview", "5000m", "", "")));
            calls.add(backend.take());
        }
        parts.runOnEventLoop(() -> {
            for (int i = 0; i < calls.size(); i++) {
                calls.get(i).reply("503 Service Unavailable\r\nX-Not-Processed: 1", "");
                clients.get(i).closeAndAwaitFin();
            }
        });
        Await.until("their ends", () -> parts.clientConnections() == 1);
        assertEquals(before + calls.size(), parts.counterValue(Count.FETCHES_WRITTEN));
        assertNull(other.poll(), "nothing is tried again for a client that has gone");
        other.close();
    }

    /** The connection to a runner comes up in the round of input in which the client's end is read. */
    @Test void doesNotSendForClientThatLeftBeforeConnectionWasUp() throws Exception {
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            clients.add(parts.client());
        }
        Await.until("all are let in", () -> parts.clientConnections() == 1 + clients.size());
        AtomicInteger jobs = new AtomicInteger();
        AtomicInteger connecting = new AtomicInteger();
        parts.sendToBackendId = 1;
        parts.onRequestReceived = () -> {
            if (jobs.incrementAndGet() == clients.size()) {
                // Behind the tasks that begin the attempts, and before the next round of input.
                parts.runAfterTasks(3, () -> {
                    connecting.set((int) parts.backendConnectionsOnEventLoop());
                    for (Client each : clients) {
                        each.closeAndAwaitFin();
                    }
                });
            }
        };
        parts.runOnEventLoop(() -> {
            for (Client each : clients) {
                each.send(Client.request("/preview", "5000m", "", ""));
            }
        });
        Await.until("their ends", () -> parts.clientConnections() == 1);
        assertEquals(clients.size(), connecting.get(), "their attempts had begun");
        assertEquals(0, parts.counterValue(Count.FETCHES_WRITTEN));
        assertNull(backend.poll(), "its client had gone when the connection came up");
    }

    /** A connection to a runner comes up late; its client has left by then, and nothing may be cancelled there. */
    @Test void doesNotWriteCancelledAttemptOnceConnectionIsUp() throws Exception {
        parts.sendToBackendId = 1;
        parts.runOnEventLoop(() -> parts.engine.clientDisconnected(parts.submitWithoutClient()));
        Await.until("the connection's end", () -> parts.backendConnections() == 0);
        assertEquals(List.of("MOOT settled"), parts.policyEvents.subList(0, 1));
        assertEquals(0, parts.metrics.get(Count.FETCHES_WRITTEN));
        assertNull(backend.poll());
    }

    /** The runner drains, is gone or has moved while the connection to it comes up: 0.75 s later it may get nothing new. */
    @Test void movesUnsentAttemptWhenBackendDrainsLeavesOrMoves() throws Exception {
        FakeServer other = new FakeServer();
        parts.sendToBackendId = 1;
        parts.runOnEventLoop(() -> {
            parts.backendClient.setAddress(2, addressOf(other));
            parts.submitWithoutClient();
            parts.sendToBackendId = 2;
            parts.backendClient.withdrawUnsentAttempts(1);
        });
        assertEquals("POST /preview HTTP/1.1", other.take().head.lines().findFirst().orElseThrow());
        parts.sendToBackendId = 2;
        parts.runOnEventLoop(() -> {
            parts.submitWithoutClient();
            parts.sendToBackendId = 3;
            parts.backendClient.setAddress(3, addressOf(other));
            parts.backendClient.removeBackend(2);
        });
        other.take();
        parts.runOnEventLoop(() -> {
            parts.sendToBackendId = 1;
            parts.submitWithoutClient();
            parts.backendClient.setAddress(1, addressOf(other));
        });
        other.take();
        assertNull(backend.poll(), "nothing was written to who had drained, gone or moved");
        other.close();
    }

    /** The response's end never comes: the next attempt went out while the one before it stood on an open connection. */
    @Test void closesConnectionOfRejectedAttemptBeforeRetry() throws Exception {
        FakeServer other = new FakeServer();
        List<Long> open = new ArrayList<>();
        parts.sendToBackendId = 1;
        parts.retryBackendId = () -> {
            open.add(parts.backendConnectionsOnEventLoop());
            return 2L;
        };
        parts.runOnEventLoop(() -> parts.backendClient.setAddress(2, addressOf(other)));
        parts.runOnEventLoop(parts::submitWithoutClient);
        backend.take().send("HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 9\r\n\r\nnot");
        other.take().sendResult("r");
        parts.runOnEventLoop(parts::submitWithoutClient);
        backend.take().sendStarted().sendLine("returned", "");
        other.take().sendResult("r");
        parts.runOnEventLoop(() -> assertEquals(List.of(0L, 1L), open, "only the idle one to the other runner"));
        other.close();
    }

    /** The second answer to a probe, which has no id, ended the request that went out on that connection next. */
    @Test void closesConnectionAfterFailedProbe() throws Exception {
        parts.runOnEventLoop(() -> parts.backendClient.probe(1));
        FakeServer.Exchange probe = backend.take();
        probe.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        assertTrue(probe.isClosedByClient());
        parts.sendToBackendId = 1;
        parts.runOnEventLoop(parts::submitWithoutClient);
        backend.take().sendResult("r");
        Await.until("its result", () -> parts.hasPolicyEvent("SERVED settled"));
    }

    /** An exception in a list left no call and told no failure: nobody watched again. */
    @Test void requestsListAgainAfterExceptionWhileApplyingIt() throws Exception {
        FakeServer agent = new FakeServer();
        AtomicInteger lists = new AtomicInteger();
        DiscoveryClient discovery = new DiscoveryClient(parts.eventLoop, parts.deadlines, parts.clock, parts.metrics, parts.engine, parts.backendClient,
            addressOf(agent), BackendListCodec.decode("{\"revision\":4}"), List.of("east"), List.of("k"), (now, update, list, before) -> {
                if (update != ListUpdate.CACHED && lists.getAndIncrement() == 0) {
                    throw new IllegalStateException("seen in a test");
                }
                return list;
            }, null, true);
        parts.runOnEventLoop(discovery::start);
        agent.take().reply("200 OK", "{\"revision\":5,\"complete\":false,\"members\":["
            + Program.member("s-1", backend, "east", "SERVING") + "]}");
        agent.take().reply("503 Busy", "");
        FakeServer.Exchange again = agent.take();
        assertTrue(again.head.startsWith("GET /v1/servers?since=0&"), "what was not told comes again: " + again.head);
        again.reply("200 OK", "{\"revision\":5,\"complete\":true,\"members\":["
            + Program.member("s-1", backend, "east", "SERVING") + "]}");
        Await.until("the list", () -> parts.hasPolicyEvent("FULL 1"));
        assertTrue(parts.hasPolicyEvent("FAILED 0"));
        assertEquals(1, parts.metrics.get(Count.EXCEPTIONS));
        agent.close();
    }

    /** SIGHUP comes while half a list has been read, and again while nobody answers: what is left of the old ones is nobody's. */
    @Test void dropsPartialResponseAfterSwitchOfDiscovery() throws Exception {
        FakeServer old = new FakeServer();
        FakeServer next = new FakeServer();
        DiscoveryClient discovery = new DiscoveryClient(parts.eventLoop, parts.deadlines, parts.clock, parts.metrics, parts.engine, parts.backendClient,
            addressOf(old), BackendListCodec.decode("{\"revision\":4}"), List.of("east"), List.of("k"), null, null, false);
        parts.runOnEventLoop(() -> {
            discovery.start();
            discovery.watch();
        });
        String list = "{\"revision\":5,\"complete\":true,\"members\":[]}";
        FakeServer.Exchange half = old.take();
        half.send("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list.substring(0, 20));
        parts.runOnEventLoop(() -> {
            half.send(list.substring(20));
            discovery.switchTo(addressOf(next));
        });
        assertTrue(half.isClosedByClient());
        FakeServer.Exchange call = next.take();
        assertTrue(call.head.startsWith("GET /v1/servers?since=4&"), call.head);
        call.reset();
        Await.until("the failure", () -> parts.hasPolicyEvent("FAILED 0"));
        parts.runOnEventLoop(() -> {
            discovery.switchTo(addressOf(next));
            discovery.switchTo(addressOf(next));
        });
        next.take().reply("200 OK", list.replace("5", "6"));
        assertTrue(next.take().head.startsWith("GET /v1/servers?since=6&"));
        assertNull(next.poll(), "one call, however often it is told");
        parts.runOnEventLoop(() -> assertEquals(List.of("CACHED 0", "FAILED 0", "FULL 0"), parts.policyEvents));
        next.close();
        old.close();
    }

    /** What a client sends ahead stays within a bound, and who goes beyond is told so. */
    @Test void answers413WhenTooMuchIsPipelined() throws Exception {
        client.send(Client.request("/preview", "5000m", "", ""));
        parts.awaitRequest();
        Thread flood = new Thread(() -> {
            try {
                client.send(Client.request("/preview", "5000m", "", "") + "x".repeat(3 << 20));
            } catch (IOException e) {
                // it is cut off in the end
            }
        });
        flood.start();
        assertEquals(413, client.read().status());
        flood.join(TimeUnit.SECONDS.toMillis(FakeServer.TIMEOUT_SECONDS));
        assertTrue(parts.hasPolicyEvent("gone"), "the request before it has ended with it");
        Await.until("its end", () -> parts.clientConnections() == 0);
    }
}

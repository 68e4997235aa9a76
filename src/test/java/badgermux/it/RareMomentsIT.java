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
class RareMomentsIT {
    private Parts parts;
    private Peer backend;
    private Client client;

    @BeforeEach void start() throws Exception {
        parts = new Parts();
        backend = new Peer();
        client = parts.client();
        parts.held(() -> parts.backends.setAddress(1, at(backend)));
    }

    @AfterEach void stop() throws IOException {
        client.close();
        backend.close();
        parts.close();
    }

    private static InetSocketAddress at(Peer peer) {
        return new InetSocketAddress("127.0.0.1", peer.port());
    }

    /** A close over bytes that nobody has read is a reset, which takes the answer before it along. */
    @Test void anAnswerThatEndsItsConnectionIsReadWhateverWasSentInThatMoment() throws Exception {
        client.send(Client.request("/preview", "5000m", "Connection: close\r\n", ""));
        long job = parts.job();
        parts.held(() -> {
            client.send("x".repeat(10_000));
            parts.engine.refuse(job, 0);
        });
        assertEquals(1, parts.connections(), "it is heard out, not closed over what lies unread");
        assertEquals(503, client.read().status());
        assertTrue(client.isEnded(), "ended in order, not reset");
        client.close();
        Await.until("its end, once its client has left", () -> parts.connections() == 0);
    }

    /** A client that rests sends just as its connection is closed: it sees the end, and sends once more elsewhere. */
    @Test void aRequestThatCrossesTheCloseOfARestingConnectionIsNeitherServedNorReset() throws Exception {
        client.send(Client.request("/preview", "5000m", "", ""));
        long job = parts.job();
        parts.held(() -> parts.engine.refuse(job, 0));
        assertEquals(503, client.read().status());
        parts.held(() -> {
            client.send(Client.request("/preview", "5000m", "", ""));
            parts.front.handOver();
        });
        assertEquals(1, parts.connections(), "it is heard out, not closed over what lies unread");
        assertTrue(client.isEnded(), "ended in order, not reset");
        assertFalse(parts.hasJob(), "what is read after the shutdown is no request of ours");
        assertEquals(1, parts.metrics.get(Count.REQS_TAKEN));
    }

    /** However it leaves, nothing that waits in the module is sent on, and its id, its place and its deadline are free again. */
    @Test void whoLeavesWhileItWaitsIsGoneHoweverItLeaves() throws Exception {
        Client closes = parts.client();
        try (Client halfCloses = parts.client(); Client resets = parts.client()) {
            for (Client each : List.of(closes, halfCloses, resets)) {
                each.send(Client.request("/preview", "5000m", "", ""));
                parts.job();
            }
            closes.close();
            halfCloses.halfClose();
            resets.reset();
            Await.until("their leave", () -> parts.count(Count.CLIENTS_GONE) == 3);
            parts.held(() -> {
                assertEquals(List.of("gone", "gone", "gone"), parts.told);
                assertEquals(0, parts.engine.openRequestCount());
            });
            Await.until("their ends", () -> parts.connections() == 1);
            assertEquals(0, parts.count(Count.FETCHES_SENT));
            assertNull(backend.peek());
        }
    }

    /** The event loop is late: the request and its client's end lie unread together, and the end is behind the request. */
    @Test void whoLeftBeforeItsRequestWasReadIsNotSentOn() throws Exception {
        keepConnections(1, backend, 1);
        parts.sendsTo = 1;
        parts.held(() -> {
            client.send(Client.request("/preview", "5000m", "", ""));
            client.closeAndAwaitArrival();
        });
        Await.until("its end", () -> parts.connections() == 0);
        assertEquals(1, parts.count(Count.FETCHES_WRITTEN), "the one that opened the connection");
        assertNull(backend.peek(), "its client had gone when it was read");
    }

    /** Has so many connections to a backend stand idle, so that what is sent there is written at once. */
    private void keepConnections(long id, Peer peer, int count) throws Exception {
        parts.sendsTo = id;
        List<Client> clients = new ArrayList<>();
        List<Peer.Call> calls = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            clients.add(parts.client().send(Client.request("/preview", "5000m", "", "")));
            calls.add(peer.take());
        }
        for (Peer.Call call : calls) {
            call.done("x");
        }
        for (Client each : clients) {
            assertEquals(200, each.read().status());
            each.close();
        }
        Await.until("their ends", () -> parts.connections() <= 1);
    }

    /** Where there is no room, clients wait to be let in; the end of one that has left may come behind its request. */
    @Test void whoMayHaveLeftBeforeItWasLetInIsWaitedForAMoment() throws Exception {
        keepConnections(1, backend, 1);
        List<Client> crowd = new ArrayList<>();
        for (int i = 0; i < Parts.MOST_CLIENTS; i++) {
            crowd.add(parts.client());
        }
        Await.until("a full house", () -> parts.connections() == 1 + Parts.MOST_CLIENTS);
        parts.held(() -> parts.stopClock(true));
        long before = parts.count(Count.CLIENT_CONNECTIONS);
        Client leaves = parts.client();
        try (Client stays = parts.client()) {
            Await.until("they are let in", () -> parts.count(Count.CLIENT_CONNECTIONS) == before + 2);
            leaves.send(Client.request("/preview", "5000m", "", ""));
            stays.send(Client.request("/preview", "5000m", "", ""));
            parts.held(() -> { });  // a round of the event loop in which the requests are read
            parts.held(() -> { });
            long connected = parts.connections();
            leaves.close();
            Await.until("its end", () -> parts.connections() < connected);
            parts.held(() -> parts.stopClock(false));
            parts.job();    // the one that opened the connection
            parts.job();
            backend.take();
            assertNull(backend.peek(), "who stays is sent on, and nobody else");
            assertEquals(2, parts.count(Count.FETCHES_WRITTEN), "the one that opened the connection, and who stays");
        }
        for (Client each : crowd) {
            each.close();
        }
    }

    /** The event loop stands still: a client's time counts from its last byte, not from when that was read. */
    @Test void aDeadlineCountsFromWhenTheRequestCame() throws Exception {
        parts.held(() -> {
            parts.deadlines.scheduleAfter(0, () -> { });
            client.send(Client.request("/preview", "2000m", "", ""));
            TimeUnit.MILLISECONDS.sleep(400);   // the standstill itself
        });
        parts.job();
        long[] left = new long[1];
        parts.held(() -> left[0] = parts.left());
        assertTrue(left[0] < 1_650_000, "it has waited for 0.4 s of its 2 s, but has " + left[0] + " us left");
    }

    /** The kill counts from the signal: a process that hears of it late has less time left. */
    @Test void theLastAnswersCountFromTheSignalHoweverLateItIsHeardOf() throws Exception {
        client.send(Client.request("/preview", "5000m", "", ""));
        parts.job();
        long[] toldAt = new long[1];
        parts.held(() -> {
            toldAt[0] = parts.now() - 3_000_000;
            parts.front.drain(toldAt[0], () -> { });
        });
        assertEquals(503, client.read().status());
        long answeredAt = parts.endings.get(0) - toldAt[0];
        assertTrue(answeredAt < 3_400_000, "answered " + answeredAt + " us after the signal; the kill comes after 3,700,000");
    }

    /** The module leaves it open although the process ends: the engine fails it. */
    @Test void whatTheModuleLeavesOpenAtTheEndIsFailed() throws Exception {
        parts.refusesAtTheEnd = false;
        client.send(Client.request("/preview", "5000m", "", ""));
        parts.job();
        long[] drainedAt = new long[1];
        parts.held(() -> {
            drainedAt[0] = parts.now();
            parts.front.drain(drainedAt[0] - 3_300_000, () -> { });
        });
        assertEquals(504, client.read().status());
        parts.held(() -> assertTrue(parts.now() - drainedAt[0] < 2_000_000, "at the end, not when its client gives up"));
    }

    /** Two whole requests on one connection, and the process is told to end: both are answered. */
    @Test void whatCameWholeBehindAnOpenRequestIsAnsweredAtTheEnd() throws Exception {
        client.send(Client.request("/preview", "5000m", "", "") + Client.request("/preview", "5000m", "", ""));
        long first = parts.job();
        parts.held(() -> {
            parts.front.drain(parts.now(), () -> { });
            parts.engine.refuse(first, 0);
        });
        long second = parts.job();
        parts.held(() -> parts.engine.refuse(second, 0));
        assertEquals(503, client.read().status());
        assertEquals(503, client.read().status());
        assertTrue(client.isEnded());
    }

    /** Half a request has come and no more: where it has to make room its client is told, as its last byte may cross that. */
    @Test void whoLeftHalfARequestIsToldWhenItMakesRoom() throws Exception {
        client.send("POST /preview HTTP/1.1\r\nHost: x\r\n");
        List<Client> crowd = new ArrayList<>();
        Await.until("its end", () -> {
            Client next = parts.client();
            crowd.add(next);
            next.send(Client.request("/preview", "5000m", "", ""));
            return parts.count(Count.CLIENT_CONNECTIONS_EVICTED) > 0;
        });
        assertEquals(503, client.read().status());
        for (Client each : crowd) {
            each.close();
        }
    }

    /** A turn-down and the client's end lie unread together: whichever is read first, no second attempt begins. */
    @Test void whoLeftBeforeAnAttemptsOutcomeWasReadIsNotSentOnAgain() throws Exception {
        Peer other = new Peer();
        List<Client> clients = new ArrayList<>();
        List<Peer.Call> calls = new ArrayList<>();
        parts.held(() -> parts.backends.setAddress(2, at(other)));
        keepConnections(2, other, 8);
        long before = parts.count(Count.FETCHES_WRITTEN);
        parts.sendsTo = 1;
        parts.again = () -> 2L;
        for (int i = 0; i < 8; i++) {
            Client each = parts.client();
            clients.add(each.send(Client.request("/preview", "5000m", "", "")));
            calls.add(backend.take());
        }
        parts.held(() -> {
            for (int i = 0; i < calls.size(); i++) {
                calls.get(i).reply("503 Service Unavailable\r\nX-Not-Processed: 1", "");
                clients.get(i).closeAndAwaitArrival();
            }
        });
        Await.until("their ends", () -> parts.connections() == 1);
        assertEquals(before + calls.size(), parts.count(Count.FETCHES_WRITTEN));
        assertNull(other.peek(), "nothing is tried again for a client that has gone");
        other.close();
    }

    /** The connection to a runner comes up in the round of input in which the client's end is read. */
    @Test void whoLeftBeforeItsAttemptsConnectionWasUpIsNotSentOn() throws Exception {
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            clients.add(parts.client());
        }
        Await.until("all are let in", () -> parts.connections() == 1 + clients.size());
        AtomicInteger jobs = new AtomicInteger();
        AtomicInteger connecting = new AtomicInteger();
        parts.sendsTo = 1;
        parts.onJob = () -> {
            if (jobs.incrementAndGet() == clients.size()) {
                // Behind the tasks that begin the attempts, and before the next round of input.
                parts.afterTasks(3, () -> {
                    connecting.set((int) parts.openNow());
                    for (Client each : clients) {
                        each.closeAndAwaitArrival();
                    }
                });
            }
        };
        parts.held(() -> {
            for (Client each : clients) {
                each.send(Client.request("/preview", "5000m", "", ""));
            }
        });
        Await.until("their ends", () -> parts.connections() == 1);
        assertEquals(clients.size(), connecting.get(), "their attempts had begun");
        assertEquals(0, parts.count(Count.FETCHES_WRITTEN));
        assertNull(backend.peek(), "its client had gone when the connection came up");
    }

    /** A connection to a runner comes up late; its client has left by then, and nothing may be cancelled there. */
    @Test void whatNobodyWaitsForIsNotWrittenOnceItsConnectionIsUp() throws Exception {
        parts.sendsTo = 1;
        parts.held(() -> parts.engine.clientDisconnected(parts.take()));
        Await.until("the connection's end", () -> parts.open() == 0);
        assertEquals(List.of("MOOT settled"), parts.told.subList(0, 1));
        assertEquals(0, parts.metrics.get(Count.FETCHES_WRITTEN));
        assertNull(backend.peek());
    }

    /** The runner drains, is gone or has moved while the connection to it comes up: 0.75 s later it may get nothing new. */
    @Test void whatHasNotBeenWrittenGoesElsewhereWhenItsRunnerDrains() throws Exception {
        Peer other = new Peer();
        parts.sendsTo = 1;
        parts.held(() -> {
            parts.backends.setAddress(2, at(other));
            parts.take();
            parts.sendsTo = 2;
            parts.backends.withdrawUnsentAttempts(1);
        });
        assertEquals("POST /preview HTTP/1.1", other.take().head.lines().findFirst().orElseThrow());
        parts.sendsTo = 2;
        parts.held(() -> {
            parts.take();
            parts.sendsTo = 3;
            parts.backends.setAddress(3, at(other));
            parts.backends.removeBackend(2);
        });
        other.take();
        parts.held(() -> {
            parts.sendsTo = 1;
            parts.take();
            parts.backends.setAddress(1, at(other));
        });
        other.take();
        assertNull(backend.peek(), "nothing was written to who had drained, gone or moved");
        other.close();
    }

    /** The response's end never comes: the next attempt went out while the one before it stood on an open connection. */
    @Test void whatWasTurnedAwayIsOverOnItsConnectionBeforeItGoesOutAgain() throws Exception {
        Peer other = new Peer();
        List<Long> open = new ArrayList<>();
        parts.sendsTo = 1;
        parts.again = () -> {
            open.add(parts.openNow());
            return 2L;
        };
        parts.held(() -> parts.backends.setAddress(2, at(other)));
        parts.held(parts::take);
        backend.take().send("HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 9\r\n\r\nnot");
        other.take().done("r");
        parts.held(parts::take);
        backend.take().accept().line("returned", "");
        other.take().done("r");
        parts.held(() -> assertEquals(List.of(0L, 1L), open, "only the idle one to the other runner"));
        other.close();
    }

    /** The second answer to a probe, which has no id, ended the request that went out on that connection next. */
    @Test void aProbeThatIsNotAnsweredWellLeavesNoConnectionToUse() throws Exception {
        parts.held(() -> parts.backends.probe(1));
        Peer.Call probe = backend.take();
        probe.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        assertTrue(probe.isEnded());
        parts.sendsTo = 1;
        parts.held(parts::take);
        backend.take().done("r");
        Await.until("its result", () -> parts.toldOf("SERVED settled"));
    }

    /** An exception in a list left no call and told no failure: nobody watched again. */
    @Test void aListThatCantBeUsedIsAskedForAgain() throws Exception {
        Peer agent = new Peer();
        AtomicInteger lists = new AtomicInteger();
        DiscoveryClient discovery = new DiscoveryClient(parts.loop, parts.deadlines, parts.clock, parts.metrics, parts.engine, parts.backends,
            at(agent), BackendListCodec.decode("{\"revision\":4}"), List.of("east"), List.of("k"), (now, update, list, before) -> {
                if (update != ListUpdate.CACHED && lists.getAndIncrement() == 0) {
                    throw new IllegalStateException("seen in a test");
                }
                return list;
            }, null, true);
        parts.held(discovery::start);
        agent.take().reply("200 OK", "{\"revision\":5,\"complete\":false,\"members\":["
            + Program.member("s-1", backend, "east", "SERVING") + "]}");
        agent.take().reply("503 Busy", "");
        Peer.Call again = agent.take();
        assertTrue(again.head.startsWith("GET /v1/servers?since=0&"), "what was not told comes again: " + again.head);
        again.reply("200 OK", "{\"revision\":5,\"complete\":true,\"members\":["
            + Program.member("s-1", backend, "east", "SERVING") + "]}");
        Await.until("the list", () -> parts.toldOf("FULL 1"));
        assertTrue(parts.toldOf("FAILED 0"));
        assertEquals(1, parts.metrics.get(Count.EXCEPTIONS));
        agent.close();
    }

    /** SIGHUP comes while half a list has been read, and again while nobody answers: what is left of the old ones is nobody's. */
    @Test void halfAnAnswerOfADiscoveryThatWasLeftIsDropped() throws Exception {
        Peer old = new Peer();
        Peer next = new Peer();
        DiscoveryClient discovery = new DiscoveryClient(parts.loop, parts.deadlines, parts.clock, parts.metrics, parts.engine, parts.backends,
            at(old), BackendListCodec.decode("{\"revision\":4}"), List.of("east"), List.of("k"), null, null, false);
        parts.held(() -> {
            discovery.start();
            discovery.watch();
        });
        String list = "{\"revision\":5,\"complete\":true,\"members\":[]}";
        Peer.Call half = old.take();
        half.send("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list.substring(0, 20));
        parts.held(() -> {
            half.send(list.substring(20));
            discovery.switchTo(at(next));
        });
        assertTrue(half.isEnded());
        Peer.Call call = next.take();
        assertTrue(call.head.startsWith("GET /v1/servers?since=4&"), call.head);
        call.reset();
        Await.until("the failure", () -> parts.toldOf("FAILED 0"));
        parts.held(() -> {
            discovery.switchTo(at(next));
            discovery.switchTo(at(next));
        });
        next.take().reply("200 OK", list.replace("5", "6"));
        assertTrue(next.take().head.startsWith("GET /v1/servers?since=6&"));
        assertNull(next.peek(), "one call, however often it is told");
        parts.held(() -> assertEquals(List.of("CACHED 0", "FAILED 0", "FULL 0"), parts.told));
        next.close();
        old.close();
    }

    /** What a client sends ahead stays within a bound, and who goes beyond is told so. */
    @Test void whoSendsTooMuchAheadIsToldSo() throws Exception {
        client.send(Client.request("/preview", "5000m", "", ""));
        parts.job();
        Thread flood = new Thread(() -> {
            try {
                client.send(Client.request("/preview", "5000m", "", "") + "x".repeat(3 << 20));
            } catch (IOException e) {
                // it is cut off in the end
            }
        });
        flood.start();
        assertEquals(413, client.read().status());
        flood.join(TimeUnit.SECONDS.toMillis(Peer.PATIENCE_S));
        assertTrue(parts.toldOf("gone"), "the request before it has ended with it");
        Await.until("its end", () -> parts.connections() == 0);
    }
}

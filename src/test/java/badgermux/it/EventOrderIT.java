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

/**
 * Reproduces rare orders of events between clients, backends and discovery. The event loop is blocked while a test lets the
 * events happen, so that each order is the same in every run.
 */
@Timeout(60)
class EventOrderIT {
    /** How long after SIGTERM idle connections are closed. */
    private static final long IDLE_CLOSE_DELAY_MICROS = 500_000;

    private InProcessDispatcher dispatcher;
    private FakeServer backend;
    private Client client;

    @BeforeEach void start() throws Exception {
        dispatcher = new InProcessDispatcher();
        backend = new FakeServer();
        client = dispatcher.client();
        dispatcher.runOnEventLoop(() -> dispatcher.backendClient.setAddress(1, addressOf(backend)));
    }

    @AfterEach void stop() throws IOException {
        client.close();
        backend.close();
        dispatcher.close();
    }

    private static InetSocketAddress addressOf(FakeServer server) {
        return new InetSocketAddress("127.0.0.1", server.port());
    }

    /**
     * Closing a socket with unread input resets the connection, and the client would lose the answer that was written before.
     * Here the input arrives before the event loop writes the last answer, and is still unread then.
     */
    @Test void finalAnswerIsReadableWhenMoreInputArrivesAtClose() throws Exception {
        client.send(Client.request("/preview", "5000m", "Connection: close\r\n", ""));
        long requestId = dispatcher.awaitRequest();
        dispatcher.runOnEventLoop(() -> {
            client.send("x".repeat(10_000));
            dispatcher.engine.refuse(requestId, 0);
        });
        assertEquals(1, dispatcher.clientConnections(), "the connection stays open until its input is read");
        assertEquals(503, client.read().status());
        assertTrue(client.isClosedByServer(), "closed with FIN, not reset");
        client.close();
        Await.until("the connection is closed after its client closed", () -> dispatcher.clientConnections() == 0);
    }

    /**
     * A client sends on an idle connection before it sees that the program closes it. It must see an orderly close, so that it
     * can send the request again on another connection.
     */
    @Test void requestCrossingCloseOfIdleConnectionIsNeitherServedNorReset() throws Exception {
        client.send(Client.request("/preview", "5000m", "", ""));
        long requestId = dispatcher.awaitRequest();
        dispatcher.runOnEventLoop(() -> dispatcher.engine.refuse(requestId, 0));
        assertEquals(503, client.read().status());
        dispatcher.runOnEventLoop(() -> {
            client.send(Client.request("/preview", "5000m", "", ""));
            dispatcher.frontend.drain(dispatcher.nowMicros() - IDLE_CLOSE_DELAY_MICROS, () -> { });
            dispatcher.deadlines.runDue();
        });
        assertEquals(1, dispatcher.clientConnections(), "the connection stays open until its input is read");
        assertTrue(client.isClosedByServer(), "closed with FIN, not reset");
        assertFalse(dispatcher.hasRequest(), "input after the close is not taken as a request");
        assertEquals(1, dispatcher.metrics.get(Count.REQS_TAKEN));
        // The FIN goes out before the input is read.
        Await.until("the counted close", () -> dispatcher.counterValue(Count.CLIENT_CLOSES_CROSSED) == 1);
    }

    /** A handover that closes idle connections at once cuts off clients that are sending their next request just then. */
    @Test void requestOnIdleConnectionIsAnsweredAfterHandover() throws Exception {
        client.send(Client.request("/preview", "5000m", "", ""));
        long firstId = dispatcher.awaitRequest();
        dispatcher.runOnEventLoop(() -> dispatcher.engine.refuse(firstId, 0));
        assertEquals(503, client.read().status());
        dispatcher.runOnEventLoop(dispatcher.frontend::handOver);
        client.send(Client.request("/preview", "5000m", "", ""));
        assertAnsweredWithClose();
    }

    /** SIGTERM right behind a handover must not cut the idle connections off either. */
    @Test void requestOnIdleConnectionIsAnsweredAfterHandoverAndSigterm() throws Exception {
        client.send(Client.request("/preview", "5000m", "", ""));
        long firstId = dispatcher.awaitRequest();
        dispatcher.runOnEventLoop(() -> dispatcher.engine.refuse(firstId, 0));
        assertEquals(503, client.read().status());
        dispatcher.runOnEventLoop(() -> {
            dispatcher.frontend.handOver();
            dispatcher.frontend.drain(dispatcher.nowMicros(), () -> { });
            dispatcher.deadlines.runDue();
        });
        client.send(Client.request("/preview", "5000m", "", ""));
        assertAnsweredWithClose();
    }

    private void assertAnsweredWithClose() throws Exception {
        long requestId = dispatcher.awaitRequest();
        dispatcher.runOnEventLoop(() -> dispatcher.engine.refuse(requestId, 0));
        Client.Response response = client.read();
        assertEquals(503, response.status());
        assertEquals("close", response.header("Connection"));
        assertTrue(client.isClosedByServer(), "closed with FIN, not reset");
    }

    /**
     * A client that waits for its held request closes, half-closes or resets the connection. In each case the request is not
     * sent, and its id, its place among the client connections and its deadline are free again.
     */
    @Test void disconnectOfWaitingClientReleasesItsRequest() throws Exception {
        Client closingClient = dispatcher.client();
        try (Client halfClosingClient = dispatcher.client(); Client resettingClient = dispatcher.client()) {
            for (Client waiting : List.of(closingClient, halfClosingClient, resettingClient)) {
                waiting.send(Client.request("/preview", "5000m", "", ""));
                dispatcher.awaitRequest();
            }
            closingClient.close();
            halfClosingClient.halfClose();
            resettingClient.reset();
            Await.until("all clients are counted as gone", () -> dispatcher.counterValue(Count.CLIENTS_GONE) == 3);
            dispatcher.runOnEventLoop(() -> {
                assertEquals(List.of("gone", "gone", "gone"), dispatcher.policyEvents);
                assertEquals(0, dispatcher.engine.openRequestCount());
            });
            Await.until("the other connections are closed", () -> dispatcher.clientConnections() == 1);
            assertEquals(0, dispatcher.counterValue(Count.FETCHES_SENT));
            assertNull(backend.poll());
        }
    }

    /** The event loop is blocked, so it reads a request and the close of its client in one round, the request first. */
    @Test void doesNotSendRequestOfClientThatLeftBeforeItWasRead() throws Exception {
        openIdleConnections(1, backend, 1);
        dispatcher.sendToBackendId = 1;
        dispatcher.runOnEventLoop(() -> {
            client.send(Client.request("/preview", "5000m", "", ""));
            client.closeAndAwaitFin();
        });
        Await.until("the connection is closed", () -> dispatcher.clientConnections() == 0);
        assertEquals(1, dispatcher.counterValue(Count.FETCHES_WRITTEN), "the request that opened the connection");
        assertNull(backend.poll(), "the client had left when its request was read");
    }

    /** Opens idle connections to a backend, so that later requests to it are written without waiting for a connection. */
    private void openIdleConnections(long backendId, FakeServer receiver, int count) throws Exception {
        dispatcher.sendToBackendId = backendId;
        List<Client> clients = new ArrayList<>();
        List<FakeServer.Exchange> exchanges = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            clients.add(dispatcher.client().send(Client.request("/preview", "5000m", "", "")));
            exchanges.add(receiver.take());
        }
        for (FakeServer.Exchange exchange : exchanges) {
            exchange.sendResult("x");
        }
        for (Client idle : clients) {
            assertEquals(200, idle.read().status());
            idle.close();
        }
        Await.until("the other connections are closed", () -> dispatcher.clientConnections() <= 1);
    }

    /**
     * At the connection limit new clients wait to be accepted. The close of such a client may be read after its request, so the
     * request is held for a short time before it is sent.
     */
    @Test void delaysRequestsOfLateAcceptedClientsToDetectDisconnect() throws Exception {
        openIdleConnections(1, backend, 1);
        List<Client> otherClients = new ArrayList<>();
        for (int i = 0; i < InProcessDispatcher.MAX_CLIENTS; i++) {
            otherClients.add(dispatcher.client());
        }
        Await.until("the connection limit is reached",
            () -> dispatcher.clientConnections() == 1 + InProcessDispatcher.MAX_CLIENTS);
        dispatcher.runOnEventLoop(() -> dispatcher.setClockStopped(true));
        long connectionsBefore = dispatcher.counterValue(Count.CLIENT_CONNECTIONS);
        Client leaving = dispatcher.client();
        try (Client staying = dispatcher.client()) {
            Await.until("both are accepted", () -> dispatcher.counterValue(Count.CLIENT_CONNECTIONS) == connectionsBefore + 2);
            leaving.send(Client.request("/preview", "5000m", "", ""));
            staying.send(Client.request("/preview", "5000m", "", ""));
            dispatcher.runOnEventLoop(() -> { });  // one round of the event loop, in which the requests are read
            dispatcher.runOnEventLoop(() -> { });
            long connectionsWithLeaving = dispatcher.clientConnections();
            leaving.close();
            Await.until("the connection is closed", () -> dispatcher.clientConnections() < connectionsWithLeaving);
            dispatcher.runOnEventLoop(() -> dispatcher.setClockStopped(false));
            dispatcher.awaitRequest();    // the request that opened the connection
            dispatcher.awaitRequest();
            backend.take();
            assertNull(backend.poll(), "only the request of the client that stayed is sent");
            assertEquals(2, dispatcher.counterValue(Count.FETCHES_WRITTEN),
                "the request that opened the connection and that of the client that stayed");
        }
        for (Client otherClient : otherClients) {
            otherClient.close();
        }
    }

    /**
     * While the event loop is blocked, the client's timeout runs from the arrival of its last byte, not from the time when that
     * is read.
     */
    @Test void deadlineCountsFromArrivalOfRequest() throws Exception {
        dispatcher.runOnEventLoop(() -> {
            dispatcher.deadlines.scheduleAfter(0, () -> { });
            client.send(Client.request("/preview", "2000m", "", ""));
            TimeUnit.MILLISECONDS.sleep(400);   // how long the event loop is blocked
        });
        dispatcher.awaitRequest();
        long[] remainingMicros = new long[1];
        dispatcher.runOnEventLoop(() -> remainingMicros[0] = dispatcher.lastRemainingMicros());
        assertTrue(remainingMicros[0] < 1_650_000, "0.4 s of 2 s have passed, but " + remainingMicros[0] + " us are left");
    }

    /** SIGKILL is timed from SIGTERM, so a process that handles the signal late has less time for its final answers. */
    @Test void finalAnswersAreTimedFromSignalEvenIfHandledLate() throws Exception {
        client.send(Client.request("/preview", "5000m", "", ""));
        dispatcher.awaitRequest();
        long[] signalMicros = new long[1];
        dispatcher.runOnEventLoop(() -> {
            signalMicros[0] = dispatcher.nowMicros() - 3_000_000;
            dispatcher.frontend.drain(signalMicros[0], () -> { });
        });
        assertEquals(503, client.read().status());
        long answeredAfterMicros = dispatcher.exitAnswerTimesMicros.get(0) - signalMicros[0];
        assertTrue(answeredAfterMicros < 3_400_000,
            "answered " + answeredAfterMicros + " us after SIGTERM; SIGKILL follows after 3,700,000 us");
    }

    /** The policy does not answer an open request before the process exits, so the engine fails it. */
    @Test void failsRequestsThatPolicyLeavesOpenAtShutdown() throws Exception {
        dispatcher.refusesBeforeExit = false;
        client.send(Client.request("/preview", "5000m", "", ""));
        dispatcher.awaitRequest();
        long[] drainStartMicros = new long[1];
        dispatcher.runOnEventLoop(() -> {
            drainStartMicros[0] = dispatcher.nowMicros();
            dispatcher.frontend.drain(drainStartMicros[0] - 3_300_000, () -> { });
        });
        assertEquals(504, client.read().status());
        dispatcher.runOnEventLoop(() -> assertTrue(dispatcher.nowMicros() - drainStartMicros[0] < 2_000_000,
            "failed at shutdown, not at the client's timeout"));
    }

    /** Two complete requests are on one connection when the shutdown begins: both are answered. */
    @Test void answersPipelinedRequestAtShutdown() throws Exception {
        client.send(Client.request("/preview", "5000m", "", "") + Client.request("/preview", "5000m", "", ""));
        long firstId = dispatcher.awaitRequest();
        dispatcher.runOnEventLoop(() -> {
            dispatcher.frontend.drain(dispatcher.nowMicros(), () -> { });
            dispatcher.engine.refuse(firstId, 0);
        });
        long secondId = dispatcher.awaitRequest();
        dispatcher.runOnEventLoop(() -> dispatcher.engine.refuse(secondId, 0));
        assertEquals(503, client.read().status());
        assertEquals(503, client.read().status());
        assertTrue(client.isClosedByServer());
    }

    /**
     * A client whose request is incomplete is evicted. It gets an answer, because the rest of its request may be on the way
     * already.
     */
    @Test void answersEvictedClientThatSentHalfARequest() throws Exception {
        client.send("POST /preview HTTP/1.1\r\nHost: x\r\n");
        List<Client> otherClients = new ArrayList<>();
        Await.until("an eviction", () -> {
            Client next = dispatcher.client();
            otherClients.add(next);
            next.send(Client.request("/preview", "5000m", "", ""));
            return dispatcher.counterValue(Count.CLIENT_CONNECTIONS_EVICTED) > 0;
        });
        assertEquals(503, client.read().status());
        for (Client otherClient : otherClients) {
            otherClient.close();
        }
    }

    /**
     * A backend's rejection and the close of the client are read in the same round: whichever comes first, no second attempt
     * begins.
     */
    @Test void doesNotRetryForClientThatLeftBeforeOutcomeWasRead() throws Exception {
        FakeServer otherBackend = new FakeServer();
        List<Client> clients = new ArrayList<>();
        List<FakeServer.Exchange> exchanges = new ArrayList<>();
        dispatcher.runOnEventLoop(() -> dispatcher.backendClient.setAddress(2, addressOf(otherBackend)));
        openIdleConnections(2, otherBackend, 8);
        long writtenBefore = dispatcher.counterValue(Count.FETCHES_WRITTEN);
        dispatcher.sendToBackendId = 1;
        dispatcher.retryBackendId = () -> 2L;
        for (int i = 0; i < 8; i++) {
            Client next = dispatcher.client();
            clients.add(next.send(Client.request("/preview", "5000m", "", "")));
            exchanges.add(backend.take());
        }
        dispatcher.runOnEventLoop(() -> {
            for (int i = 0; i < exchanges.size(); i++) {
                exchanges.get(i).reply("503 Service Unavailable\r\nX-Not-Processed: 1", "");
                clients.get(i).closeAndAwaitFin();
            }
        });
        Await.until("the other connections are closed", () -> dispatcher.clientConnections() == 1);
        assertEquals(writtenBefore + exchanges.size(), dispatcher.counterValue(Count.FETCHES_WRITTEN));
        assertNull(otherBackend.poll(), "no retry for a client that has left");
        otherBackend.close();
    }

    /** The connection to a backend is established in the same round of the event loop in which the client's close is read. */
    @Test void doesNotSendForClientThatLeftBeforeConnectionWasUp() throws Exception {
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            clients.add(dispatcher.client());
        }
        Await.until("all are accepted", () -> dispatcher.clientConnections() == 1 + clients.size());
        AtomicInteger requestCount = new AtomicInteger();
        AtomicInteger connectionCount = new AtomicInteger();
        dispatcher.sendToBackendId = 1;
        dispatcher.onRequestReceived = () -> {
            if (requestCount.incrementAndGet() == clients.size()) {
                // Runs after the tasks that begin the attempts and before the next round of input.
                dispatcher.runAfterTasks(3, () -> {
                    connectionCount.set((int) dispatcher.backendConnectionsOnEventLoop());
                    for (Client leaving : clients) {
                        leaving.closeAndAwaitFin();
                    }
                });
            }
        };
        dispatcher.runOnEventLoop(() -> {
            for (Client leaving : clients) {
                leaving.send(Client.request("/preview", "5000m", "", ""));
            }
        });
        Await.until("the other connections are closed", () -> dispatcher.clientConnections() == 1);
        assertEquals(clients.size(), connectionCount.get(), "all attempts had begun");
        assertEquals(0, dispatcher.counterValue(Count.FETCHES_WRITTEN));
        assertNull(backend.poll(), "the client had left when the connection was established");
    }

    /**
     * The client leaves before the connection to the backend is established: nothing is written, so nothing has to be cancelled
     * there.
     */
    @Test void doesNotWriteCancelledAttemptOnceConnectionIsUp() throws Exception {
        dispatcher.sendToBackendId = 1;
        dispatcher.runOnEventLoop(() -> dispatcher.engine.clientDisconnected(dispatcher.submitWithoutClient()));
        Await.until("the connection is closed", () -> dispatcher.backendConnections() == 0);
        assertEquals(List.of("MOOT settled"), dispatcher.policyEvents.subList(0, 1));
        assertEquals(0, dispatcher.metrics.get(Count.FETCHES_WRITTEN));
        assertNull(backend.poll());
    }

    /**
     * A backend drains, leaves the list or changes its address while the connection to it is being established. From 0.75 s
     * after that it must get no new request, so the unsent attempt goes to another backend.
     */
    @Test void movesUnsentAttemptWhenBackendDrainsLeavesOrMoves() throws Exception {
        FakeServer otherBackend = new FakeServer();
        dispatcher.sendToBackendId = 1;
        dispatcher.runOnEventLoop(() -> {
            dispatcher.backendClient.setAddress(2, addressOf(otherBackend));
            dispatcher.submitWithoutClient();
            dispatcher.sendToBackendId = 2;
            dispatcher.backendClient.withdrawUnsentAttempts(1);
        });
        assertEquals("POST /preview HTTP/1.1", otherBackend.take().head.lines().findFirst().orElseThrow());
        dispatcher.sendToBackendId = 2;
        dispatcher.runOnEventLoop(() -> {
            dispatcher.submitWithoutClient();
            dispatcher.sendToBackendId = 3;
            dispatcher.backendClient.setAddress(3, addressOf(otherBackend));
            dispatcher.backendClient.removeBackend(2);
        });
        otherBackend.take();
        dispatcher.runOnEventLoop(() -> {
            dispatcher.sendToBackendId = 1;
            dispatcher.submitWithoutClient();
            dispatcher.backendClient.setAddress(1, addressOf(otherBackend));
        });
        otherBackend.take();
        assertNull(backend.poll(), "nothing is written to a backend that drained, left or moved");
        otherBackend.close();
    }

    /**
     * The end of the rejecting response never comes. The retry must not go out while the connection of the rejected attempt
     * is still open.
     */
    @Test void closesConnectionOfRejectedAttemptBeforeRetry() throws Exception {
        FakeServer otherBackend = new FakeServer();
        List<Long> connectionsAtRetry = new ArrayList<>();
        dispatcher.sendToBackendId = 1;
        dispatcher.retryBackendId = () -> {
            connectionsAtRetry.add(dispatcher.backendConnectionsOnEventLoop());
            return 2L;
        };
        dispatcher.runOnEventLoop(() -> dispatcher.backendClient.setAddress(2, addressOf(otherBackend)));
        dispatcher.runOnEventLoop(dispatcher::submitWithoutClient);
        backend.take().send("HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 9\r\n\r\nnot");
        otherBackend.take().sendResult("r");
        dispatcher.runOnEventLoop(dispatcher::submitWithoutClient);
        backend.take().sendStarted().sendLine("returned", "");
        otherBackend.take().sendResult("r");
        dispatcher.runOnEventLoop(() -> assertEquals(List.of(0L, 1L), connectionsAtRetry,
            "only the idle connection to the other backend is open"));
        otherBackend.close();
    }

    /**
     * Guards against a request that is refused while a backend runs it: a backend gives the answer by which it turns an attempt
     * away a second time, late. The next attempt has the same id, so on the same connection that would be taken for its answer.
     */
    @Test void lateSecondRejectionDoesNotEndNextAttempt() throws Exception {
        dispatcher.sendToBackendId = 1;
        dispatcher.retryBackendId = () -> 1L;
        dispatcher.runOnEventLoop(dispatcher::submitWithoutClient);
        FakeServer.Exchange rejected = backend.take();
        String rejection = rejected.responseWithLine("returned");
        rejected.send(rejection);
        FakeServer.Exchange retried = backend.take();
        retried.sendStarted();
        rejected.send(rejection);
        retried.sendLine("done", ",\"result\":\"r\"").endResponse();
        Await.until("the retry is served", () -> dispatcher.hasPolicyEvent("SERVED settled"));
        dispatcher.runOnEventLoop(() -> assertEquals(List.of("REJECTED", "SERVED settled"), dispatcher.policyEvents));
    }

    /**
     * A backend might send a second response after a failed probe. It has no id, so on a connection that stayed in use it would
     * be taken for the response to the next request there.
     */
    @Test void closesConnectionAfterFailedProbe() throws Exception {
        dispatcher.runOnEventLoop(() -> dispatcher.backendClient.probe(1));
        FakeServer.Exchange probe = backend.take();
        probe.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        assertTrue(probe.isClosedByClient());
        dispatcher.sendToBackendId = 1;
        dispatcher.runOnEventLoop(dispatcher::submitWithoutClient);
        backend.take().sendResult("r");
        Await.until("the request is served", () -> dispatcher.hasPolicyEvent("SERVED settled"));
    }

    /**
     * An exception while a list is applied must be reported as a failure and followed by another call. Otherwise the backend
     * list would never be watched again.
     */
    @Test void requestsListAgainAfterExceptionWhileApplyingIt() throws Exception {
        FakeServer agent = new FakeServer();
        AtomicInteger appliedLists = new AtomicInteger();
        DiscoveryClient discovery = new DiscoveryClient(dispatcher.eventLoop, dispatcher.deadlines, dispatcher.clock,
            dispatcher.metrics, dispatcher.engine, dispatcher.backendClient, addressOf(agent),
            BackendListCodec.decode("{\"revision\":4}"), List.of("east"), List.of("k"), (now, update, list, previous) -> {
                if (update != ListUpdate.CACHED && appliedLists.getAndIncrement() == 0) {
                    throw new IllegalStateException("thrown by the test");
                }
                return list;
            }, null, true, 1);
        dispatcher.runOnEventLoop(discovery::start);
        agent.take().reply("200 OK", "{\"revision\":5,\"complete\":false,\"members\":["
            + Program.member("s-1", backend, "east", "SERVING") + "]}");
        agent.take().reply("503 Busy", "");
        FakeServer.Exchange nextWatch = agent.take();
        assertTrue(nextWatch.head.startsWith("GET /v1/servers?since=0&"),
            "the list that was not applied is requested again: " + nextWatch.head);
        nextWatch.reply("200 OK", "{\"revision\":5,\"complete\":true,\"members\":["
            + Program.member("s-1", backend, "east", "SERVING") + "]}");
        Await.until("the list is applied", () -> dispatcher.hasPolicyEvent("FULL 1"));
        assertTrue(dispatcher.hasPolicyEvent("FAILED 0"));
        assertEquals(1, dispatcher.metrics.get(Count.EXCEPTIONS));
        agent.close();
    }

    /**
     * SIGHUP changes the address of discovery when half a list has been read, and twice more while a call fails. The rest of the
     * old response is dropped, and only one call is made.
     */
    @Test void dropsPartialResponseAfterSwitchOfDiscovery() throws Exception {
        FakeServer oldDiscovery = new FakeServer();
        FakeServer newDiscovery = new FakeServer();
        DiscoveryClient discovery = new DiscoveryClient(dispatcher.eventLoop, dispatcher.deadlines, dispatcher.clock,
            dispatcher.metrics, dispatcher.engine, dispatcher.backendClient, addressOf(oldDiscovery),
            BackendListCodec.decode("{\"revision\":4}"), List.of("east"), List.of("k"), null, null, false, 1);
        dispatcher.runOnEventLoop(() -> {
            discovery.start();
            discovery.watch();
        });
        String list = "{\"revision\":5,\"complete\":true,\"members\":[]}";
        FakeServer.Exchange partial = oldDiscovery.take();
        partial.send("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list.substring(0, 20));
        dispatcher.runOnEventLoop(() -> {
            partial.send(list.substring(20));
            discovery.switchTo(addressOf(newDiscovery));
        });
        assertTrue(partial.isClosedByClient());
        FakeServer.Exchange exchange = newDiscovery.take();
        assertTrue(exchange.head.startsWith("GET /v1/servers?since=4&"), exchange.head);
        exchange.reset();
        Await.until("the call has failed", () -> dispatcher.hasPolicyEvent("FAILED 0"));
        dispatcher.runOnEventLoop(() -> {
            discovery.switchTo(addressOf(newDiscovery));
            discovery.switchTo(addressOf(newDiscovery));
        });
        newDiscovery.take().reply("200 OK", list.replace("5", "6"));
        assertTrue(newDiscovery.take().head.startsWith("GET /v1/servers?since=6&"));
        assertNull(newDiscovery.poll(), "one call, even if the address is set several times");
        dispatcher.runOnEventLoop(() -> assertEquals(List.of("CACHED 0", "FAILED 0", "FULL 0"), dispatcher.policyEvents));
        newDiscovery.close();
        oldDiscovery.close();
    }

    /** Sends a request, and so much behind it that it has to be rejected. Returns the engine's id of the request. */
    private long sendTooMuchBehindRequest() throws Exception {
        client.send(Client.request("/preview", "5000m", "", ""));
        long requestId = dispatcher.awaitRequest();
        Thread sender = new Thread(() -> {
            try {
                client.send(Client.request("/preview", "5000m", "", "") + "x".repeat(3 << 20));
            } catch (IOException e) {
                // the program closes the connection
            }
        });
        sender.setDaemon(true);
        sender.start();
        Await.until("too much has been read", () -> dispatcher.counterValue(Count.BAD_MESSAGES) == 1);
        return requestId;
    }

    /** A client may send only so many bytes before its earlier request is answered; beyond the limit it gets a 413. */
    @Test void answers413WhenTooMuchIsPipelined() throws Exception {
        sendTooMuchBehindRequest();
        assertEquals(413, client.read().status());
        assertTrue(dispatcher.hasPolicyEvent("gone"), "the open request has ended as well");
        Await.until("the connection is closed", () -> dispatcher.clientConnections() == 0);
    }

    /** Guards against cancelled work: a client that is cut off and comes again kept the backends busy for nothing. */
    @Test void requestAheadOfTooMuchInputIsAnsweredBeforeIts413() throws Exception {
        long requestId = sendTooMuchBehindRequest();
        dispatcher.runOnEventLoop(() -> dispatcher.engine.refuse(requestId, 0));
        assertEquals(503, client.read().status());
        assertEquals(413, client.read().status());
        assertTrue(client.isClosedByServer());
        assertFalse(dispatcher.hasPolicyEvent("gone"), "the open request has not been given up");
        assertEquals(1, dispatcher.counterValue(Count.BAD_MESSAGES));
        assertEquals(1, dispatcher.counterValue(Count.REQS_TAKEN), "nothing behind it is taken for a request");
    }
}

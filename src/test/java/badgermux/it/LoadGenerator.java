package badgermux.it;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that send requests of the class publish, each one after another on a persistent connection, with their counts. */
final class LoadGenerator implements Closeable {
    /** Requests begun; one that is sent again counts once. */
    final AtomicInteger sent = new AtomicInteger();
    /** Requests answered with status 200. */
    final AtomicInteger served = new AtomicInteger();
    /** Requests without a response to the first sending, as when the program was closing the connection; each is sent again. */
    final AtomicInteger crossedCloses = new AtomicInteger();
    /** Requests that got no response when sent again. */
    final AtomicInteger failed = new AtomicInteger();
    private final AtomicBoolean isEnded = new AtomicBoolean();
    private final Supervisor supervisor;
    private final List<Thread> threads = new ArrayList<>();

    /** Starts the clients, each on a thread of its own. */
    LoadGenerator(Supervisor supervisor, int clientCount) {
        this.supervisor = supervisor;
        for (int i = 0; i < clientCount; i++) {
            Thread thread = new Thread(() -> {
                try {
                    Client client = supervisor.client();
                    while (!isEnded.get()) {
                        sent.incrementAndGet();
                        String request = Client.request("/publish", "5000m",
                            "Idempotency-Key: " + Client.nextRequestId() + "\r\n", "");
                        client = sendWithRetry(client, request);
                    }
                    client.close();
                } catch (IOException e) {
                    // the client stops; its last request stays without a response in the counts
                }
            });
            threads.add(thread);
            thread.start();
        }
    }

    /**
     * Sends a request, and sends it once more on a new connection if it got no response: the protocol allows the program to
     * close a connection that was used before at the moment at which the client sends on it. Returns the connection for the
     * next request.
     */
    private Client sendWithRetry(Client connection, String request) throws IOException {
        Client client = connection;
        for (boolean isFirst = true; ; isFirst = false) {
            try {
                Client.Response response = client.send(request).read();
                served.addAndGet(response.status() == 200 ? 1 : 0);
                if ("close".equals(response.header("Connection"))) {
                    client.close();
                    client = supervisor.client();
                }
                return client;
            } catch (IOException | AssertionError e) {
                (isFirst ? crossedCloses : failed).incrementAndGet();
                client.close();
                client = supervisor.client();
                if (!isFirst) {
                    return client;
                }
            }
        }
    }

    /** Waits until this number of further requests have been answered with status 200. */
    void awaitMoreServed(int count) {
        int servedBefore = served.get();
        Await.until("more served requests", () -> served.get() >= servedBefore + count);
    }

    /** Stops sending and waits until each request is served or failed; times out if one was answered with another status. */
    void endAndAwaitResponses() {
        isEnded.set(true);
        Await.until("responses to all requests", () -> served.get() + failed.get() >= sent.get());
    }

    /** Stops sending and waits until each client has read its last response or timed out. */
    @Override public void close() {
        isEnded.set(true);
        for (Thread thread : threads) {
            try {
                thread.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }
}

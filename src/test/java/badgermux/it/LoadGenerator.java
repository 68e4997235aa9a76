package badgermux.it;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Sends requests of the class publish one after another on persistent connections, and counts them. */
final class LoadGenerator implements Closeable {
    final AtomicInteger sent = new AtomicInteger();
    /** Requests answered 200. */
    final AtomicInteger served = new AtomicInteger();
    /** Requests sent while the program was closing their connection; each is sent again. */
    final AtomicInteger crossedCloses = new AtomicInteger();
    /** Requests that got no response when sent again. */
    final AtomicInteger failed = new AtomicInteger();
    private final AtomicBoolean isEnded = new AtomicBoolean();
    private final Supervisor supervisor;
    private final List<Thread> threads = new ArrayList<>();

    /** Starts the clients, each on a thread of its own. */
    LoadGenerator(Supervisor supervisor, int clients) {
        this.supervisor = supervisor;
        for (int i = 0; i < clients; i++) {
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
                    // the test fails by its counts
                }
            });
            threads.add(thread);
            thread.start();
        }
    }

    /**
     * Sends a request, once more on a new connection if the connection was closed instead of an answer: as the protocol
     * allows, a close may cross a request on a connection that was used before. Returns the connection for the next request.
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

    /** Waits until that many more requests have been answered 200. */
    void awaitMoreServed(int more) {
        int servedBefore = served.get();
        Await.until("more served requests", () -> served.get() >= servedBefore + more);
    }

    /** Stops sending and waits until no request is open. */
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

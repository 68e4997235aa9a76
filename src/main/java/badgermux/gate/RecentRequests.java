package badgermux.gate;

import badgermux.contract.HttpRequest;
import java.util.ArrayDeque;
import java.util.List;

/** The most recently validated requests, bounded in number and in bytes. Requests with large bodies are left out. */
final class RecentRequests {
    static final int MAX_REQUESTS = 200;
    private static final int MAX_BODY_BYTES = 8 << 10;
    private static final int MAX_TOTAL_BYTES = 512 << 10;

    private final ArrayDeque<HttpRequest> requests = new ArrayDeque<>();
    private int totalBytes;

    void add(HttpRequest request) {
        if (request.body().length > MAX_BODY_BYTES) {
            return;
        }
        requests.addLast(request);
        totalBytes += request.body().length;
        while (requests.size() > MAX_REQUESTS || totalBytes > MAX_TOTAL_BYTES) {
            totalBytes -= requests.removeFirst().body().length;
        }
    }

    /** Returns a copy of the requests, oldest first. */
    List<HttpRequest> all() {
        return List.copyOf(requests);
    }
}

package badgermux.gate;

import badgermux.contract.HttpRequest;
import java.util.ArrayDeque;
import java.util.List;

/** The last requests that were judged, bounded in number and bytes. */
final class RecentRequests {
    static final int MAX_REQUESTS = 200;
    private static final int MAX_BODY_BYTES = 8 << 10, MAX_TOTAL_BYTES = 512 << 10;

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

    List<HttpRequest> all() {
        return List.copyOf(requests);
    }
}

package badgermux.gate;

import badgermux.contract.Request;
import java.util.ArrayDeque;
import java.util.List;

/** The last requests that were judged, bounded in number and bytes. */
final class Recent {
    static final int MOST = 200;
    private static final int MAX_BODY = 8 << 10, MAX_BYTES = 512 << 10;

    private final ArrayDeque<Request> requests = new ArrayDeque<>();
    private int bytes;

    void add(Request request) {
        if (request.body().length > MAX_BODY) {
            return;
        }
        requests.addLast(request);
        bytes += request.body().length;
        while (requests.size() > MOST || bytes > MAX_BYTES) {
            bytes -= requests.removeFirst().body().length;
        }
    }

    List<Request> all() {
        return List.copyOf(requests);
    }
}

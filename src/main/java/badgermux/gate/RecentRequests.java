package badgermux.gate;

import badgermux.contract.HttpRequest;
import java.util.ArrayDeque;
import java.util.List;

/** The most recently validated requests, bounded in number and in bytes. Requests with large bodies are left out. */
final class RecentRequests {
    static final int MAX_REQUESTS = 200;
    private static final int MAX_BODY_BYTES = 8 << 10;
    private static final int MAX_TOTAL_BYTES = 512 << 10;

    /** A request, and how many bytes it holds with its head. */
    private record Entry(HttpRequest request, int bytes) { }

    private final ArrayDeque<Entry> entries = new ArrayDeque<>();
    private int totalBytes;

    /** Adds a request, whose head takes {@code headBytes}. */
    void add(HttpRequest request, int headBytes) {
        if (request.body().length > MAX_BODY_BYTES) {
            return;
        }
        Entry entry = new Entry(request, headBytes + request.body().length);
        entries.addLast(entry);
        totalBytes += entry.bytes();
        while (entries.size() > MAX_REQUESTS || totalBytes > MAX_TOTAL_BYTES) {
            totalBytes -= entries.removeFirst().bytes();
        }
    }

    /** Returns a copy of the requests, oldest first. */
    List<HttpRequest> all() {
        return entries.stream().map(Entry::request).toList();
    }
}

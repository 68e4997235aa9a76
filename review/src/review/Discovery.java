package review;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Discovery that is asked, as the protocol page describes it: whole lists, and watches on changes. */
final class Discovery {
    private static final Pattern WATCH = Pattern.compile("\\?since=(\\d+)&timeout_ms=(\\d+) ");

    private record Change(long revision, String id, String member) { }

    private final Map<String, String> members = new LinkedHashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final Listener listener;
    private long revision = 41;
    /** Until when it has too many callers, by System.nanoTime. */
    private long crowdedUntil = System.nanoTime();
    private long queueLimitMillis;

    Discovery() throws IOException {
        listener = new Listener(this::serve);
    }

    String address() {
        return listener.address();
    }

    static String member(String id, String hostPort, String locality, String flavor, int cell, String phase, long upSinceMs) {
        return "{\"id\":\"" + id + "\",\"host_port\":\"" + hostPort + "\",\"locality\":\"" + locality + "\",\"flavor\":\"" + flavor
            + "\",\"cell\":" + cell + ",\"phase\":\"" + phase + "\",\"size\":1.0,\"up_since_ms\":" + upSinceMs + "}";
    }

    /** Puts an entry in force; the watches that wait are answered. */
    synchronized void put(String id, String member) {
        revision++;
        members.put(id, member);
        changes.add(new Change(revision, id, member));
        notifyAll();
    }

    /**
     * Has too many callers for a time: a call waits for its turn, and ends with 503 once it has waited too long.
     *
     * @param limitMillis how long a call may wait
     */
    synchronized void crowd(long millis, long limitMillis) {
        crowdedUntil = System.nanoTime() + millis * 1_000_000;
        queueLimitMillis = limitMillis;
    }

    /** Waits for the turn of a call; returns false if it has waited too long. */
    private boolean awaitTurn() throws InterruptedException {
        long crowdMillis;
        long limitMillis;
        synchronized (this) {
            crowdMillis = (crowdedUntil - System.nanoTime()) / 1_000_000;
            limitMillis = queueLimitMillis;
        }
        if (crowdMillis > 0) {
            Thread.sleep(Math.min(crowdMillis, limitMillis));
        }
        return crowdMillis < limitMillis || crowdMillis <= 0;
    }

    /** Returns the whole list. */
    synchronized String wholeList() {
        return "{\"revision\":" + revision + ",\"complete\":true,\"members\":[" + String.join(",", members.values()) + "]}";
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        for (Http.Message call = Http.read(socket.getInputStream()); call != null; call = Http.read(socket.getInputStream())) {
            Trace.add("discovery: " + call.startLine());
            if (!awaitTurn()) {
                Trace.add("discovery: 503, the call has waited too long");
                socket.getOutputStream().write(Http.bytes("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"));
                continue;
            }
            Matcher watch = WATCH.matcher(call.startLine());
            String list = watch.find() ? awaitChanges(Long.parseLong(watch.group(1)), Long.parseLong(watch.group(2))) : wholeList();
            Trace.add("discovery: 200 " + list.length() + " bytes");
            socket.getOutputStream().write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list));
        }
    }

    private synchronized String awaitChanges(long since, long waitMillis) throws InterruptedException {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        for (long left = waitMillis; revision <= since && left > 0; left = (end - System.nanoTime()) / 1_000_000) {
            wait(left);
        }
        if (since < 41) {
            return wholeList();
        }
        Map<String, String> changed = new LinkedHashMap<>();
        changes.stream().filter(change -> change.revision > since).forEach(change -> changed.put(change.id, change.member));
        return "{\"revision\":" + revision + ",\"complete\":false,\"members\":[" + String.join(",", changed.values()) + "]}";
    }
}

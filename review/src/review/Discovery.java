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

    /** Returns the whole list. */
    synchronized String wholeList() {
        return "{\"revision\":" + revision + ",\"complete\":true,\"members\":[" + String.join(",", members.values()) + "]}";
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        for (Http.Message call = Http.read(socket.getInputStream()); call != null; call = Http.read(socket.getInputStream())) {
            Matcher watch = WATCH.matcher(call.startLine());
            String list = watch.find() ? awaitChanges(Long.parseLong(watch.group(1)), Long.parseLong(watch.group(2))) : wholeList();
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

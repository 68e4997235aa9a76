import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** An operator sets a description at the process that serves, while the next process of an upgrade is on its way. */
public final class Case9 {
    /** Allows widths up to 640 only. */
    private static final String DESCRIPTION = """
        openapi: 3.1.0
        info: {title: previews, version: 1.0.0}
        paths:
          /preview:
            post:
              requestBody:
                required: true
                content:
                  application/json:
                    schema: {type: object, required: [width], properties: {width: {type: integer, maximum: MAX}}}
              responses: {'200': {description: the preview}}
        """;

    public static void main(String[] args) {
        Stand.main(args, Case9::run);
    }

    private static String run(Stand stand) throws Exception {
        List<Stand.Runner> runners = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            runners.add(stand.new Runner("s-" + i, i % 2 == 0 ? "hanoi" : "danang", i % 3 == 0 ? "old-4core" : "new-4core", 4,
                (runner, request, out) -> Stand.sound(new String(request.body).contains(":320}") ? 3_000 : 800, 2_000)
                    .handle(runner, request, out)));
        }
        Stand.Discovery discovery = stand.new Discovery(runners);
        Upgrade upgrade = new Upgrade(stand, discovery, Stand.settings(2));
        String snapshot = stand.tmp.resolve("operators.json").toString();
        int oldPort = Stand.freePort();
        int newPort = Stand.freePort();
        Upgrade.Instance serving = upgrade.new Instance(options(oldPort, snapshot)).awaitReady();
        String first = admin(oldPort, "PUT", "/v1/contracts/previews", "", DESCRIPTION.replace("MAX", "4000"));
        stand.note("description 1 (width up to 4000): " + first.replaceAll("\\s+", " "));
        note(stand, "before", post(stand, upgrade.port, 2_000), runsOfLast(stand));
        Upgrade.Instance next = null;
        // Keeps the first process busy for 3 s, so that the next one does not say yes before the change.
        Stand.start(() -> post(stand, upgrade.port, 320));
        Stand.sleep(100);
        if (stand.trouble) {
            next = upgrade.new Instance(options(newPort, snapshot)).awaitLog("the previous process");
        }
        // The process that serves takes the change, and says that it is kept.
        String second = admin(oldPort, "PUT", "/v1/contracts/previews", "If-Match: *\r\n", DESCRIPTION.replace("MAX", "640"));
        stand.note("description 2 (width up to 640), at the first process: " + second.replaceAll("\\s+", " "));
        stand.note("HEALTH of the next process: " + (next == null ? "-" : next.call("HEALTH")));
        if (!second.startsWith("200") || !second.replace(" ", "").contains("\"kept\":true")) {
            throw new IOException("the change was not taken: " + second);
        }
        if (next != null) {
            next.awaitReady();
            serving.end();
        }
        Stand.sleep(1_000);
        List<String> broken = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            int status = post(stand, upgrade.port, 2_000);
            List<String> runs = runsOfLast(stand);
            note(stand, "after", status, runs);
            if (status == 200 || !runs.isEmpty()) {
                broken.add("a request that description 2 forbids got " + status + " and ran at " + runs);
            }
        }
        stand.note("width 320 gets " + post(stand, upgrade.port, 320));
        int port = next == null ? oldPort : newPort;
        stand.note("what is in force at the process that serves: " + admin(port, "GET", "/v1/contracts", "", "").replaceAll("\\s+", " "));
        // A further change, to another path, and a restart: what was kept before has to be kept still.
        String third = admin(port, "PUT", "/v1/contracts/pages", "", DESCRIPTION.replace("MAX", "900")
            .replace("/preview", "/epaper-page"));
        stand.note("description of another path, at the process that serves: " + third.replaceAll("\\s+", " "));
        (next == null ? serving : next).end();
        int lastPort = Stand.freePort();
        Upgrade.Instance restarted = upgrade.new Instance(options(lastPort, snapshot)).awaitReady();
        Stand.sleep(1_000);
        String kept = admin(lastPort, "GET", "/v1/contracts/previews", "", "");
        stand.note("after a restart, description of previews: " + kept.replaceAll("\\s+", " "));
        if (!kept.contains("640")) {
            broken.add("description 2 is gone after a further change and a restart");
        }
        serving.copyLog();
        if (next != null) {
            next.copyLog();
        }
        restarted.copyLog();
        return broken.isEmpty() ? null : String.join("; ", List.of(broken.get(0), broken.get(broken.size() - 1)));
    }

    private static volatile String lastId;

    private static List<String> runsOfLast(Stand stand) {
        return stand.runs.getOrDefault(lastId, List.of());
    }

    private static void note(Stand stand, String when, int status, List<String> runs) {
        stand.note(when + ": width 2000, request " + lastId + ", status " + status + ", runs " + runs);
    }

    private static String options(int port, String snapshot) {
        return " --admin " + Stand.HOST + ':' + port + " --snapshot " + snapshot;
    }

    /** Returns the status of a request for a preview of this width. */
    private static int post(Stand stand, int port, int width) throws IOException {
        String id = Stand.nextId();
        lastId = id;
        try (Socket socket = Stand.connect(port, 2_000)) {
            socket.setSoTimeout(12_000);
            socket.getOutputStream().write(Stand.request(id, "preview", 10_000, "Content-Type: application/json\r\n",
                "{\"width\":" + width + "}").getBytes());
            Stand.Message answer = Stand.Message.read(Stand.in(socket));
            return answer == null ? 0 : answer.status();
        }
    }

    /** Calls the admin API; returns status and body. */
    static String admin(int port, String method, String path, String headers, String body) throws IOException {
        try (Socket socket = Stand.connect(port, 2_000)) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write((method + ' ' + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + headers
                + "Content-Length: " + body.length() + "\r\n\r\n" + body).getBytes());
            Stand.Message answer = Stand.Message.read(Stand.in(socket));
            return answer == null ? "no answer" : answer.status() + " " + new String(answer.body, StandardCharsets.UTF_8);
        }
    }
}

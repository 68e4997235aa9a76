package badgermux.it;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Has the jar serve some requests and writes which classes that took, for the archive of classes. A list that is not made anew
 * goes stale with each lambda that comes or goes. Classes of the old list that this play does not meet, such as those of
 * an upgrade, stay in it. Argument: the list.
 */
final class Rehearsal {
    private Rehearsal() { }

    public static void main(String[] args) throws IOException, InterruptedException {
        Path list = Path.of(args[0]);
        Path met = Files.createTempFile("classes", ".lst");
        runScenario(met);
        List<String> lines = new ArrayList<>(Files.readAllLines(met));
        Set<String> names = lines.stream().map(Rehearsal::className).collect(Collectors.toSet());
        // What the virtual machine makes up by itself has other names in each run.
        Files.readAllLines(list).stream().map(Rehearsal::className)
            .filter(name -> !name.matches("[@#].*|.*\\$(Proxy|\\$Lambda|MH|DMH).*") && names.add(name)).forEach(lines::add);
        Files.write(list, lines);
    }

    private static String className(String line) {
        return line.split(" ", 2)[0];
    }

    private static void runScenario(Path list) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("rehearsal");
        String settings = Program.SETTINGS.replace("{\"How\":\"silent\",\"Columns\":[]}",
            "{\"How\":\"pull\",\"Columns\":[\"x0\",\"x1\",\"recent_ms\",\"throughput\"]}")
            .replace("\"Ceilings\":{", "\"Ceilings\":{\"Probes\":true,\"ParallelTries\":true,");
        String command = Program.runCommand().replaceAll("-Xshare:\\S+ -XX:SharedArchiveFile=\\S+",
            "-Xshare:off -XX:DumpLoadedClassList=" + list);
        try (FakeServer one = new FakeServer(); FakeServer two = new FakeServer();
                Program program = Program.startWithConsole(command, folder, Program.member("s-1", one, "east", "SERVING"), 1024, settings)) {
            program.discovery.take().reply("200 OK", "{\"revision\":2,\"complete\":false,\"members\":["
                + Program.member("s-2", two, "west", "SERVING") + "]}");
            program.discovery.take();
            try (Client client = program.client()) {
                client.get("/healthz");
                for (String way : new String[] {"done", "returned", "lost", "failed", "done", "done"}) {
                    client.send(Client.request(way.equals("failed") ? "/pay/x" : "/preview/x", "4000m", "", "b"));
                    respond(one, two, way);
                    client.read();
                }
                client.get("/metrics");
            }
            program.callConsole("HEALTH");
            program.callConsole("DUMP");
            program.process.destroy();
            program.process.waitFor(FakeServer.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    /** Answers all probes, and the first attempt in the given way; an attempt that follows it is served. */
    private static void respond(FakeServer one, FakeServer two, String way) throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakeServer.TIMEOUT_SECONDS);
        boolean first = true;
        while (System.nanoTime() < end) {
            FakeServer.Exchange call = one.poll();
            call = call == null ? two.poll() : call;
            if (call == null) {
                Thread.onSpinWait();
            } else if (call.head.startsWith("GET")) {
                call.reply("200 OK\r\nX-Server-Load: TEXT x0=2", "TEXT x0=2, x1=2, recent_ms=100, throughput=1");
            } else if (first && !way.equals("done")) {
                first = false;
                call.sendStarted().sendLine(way, "").endResponse();
                if (way.equals("failed")) {
                    return;
                }
            } else {
                call.sendResult("r");
                return;
            }
        }
        throw new AssertionError("no fetch came");
    }
}

package badgermux.it;

import static badgermux.it.Program.member;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Restarts of the built program: the next process in the same folder goes on from the learned state of the previous one. */
@Timeout(60)
class LearnedStateIT {
    /**
     * A warm-up of 60 s. A process that does not know what was sent to a cold backend before its own start may send nothing
     * there for the 20 s of FallMs. Both are longer than a test takes.
     */
    static final String COLD_SETTINGS =
        "\"Safety\":{\"ColdMs\":60000,\"ColdShare\":0.5,\"FallMs\":20000,\"FallMultiple\":3},";

    @TempDir private Path folder;

    /** Returns the settings of {@link Program#SETTINGS} with a warm-up. */
    static String settings() {
        return Program.SETTINGS.replace("\"Customers\"", COLD_SETTINGS + "\"Customers\"");
    }

    /** Starts the program with one backend, which, if cold, has been up for 1 s. */
    private Program startProgram(FakeServer backend, boolean cold) throws IOException {
        String member = member("s-1", backend, "east", "SERVING");
        return Program.startInFolder(folder, cold ? member.replace("\"up_since_ms\":0", "\"up_since_ms\":"
            + (System.currentTimeMillis() - 1_000)) : member, settings());
    }

    private static void serveOne(Program program, FakeServer backend) throws IOException, InterruptedException {
        try (Client client = program.client()) {
            client.send(Client.request("/preview", "5000m", "", ""));
            backend.take().sendResult("r");
            assertEquals(200, client.read().status());
        }
    }

    /** Without the run times and recent sends of the previous process, a cold backend would get no request. */
    @Test void usesColdBackendAfterOrderlyRestart() throws IOException, InterruptedException {
        FakeServer backend = new FakeServer();
        try (Program first = startProgram(backend, false)) {
            serveOne(first, backend);
            first.process.toHandle().destroy();
            first.awaitOutput();
        }
        try (Program next = startProgram(backend, true)) {
            serveOne(next, backend);
        }
        backend.close();
    }

    @Test void sendsNothingToColdBackendAfterKill() throws IOException, InterruptedException {
        FakeServer backend = new FakeServer();
        try (Program first = startProgram(backend, false)) {
            serveOne(first, backend);
        }
        // A killed process leaves no file, or one with statistics but without its recent sends.
        try (Program next = startProgram(backend, true); Client client = next.client()) {
            client.send(Client.request("/preview", "1000m", "", ""));
            assertEquals(503, client.read().status());
            assertNull(backend.poll());
        }
        backend.close();
    }

    @Test void toleratesUnreadableFile() throws IOException, InterruptedException {
        Files.createDirectories(folder.resolve("badgermux-n"));
        Files.writeString(folder.resolve("badgermux-n").resolve("learnt"), "{\"of\":");
        assertServesUntilOrderlyExit("Failed to read the learned state of the previous process");
    }

    /** A file has the folder's name, which keeps even root from writing there. */
    @Test void toleratesUnwritableFolder() throws IOException, InterruptedException {
        Files.writeString(folder.resolve("badgermux-n"), "");
        assertServesUntilOrderlyExit("Failed to save the learned state");
    }

    /** The file is a pipe without a reader: writing it blocks and must not delay the exit until the process is killed. */
    @Test void exitsWhileWritingTheFileHangs() throws IOException, InterruptedException {
        Files.createDirectories(folder.resolve("badgermux-n"));
        Path fifo = folder.resolve("badgermux-n").resolve("learnt.new");
        assertEquals(0, new ProcessBuilder("mkfifo", fifo.toString()).start().waitFor());
        FakeServer backend = new FakeServer();
        try (Program program = startProgram(backend, false)) {
            serveOne(program, backend);
            program.process.toHandle().destroy();
            assertTrue(program.process.waitFor(FakeServer.TIMEOUT_SECONDS, TimeUnit.SECONDS), "it exits without a kill");
            assertTrue(program.awaitOutput().contains("badgermux_answers_served 1"));
        }
        Files.delete(fifo);
        backend.close();
    }

    /** Serves a request, ends the program by SIGTERM, and checks its counters and that it has logged this text. */
    private void assertServesUntilOrderlyExit(String logText) throws IOException, InterruptedException {
        FakeServer backend = new FakeServer();
        try (Program program = startProgram(backend, false)) {
            serveOne(program, backend);
            program.process.toHandle().destroy();
            assertTrue(program.awaitOutput().contains("badgermux_answers_served 1"), "it exits without a kill");
            boolean isLogged = program.awaitFullLog().stream().anyMatch(line -> line.contains(logText));
            assertTrue(isLogged, logText);
        }
        backend.close();
    }
}

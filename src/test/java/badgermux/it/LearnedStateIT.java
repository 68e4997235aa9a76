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

/** The real program started again: what was learnt goes on with the next process of the same folder. */
@Timeout(60)
class LearnedStateIT {
    /** For so long nothing may go to a cold runner from a process that does not know what was sent there before. */
    private static final String COLD_SETTINGS = "\"Safety\":{\"ColdMs\":60000,\"ColdShare\":0.5,\"FallMs\":20000,\"FallMultiple\":3},";

    @TempDir private Path folder;

    private static String settings() {
        return Program.SETTINGS.replace("\"Customers\"", COLD_SETTINGS + "\"Customers\"");
    }

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

    /** A dispatcher once knew nothing after its start: no class's run, and so no cold runner had a job from it. */
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
        // Killed, it has kept nothing, or what it had learnt but not what it sent.
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

    /** A file stands where the folder would be made: not even root can write there. */
    @Test void toleratesUnwritableFolder() throws IOException, InterruptedException {
        Files.writeString(folder.resolve("badgermux-n"), "");
        assertServesUntilOrderlyExit("Failed to save the learned state");
    }

    /** A pipe that nobody reads stands where it is written: the end waited for it until it was killed. */
    @Test void exitsWhileWritingTheFileHangs() throws IOException, InterruptedException {
        Files.createDirectories(folder.resolve("badgermux-n"));
        Path fifo = folder.resolve("badgermux-n").resolve("learnt.new");
        assertEquals(0, new ProcessBuilder("mkfifo", fifo.toString()).start().waitFor());
        FakeServer backend = new FakeServer();
        try (Program program = startProgram(backend, false)) {
            serveOne(program, backend);
            program.process.toHandle().destroy();
            assertTrue(program.process.waitFor(FakeServer.TIMEOUT_SECONDS, TimeUnit.SECONDS), "it ends by itself");
            assertTrue(program.awaitOutput().contains("badgermux_answers_served 1"));
        }
        Files.delete(fifo);
        backend.close();
    }

    private void assertServesUntilOrderlyExit(String said) throws IOException, InterruptedException {
        FakeServer backend = new FakeServer();
        try (Program program = startProgram(backend, false)) {
            serveOne(program, backend);
            program.process.toHandle().destroy();
            assertTrue(program.awaitOutput().contains("badgermux_answers_served 1"), "it has ended by itself");
            boolean told = program.awaitFullLog().stream().anyMatch(line -> line.contains(said));
            assertTrue(told, said);
        }
        backend.close();
    }
}

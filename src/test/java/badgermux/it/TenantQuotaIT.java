package badgermux.it;

import static badgermux.it.Program.member;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The real program where tenants share the fleet. */
@Timeout(60)
class TenantQuotaIT {
    @TempDir private Path folder;

    private static String settings() {
        String tenants = "\"OverShareWorth\":0.05,\"Customers\":[{\"Name\":\"desk a\",\"QuotaPerS\":0.1},"
            + "{\"Name\":\"b\",\"QuotaPerS\":0.1}]";
        return Program.SETTINGS.replace("\"Customers\":[]", tenants)
            .replace("\"How\":\"silent\",\"Columns\":[]", "\"How\":\"piggyback\",\"Columns\":[\"x0\"]");
    }

    private static void sendResultWithLoad(FakeServer.Exchange call, int free) throws IOException {
        call.sendStarted().sendLine("done", ",\"result\":\"r\",\"load\":{\"x0\":" + free + "}").endResponse();
    }

    private static String requestOfTenant(String tenant) {
        return Client.request("/preview", "5000m", tenant.isEmpty() ? "" : "X-Tenant-Id: " + tenant + "\r\n", "");
    }

    /** All requests counted for the first tenant: what was beyond its share was held, whoever had sent it. */
    @Test void servesTenantWithinQuotaWhileAnotherExceedsIt() throws IOException, InterruptedException {
        FakeServer backend = new FakeServer();
        try (Program program = new Program(folder, member("s-1", backend, "east", "SERVING"), 1024, settings());
                Client one = program.client(); Client two = program.client(); Client three = program.client();
                Client four = program.client()) {
            for (int i = 0; i < 8; i++) {
                one.send(requestOfTenant("desk a"));
                sendResultWithLoad(backend.take(), 2);
                assertEquals(200, one.read().status());
            }
            two.send(requestOfTenant("b"));
            FakeServer.Exchange running = backend.take().sendStarted();
            one.send(requestOfTenant("desk a"));
            four.send(requestOfTenant(""));
            while (program.counterValue("reqs_taken") < 11) {
                Thread.onSpinWait();
            }
            three.send(requestOfTenant("b"));
            FakeServer.Exchange next = backend.take();
            assertEquals("b", next.header("X-Tenant-Id"), "a is beyond its share, and who names no tenant has none");
            assertNull(backend.poll());
            assertEquals(1, program.counterValue("tenants_unknown"));
            next.sendResult("r");
            running.sendLine("done", ",\"result\":\"r\"").endResponse();
            assertEquals(200, three.read().status());
            assertEquals(200, two.read().status());
            sendResultWithLoad(backend.take(), 2);
            sendResultWithLoad(backend.take(), 2);
            assertEquals(200, one.read().status());
            assertEquals(200, four.read().status());
            three.send(requestOfTenant("b\r\nX-Tenant-Id: desk a"));
            assertTrue(three.read().status() == 400, "two tenants");
        }
        backend.close();
    }
}

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

/** The built program with tenants that share the backends. */
@Timeout(60)
class TenantQuotaIT {
    @TempDir private Path folder;

    private static String settings() {
        String tenants = "\"OverShareWorth\":0.05,\"Customers\":[{\"Name\":\"desk a\",\"QuotaPerS\":0.1},"
            + "{\"Name\":\"b\",\"QuotaPerS\":0.1}]";
        return Program.SETTINGS.replace("\"Customers\":[]", tenants)
            .replace("\"How\":\"silent\",\"Columns\":[]", "\"How\":\"piggyback\",\"Columns\":[\"x0\"]");
    }

    /** Responds with a result and a load report. */
    private static void sendResultWithLoad(FakeServer.Exchange exchange, int freeSlots) throws IOException {
        exchange.sendStarted().sendLine("done", ",\"result\":\"r\",\"load\":{\"x0\":" + freeSlots + "}").endResponse();
    }

    /** Returns the text of a request; without a tenant if the name is empty. */
    private static String requestOfTenant(String tenant) {
        return Client.request("/preview", "5000m", tenant.isEmpty() ? "" : "X-Tenant-Id: " + tenant + "\r\n", "");
    }

    /** Each request counts for its own tenant. If all counted for the first one, requests beyond its quota would be held. */
    @Test void servesTenantWithinQuotaWhileAnotherExceedsIt() throws IOException, InterruptedException {
        FakeServer backend = new FakeServer();
        try (Program program = new Program(folder, member("s-1", backend, "east", "SERVING"), 1024, settings());
                Client clientOfA = program.client(); Client firstClientOfB = program.client();
                Client secondClientOfB = program.client(); Client clientWithoutTenant = program.client()) {
            for (int i = 0; i < 8; i++) {
                clientOfA.send(requestOfTenant("desk a"));
                sendResultWithLoad(backend.take(), 2);
                assertEquals(200, clientOfA.read().status());
            }
            firstClientOfB.send(requestOfTenant("b"));
            FakeServer.Exchange running = backend.take().sendStarted();
            clientOfA.send(requestOfTenant("desk a"));
            clientWithoutTenant.send(requestOfTenant(""));
            while (program.counterValue("reqs_taken") < 11) {
                Thread.onSpinWait();
            }
            secondClientOfB.send(requestOfTenant("b"));
            FakeServer.Exchange next = backend.take();
            assertEquals("b", next.header("X-Tenant-Id"),
                "the first tenant is beyond its quota, and a request without a tenant has none");
            assertNull(backend.poll());
            assertEquals(1, program.counterValue("tenants_unknown"));
            next.sendResult("r");
            running.sendLine("done", ",\"result\":\"r\"").endResponse();
            assertEquals(200, secondClientOfB.read().status());
            assertEquals(200, firstClientOfB.read().status());
            sendResultWithLoad(backend.take(), 2);
            sendResultWithLoad(backend.take(), 2);
            assertEquals(200, clientOfA.read().status());
            assertEquals(200, clientWithoutTenant.read().status());
            secondClientOfB.send(requestOfTenant("b\r\nX-Tenant-Id: desk a"));
            assertTrue(secondClientOfB.read().status() == 400, "a request with two tenants");
        }
        backend.close();
    }
}

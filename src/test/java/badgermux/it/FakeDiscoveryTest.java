package badgermux.it;

import static org.junit.jupiter.api.Assertions.assertThrows;

import badgermux.it.FakeDiscovery.Mode;
import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.junit.jupiter.api.Test;

/** Tests of the stand-in for discovery itself. */
class FakeDiscoveryTest {
    /** Guards against a stand-in that can't listen again, because another process got the port that it had released. */
    @Test void keepsItsPortWhileItRefusesConnections() throws IOException {
        try (FakeDiscovery discovery = new FakeDiscovery(); ServerSocket other = new ServerSocket()) {
            int port = Integer.parseInt(discovery.address().substring(discovery.address().indexOf(':') + 1));
            InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
            discovery.failWith(Mode.REFUSED);
            assertThrows(ConnectException.class, () -> new Socket(address.getAddress(), port).close());
            other.setReuseAddress(false);
            assertThrows(BindException.class, () -> other.bind(address));
            discovery.recover(2, "", false);
            new Socket(address.getAddress(), port).close();
        }
    }
}

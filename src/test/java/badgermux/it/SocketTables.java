package badgermux.it;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/** Reads the state of TCP sockets from the kernel's tables below /proc. */
final class SocketTables {
    private static final List<Path> PROC_TABLES = List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));
    /** TCP state CLOSE_WAIT: the FIN of the other side has arrived, and the socket has not been closed. */
    private static final String CLOSE_WAIT = "08";

    private SocketTables() { }

    /** Whether the socket between these two ports, seen from the local one, is in state CLOSE_WAIT. */
    static boolean isInCloseWait(int localPort, int remotePort) throws IOException {
        for (Path table : PROC_TABLES) {
            for (String line : Files.exists(table) ? Files.readAllLines(table) : List.<String>of()) {
                String[] fields = line.strip().split("\\s+");
                if (fields.length > 3 && fields[1].endsWith(hexPort(localPort)) && fields[2].endsWith(hexPort(remotePort))
                        && fields[3].equals(CLOSE_WAIT)) {
                    return true;
                }
            }
        }
        return false;
    }

    private static String hexPort(int port) {
        return String.format(Locale.ROOT, ":%04X", port);
    }
}

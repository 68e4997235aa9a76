package badgermux.it;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/** What the system's tables say of sockets. */
final class SocketTables {
    private static final List<Path> PROC_TABLES = List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));
    /** The state of a socket whose other side has ended and which has not been closed yet. */
    private static final String CLOSE_WAIT = "08";

    private SocketTables() { }

    /** Whether the socket between a local port and another one has had the other side's end, and is not closed yet. */
    static boolean isInCloseWait(int local, int remote) throws IOException {
        for (Path table : PROC_TABLES) {
            for (String line : Files.exists(table) ? Files.readAllLines(table) : List.<String>of()) {
                String[] fields = line.strip().split("\\s+");
                if (fields.length > 3 && fields[1].endsWith(hexPort(local)) && fields[2].endsWith(hexPort(remote))
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

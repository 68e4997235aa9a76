package badgermux.backend;

import badgermux.core.Deadlines;
import badgermux.http.OutboundConnection;

/** A connection to a backend, in use or idle. */
final class PooledConnection {
    final HttpBackendClient.BackendPool pool;
    OutboundConnection connection;
    /** Closes the connection while it is idle; null before it is first idle. */
    Deadlines.Deadline idleTimeout;

    PooledConnection(HttpBackendClient.BackendPool pool) {
        this.pool = pool;
    }
}

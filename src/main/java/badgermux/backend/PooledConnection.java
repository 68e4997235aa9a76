package badgermux.backend;

import badgermux.core.Deadlines;
import badgermux.http.OutboundConnection;

/** A connection to a backend, in use or idle. */
final class PooledConnection {
    final HttpBackendClient.BackendPool pool;
    OutboundConnection connection;
    /** While it is idle: when it is closed. */
    Deadlines.Deadline idleTimeout;

    PooledConnection(HttpBackendClient.BackendPool backend) {
        this.pool = backend;
    }
}

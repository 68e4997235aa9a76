package badgermux.scale;

/** A worker as the list shows it; it has one port for each region whose dispatchers see it at another one. */
record BackendEntry(String id, int[] ports, String zone, String phase, long upSinceMs) {
    boolean isDeleted() {
        return phase.equals("DELETED");
    }

    BackendEntry withPhase(String other) {
        return new BackendEntry(id, ports, zone, other, upSinceMs);
    }

    String json(int port) {
        return "{\"id\":\"" + id + "\",\"host_port\":\"127.0.0.1:" + ports[port] + "\",\"locality\":\"" + zone
            + "\",\"flavor\":\"" + FleetLayout.KIND + "\",\"cell\":0,\"phase\":\"" + phase + "\",\"size\":1.0,\"up_since_ms\":"
            + upSinceMs + '}';
    }
}

package badgermux.scale;

/** The entry of a backend in the list. It has one port, or one port for each region of dispatchers. */
record BackendEntry(String id, int[] ports, String zone, String phase, long upSinceMs) {
    boolean isDeleted() {
        return phase.equals("DELETED");
    }

    boolean isDraining() {
        return phase.equals("DRAINING");
    }

    boolean isServing() {
        return phase.equals("SERVING");
    }

    /** Returns a copy in another phase. */
    BackendEntry withPhase(String newPhase) {
        return new BackendEntry(id, ports, zone, newPhase, upSinceMs);
    }

    /** Returns the JSON of the entry; {@code port} is an index of {@code ports}. */
    String json(int port) {
        return "{\"id\":\"" + id + "\",\"host_port\":\"127.0.0.1:" + ports[port] + "\",\"locality\":\"" + zone
            + "\",\"flavor\":\"" + FleetLayout.KIND + "\",\"cell\":0,\"phase\":\"" + phase + "\",\"size\":1.0,\"up_since_ms\":"
            + upSinceMs + '}';
    }
}

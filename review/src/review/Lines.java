package review;

/** The parts of a runner's answer to a job. */
final class Lines {
    static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    static final String END = "0\r\n\r\n";
    /** A load report of a runner with free slots. */
    static final String LOAD = "{\"qps\":3.0,\"latency_ms\":250.0,\"inflight\":1,\"x0\":6}";

    private Lines() { }

    /** One line as a chunk; {@code more} holds further members, each with a comma before it. */
    static String line(String id, String from, String state, String more) {
        String line = "{\"id\":\"" + id + "\",\"from\":\"" + from + "\",\"state\":\"" + state + "\"" + more + "}\n";
        return Integer.toHexString(line.length()) + "\r\n" + line + "\r\n";
    }
}

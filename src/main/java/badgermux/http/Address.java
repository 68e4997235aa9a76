package badgermux.http;

import java.net.InetSocketAddress;

/** Parses the addresses in settings and in backend lists. */
public final class Address {
    private Address() { }

    /** Parses host:port, where the host is an IPv4 address or an IPv6 address in brackets; null if the text has another form. */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        String port = text.substring(colon + 1);
        boolean isNumeric = host.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}") || host.matches("\\[[0-9a-fA-F:.]+]");
        if (!isNumeric || !port.matches("[0-9]{1,5}") || Integer.parseInt(port) > 65_535) {
            return null;
        }
        for (String part : host.startsWith("[") ? new String[0] : host.split("\\.")) {
            if (Integer.parseInt(part) > 255) {
                return null;
            }
        }
        return new InetSocketAddress(host, Integer.parseInt(port));
    }

    /** Returns the text of an address that {@link #parse} parses. */
    public static String format(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.indexOf(':') < 0 ? host : '[' + host + ']') + ':' + address.getPort();
    }

    /** Whether two sockets can't listen on these addresses at the same time. */
    public static boolean overlap(InetSocketAddress one, InetSocketAddress other) {
        return one.getPort() == other.getPort() && (one.getAddress().equals(other.getAddress())
            || one.getAddress().isAnyLocalAddress() || other.getAddress().isAnyLocalAddress());
    }
}

package badgermux.http;

import java.net.InetSocketAddress;

/** Addresses as settings and lists write them. */
public final class Address {
    private Address() { }

    /** An address of the form host:port, the host in digits; null where it is none. */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        String port = text.substring(colon + 1);
        boolean numeric = host.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}") || host.matches("\\[[0-9a-fA-F:.]+]");
        if (!numeric || !port.matches("[0-9]{1,5}") || Integer.parseInt(port) > 65_535) {
            return null;
        }
        for (String part : host.startsWith("[") ? new String[0] : host.split("\\.")) {
            if (Integer.parseInt(part) > 255) {
                return null;
            }
        }
        return new InetSocketAddress(host, Integer.parseInt(port));
    }
}

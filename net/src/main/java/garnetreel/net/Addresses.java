package garnetreel.net;

import java.net.Inet6Address;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/** Converts between socket addresses and strings of the form "host:port". */
public final class Addresses {
    private static final int MAX_PORT = 65_535;

    private Addresses() {}

    /**
     * Parses "host:port" or "[IPv6 address]:port", and resolves the host.
     *
     * @throws IllegalArgumentException if the text has neither form, or its port is out of range
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("\"" + text + "\" is not of the form host:port");
        }
        String host = text.substring(0, colon);
        if (host.startsWith("[") && host.endsWith("]")) {
            host = host.substring(1, host.length() - 1);
        } else if (host.indexOf(':') >= 0) {
            throw new IllegalArgumentException("\"" + text + "\" has an IPv6 address without brackets");
        }
        int port;
        try {
            port = Integer.parseInt(text.substring(colon + 1));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("\"" + text + "\" has no valid port number");
        }
        if (port < 0 || port > MAX_PORT) {
            throw new IllegalArgumentException("\"" + text + "\" has a port outside 0 to " + MAX_PORT);
        }
        return new InetSocketAddress(host, port);
    }

    /** Formats an address in the form that {@link #parse} reads, with the IP address if the host is resolved. */
    public static String format(InetSocketAddress address) {
        InetAddress resolved = address.getAddress();
        String host = resolved == null ? address.getHostString() : resolved.getHostAddress();
        return (resolved instanceof Inet6Address ? "[" + host + "]" : host) + ":" + address.getPort();
    }
}

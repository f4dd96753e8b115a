package garnetreel.testbed.client;

import java.util.List;

/**
 * Settings of a scripted NBD client that uses one volume through several gateways. Times are in microseconds.
 *
 * @param name its name in traces
 * @param export the NBD export that it opens
 * @param volume number of the volume behind it
 * @param gateways gateways that it uses, the most used first
 * @param connections total number of connections, assigned to the gateways round robin
 * @param requestsPerSecond mean number of new requests per second
 * @param readShare fraction of the requests that are reads
 * @param flushShare fraction of the other requests that are flushes; the rest are writes
 * @param sizes request sizes in bytes, chosen with equal probability; multiples of a page
 * @param offset byte offset at which its region of the volume begins
 * @param length length of that region in bytes
 * @param deadlines time it waits for the reply to one attempt, and within which it starts further attempts; NBD has no
 *     field for it, so gateways take it from their request classes
 * @param objectives latency objectives of requests, retries included
 * @param maxRetries limit on further attempts after a rejection or a failed read
 * @param meanDisconnectInterval mean time between drops of a connection with requests in flight; 0 for never
 * @param start start of the load, after its first call of {@code handle}
 * @param stop end of the load, after its first call of {@code handle}
 */
public record NbdLoadSettings(
        String name,
        String export,
        long volume,
        List<GatewayAddress> gateways,
        int connections,
        double requestsPerSecond,
        double readShare,
        double flushShare,
        List<Integer> sizes,
        long offset,
        long length,
        Times deadlines,
        Times objectives,
        int maxRetries,
        long meanDisconnectInterval,
        long start,
        long stop) {

    /**
     * A gateway and its NBD address.
     *
     * @param gateway number of the gateway
     */
    public record GatewayAddress(int gateway, String address) {}

    /** A time in microseconds for each kind of request. */
    public record Times(long read, long write, long flush) {
        long of(LoadOperation operation) {
            return switch (operation) {
                case READ, VERIFY -> read;
                case WRITE -> write;
                case FLUSH -> flush;
            };
        }
    }
}

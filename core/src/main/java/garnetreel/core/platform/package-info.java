/**
 * The gateway for the HTTP protocol of the operators' platform, as a state machine without I/O:
 * {@link garnetreel.core.platform.PlatformGateway} takes socket events and the current time, and adds actions to a
 * list. One such call is a turn.
 *
 * <p>{@code ClientConnections} parses requests, one in progress per connection. {@code RequestDecoder} validates each
 * request, and {@code HttpRequestRegistry} keeps it until its final response, which the scheduler decides. Attempts are
 * sent by {@code UpstreamConnectionPool}, after {@code SendGuard} has checked that they may start.
 * {@code DiscoveryClient} maintains the list of endpoints. {@code ResourceLimits} divides the file descriptors and
 * memory of the process among these classes, and {@code GatewayCounters} counts outcomes and violated invariants.
 *
 * <p>All times are in microseconds on the caller's clock. All classes of this package are used by a single thread.
 */
package garnetreel.core.platform;

package garnetreel.core.platform;

import garnetreel.policy.event.EndpointState;

/**
 * One endpoint of the endpoint list. If any component changes, idle connections to the endpoint are closed.
 *
 * @param address the address to connect to
 * @param startedAt start time of the endpoint's process, in microseconds
 * @param up whether it accepts new requests; false while it drains
 */
record UpstreamEndpoint(String address, long startedAt, boolean up) {
    static UpstreamEndpoint of(EndpointListUpdate.Entry entry) {
        boolean up = entry.endpoint().state() == EndpointState.UP;
        return new UpstreamEndpoint(entry.address(), entry.endpoint().startedAt(), up);
    }
}

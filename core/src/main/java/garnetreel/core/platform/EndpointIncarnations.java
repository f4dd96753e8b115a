package garnetreel.core.platform;

import garnetreel.policy.event.EndpointEntry;
import garnetreel.policy.event.EndpointState;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates when the endpoints' processes started, on this process's clock, which counts microseconds since the epoch
 * and never goes back, even if the wall clock is stepped. An incarnation is one run of an endpoint's process. The
 * endpoint list states start times in wall-clock time, which may have been stepped by an hour since, on one machine or
 * on all. Therefore the start of an incarnation is estimated once, when it is first reported:
 *
 * <ul>
 * <li>A start in the future counts as now, since it is safer to treat an endpoint as less warmed up than it is.
 * <li>An incarnation that was not reported before, or is no longer remembered, started no earlier than the time at
 * which the previous list was last known to be current, less the time that discovery may take to report a start.
 * </ul>
 */
final class EndpointIncarnations {
    /** Maximum delay with which discovery reports a start, in microseconds. */
    private static final long MAX_REPORT_DELAY_MICROS = 2_000_000;
    /** Maximum number of endpoints remembered, including removed ones; several times the largest fleet. */
    private static final int MAX_REMEMBERED = 16_384;

    /**
     * The start of one incarnation.
     *
     * @param reportedStart the start as the endpoint list states it; identifies the incarnation
     * @param estimatedStart the start on this process's clock, in microseconds
     */
    private record Start(long reportedStart, long estimatedStart) {}

    /** By endpoint name; the least recently reported endpoint comes first. */
    private final Map<String, Start> starts = new LinkedHashMap<>();

    /**
     * Replaces the start times of an update by estimates on this process's clock.
     *
     * @param now current time on this process's clock, in microseconds
     * @param listCurrentAt time at which the previous list was last known to be current; negative if there was none
     */
    EndpointListUpdate withEstimatedStarts(EndpointListUpdate update, long now, long listCurrentAt) {
        List<EndpointListUpdate.Entry> entries =
                new ArrayList<>(update.entries().size());
        for (EndpointListUpdate.Entry entry : update.entries()) {
            entries.add(new EndpointListUpdate.Entry(
                    entry.address(), withEstimatedStarts(entry.endpoint(), now, listCurrentAt)));
        }
        return new EndpointListUpdate(update.version(), update.complete(), entries);
    }

    private EndpointEntry withEstimatedStarts(EndpointEntry endpoint, long now, long listCurrentAt) {
        if (endpoint.state() == EndpointState.REMOVED) {
            return endpoint;
        }
        String name = endpoint.name();
        long reportedStart = endpoint.startedAt();
        Start start = starts.remove(name);
        if (start == null || start.reportedStart() != reportedStart) {
            start = new Start(reportedStart, estimateStart(reportedStart, now, listCurrentAt));
        }
        starts.put(name, start);
        if (starts.size() > MAX_REMEMBERED) {
            starts.remove(starts.keySet().iterator().next());
        }
        return new EndpointEntry(
                name, endpoint.zone(), endpoint.shard(), endpoint.state(), endpoint.weight(), start.estimatedStart());
    }

    private static long estimateStart(long reportedStart, long now, long listCurrentAt) {
        if (reportedStart <= 0) {
            return 0; // no start time stated: treated as started long ago
        }
        long startedAt = Math.min(reportedStart, now);
        if (listCurrentAt < 0) {
            return startedAt;
        }
        return Math.max(startedAt, Math.min(now, listCurrentAt - MAX_REPORT_DELAY_MICROS));
    }
}

package garnetreel.policy;

import static garnetreel.policy.TestSettings.MILLISECOND;
import static garnetreel.policy.TestSettings.SECOND;

import garnetreel.policy.event.EndpointEntry;
import garnetreel.policy.event.EndpointState;
import garnetreel.policy.event.Outcome;
import java.util.Arrays;
import java.util.SplittableRandom;

/** A simulated endpoint of the golden streams: a few servers with a common queue, and a temporary fault condition. */
final class GoldenEndpoint {
    /** How an endpoint treats the attempts that it receives. */
    enum Condition {
        HEALTHY,
        SLOW,
        UNRESPONSIVE,
        LOSSY,
        UNREACHABLE,
        OVERLOADED_QUEUE,
        RESETTING,
        FAILING,
        NOT_STARTING,
        CANCELLING,
        UNKNOWN_OUTCOME
    }

    /** The outcome of an attempt and its delay after the attempt was sent. */
    record Response(Outcome outcome, long delay) {}

    private static final long MIN_TIMEOUT = 100 * MILLISECOND;
    private static final long TIMEOUT_SPREAD = 4 * SECOND;
    private static final long MIN_FAULT_DELAY = 10 * MILLISECOND;
    private static final long FAULT_DELAY_SPREAD = 300 * MILLISECOND;
    private static final long REJECTION_DELAY = 2 * MILLISECOND;
    private static final int SLOW_FACTOR = 12;
    private static final double LOSS_PROBABILITY = 0.4;
    private static final double FAULT_PROBABILITY = 0.7;
    private static final long QUEUE_LIMIT = 2 * SECOND;

    final String address;
    final String zone;
    int shard;
    EndpointState state = EndpointState.UP;
    long startedAt;
    Condition condition = Condition.HEALTHY;
    long conditionUntil;
    private final long unitTime;
    private final long[] freeAt;

    GoldenEndpoint(String address, String zone, int shard, int servers, long unitTime) {
        this.address = address;
        this.zone = zone;
        this.shard = shard;
        this.unitTime = unitTime;
        this.freeAt = new long[servers];
    }

    EndpointEntry entry() {
        return new EndpointEntry(address, zone, shard, state, 1, startedAt);
    }

    /** Puts the endpoint into a condition until the given time. */
    void setCondition(Condition newCondition, long until) {
        condition = newCondition;
        conditionUntil = until;
    }

    /** Starts a new process, which is unreachable during its start time and then idle and healthy. */
    void restart(long now, long startTime) {
        Arrays.fill(freeAt, now + startTime);
        setCondition(Condition.UNREACHABLE, now + startTime);
    }

    Response respond(long now, double units, SplittableRandom random) {
        if (now >= conditionUntil) {
            condition = Condition.HEALTHY;
        }
        if (state == EndpointState.REMOVED) {
            return new Response(Outcome.CONNECT_FAILED, REJECTION_DELAY);
        }
        boolean faulty = random.nextDouble() < FAULT_PROBABILITY;
        return switch (condition) {
            case UNREACHABLE -> new Response(Outcome.CONNECT_FAILED, REJECTION_DELAY);
            case UNRESPONSIVE -> timeout(random);
            case LOSSY -> random.nextDouble() < LOSS_PROBABILITY ? timeout(random) : served(now, units, 1, random);
            case SLOW -> served(now, units, SLOW_FACTOR, random);
            default -> faulty ? faultResponse(now, units, random) : served(now, units, 1, random);
        };
    }

    private Response faultResponse(long now, double units, SplittableRandom random) {
        return switch (condition) {
            case OVERLOADED_QUEUE -> new Response(Outcome.OVERLOADED, REJECTION_DELAY);
            case RESETTING -> delayed(Outcome.RESET, random);
            case FAILING -> delayed(Outcome.ERROR, random);
            case NOT_STARTING -> new Response(Outcome.NOT_STARTED, REJECTION_DELAY);
            case CANCELLING -> delayed(Outcome.CANCELLED, random);
            case UNKNOWN_OUTCOME -> delayed(Outcome.UNKNOWN, random);
            default -> served(now, units, 1, random);
        };
    }

    private static Response timeout(SplittableRandom random) {
        return new Response(Outcome.TIMEOUT, MIN_TIMEOUT + random.nextLong(TIMEOUT_SPREAD));
    }

    private static Response delayed(Outcome outcome, SplittableRandom random) {
        return new Response(outcome, MIN_FAULT_DELAY + random.nextLong(FAULT_DELAY_SPREAD));
    }

    private Response served(long now, double units, int factor, SplittableRandom random) {
        int server = 0;
        for (int i = 1; i < freeAt.length; i++) {
            server = freeAt[i] < freeAt[server] ? i : server;
        }
        long start = Math.max(now, freeAt[server]);
        if (start - now > QUEUE_LIMIT || state == EndpointState.DRAINING && start > now) {
            return new Response(Outcome.OVERLOADED, REJECTION_DELAY);
        }
        long serviceTime = (long) (unitTime * units * factor * (0.5 + random.nextDouble()));
        freeAt[server] = start + serviceTime;
        return new Response(Outcome.OK, start + serviceTime - now);
    }
}

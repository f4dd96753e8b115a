package garnetreel.policy;

/**
 * How long the endpoint list may still be trusted, and which endpoints may be sent to when it may not.
 *
 * <p>Every change of the list counts as notified at the latest {@link #NOTIFIED_WITHIN} after discovery had it, whether or not
 * this host received it. A list that was current at a time is therefore safe to use for that long. Past it an endpoint needs a
 * lease: an endpoint that took on a request sent at a time was not draining then, since a draining endpoint turns new requests
 * away, so no change of it counts as notified for as long after that time.
 *
 * <p>Until the first {@link Scheduler.ListConfirmed} the program does not say how current its list is, and every list is trusted.
 */
final class ListFreshness {
    /** A change counts as notified so long after discovery had it and could be reached, microseconds. Source: STANDING. */
    static final long NOTIFIED_WITHIN = 6_000_000;
    /** What discovery has to tell counts as notified so long after a change of its address, microseconds. Source: DAYS. */
    static final long NOTIFIED_AFTER_MOVE = 4_000_000;
    /** The process may be held up for so long between reading its clock and writing, microseconds. Source: STANDING. */
    static final long HELD_UP = 150_000;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private boolean tracked;
    private long confirmedAt = NEVER;
    private long movedAt = NEVER;

    /** The list was current at this time. */
    void confirmed(long asOf) {
        tracked = true;
        confirmedAt = Math.max(confirmedAt, asOf);
    }

    /** Discovery has another address as of this time. */
    void moved(long now) {
        movedAt = now;
    }

    /** Until when sends may begin to an endpoint that last took on a request sent at {@code provenAt}. */
    long sendBefore(long provenAt) {
        return tracked ? Math.max(trustedUntil(confirmedAt), trustedUntil(provenAt)) : Long.MAX_VALUE;
    }

    private long trustedUntil(long current) {
        long end = current + NOTIFIED_WITHIN;
        if (current < movedAt) {
            end = Math.min(end, movedAt + NOTIFIED_AFTER_MOVE);
        }
        return end - HELD_UP;
    }

    /** Stands for an endpoint of which nothing is known. */
    static long unproven() {
        return NEVER;
    }
}

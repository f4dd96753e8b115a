package garnetreel.policy.fairqueue;

/** Held request, as fair queueing sees it. */
public interface QueuedRequest {
    /** Flow of the request's volume. */
    VolumeFlow flow();

    /** Sequence number in the order of arrival. */
    long sequence();
}

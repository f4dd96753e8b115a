package garnetreel.policy.event;

/** An event at this gateway; the input of {@link garnetreel.policy.Scheduler#decide}. */
public sealed interface SchedulerEvent
        permits AttemptCompleted,
                DiscoveryAddressChanged,
                DiscoveryObserved,
                EndpointListConfirmed,
                EndpointUpdate,
                GossipReceived,
                HealthCheckCompleted,
                RequestCancelled,
                RequestReceived,
                ResponseStreamStarted,
                TimerExpired {}

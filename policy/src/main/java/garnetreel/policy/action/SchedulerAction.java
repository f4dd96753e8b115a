package garnetreel.policy.action;

/** An action that the embedding program has to execute; the output of {@link garnetreel.policy.Scheduler#decide}. */
public sealed interface SchedulerAction
        permits CancelAttempt,
                CheckHealth,
                CloseIdleConnections,
                FailRequest,
                LogMessage,
                PollEndpoints,
                RejectRequest,
                SendAttempt,
                SetTimer,
                SubscribeEndpoints {}

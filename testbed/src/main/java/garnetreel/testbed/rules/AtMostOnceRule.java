package garnetreel.testbed.rules;

import garnetreel.policy.config.DeduplicationScope;
import garnetreel.policy.config.Idempotency;
import garnetreel.policy.config.RequestClass;
import garnetreel.testbed.trace.TraceEvent;
import garnetreel.testbed.trace.TraceEvent.Kind;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * A request that is not idempotent takes effect at most once: it is not executed twice, not retried where it may
 * already have been executed, and not executed if the client's request was rejected.
 */
final class AtMostOnceRule implements Rule {
    /** Results of a node that prove that an attempt was not executed. */
    private static final Set<String> NOT_EXECUTED_RESULTS = Set.of("full", "moot", "stale");

    /** A part of a client's request; stable although its request id at the gateway may change when extents migrate. */
    private record RequestPart(long tag, long offset) {}

    private record Attempt(GatewayIncarnation gateway, long request, int number) {
        static Attempt of(TraceEvent event) {
            return new Attempt(GatewayIncarnation.of(event), event.request(), event.attempt());
        }
    }

    @Override
    public String name() {
        return "no effect twice";
    }

    @Override
    public void check(Run run, Findings findings) {
        new Check(run, findings).check();
    }

    private static final class Check {
        private final Run run;
        private final Findings findings;
        private final Set<Attempt> provenNotExecuted = new HashSet<>();
        private final Map<String, Integer> nodeIncarnations = new HashMap<>();
        /** Node incarnation that last executed a part: the node's name followed by the number of its incarnation. */
        private final Map<RequestPart, String> lastExecutedBy = new HashMap<>();

        private final Map<Long, TraceEvent> firstExecution = new HashMap<>();
        private final Map<RequestPart, TraceEvent> firstArrival = new HashMap<>();

        Check(Run run, Findings findings) {
            this.run = run;
            this.findings = findings;
        }

        void check() {
            for (TraceEvent event : run.events()) {
                if (event.kind() == Kind.ANSWER && NOT_EXECUTED_RESULTS.contains(event.outcome())) {
                    provenNotExecuted.add(Attempt.of(event));
                }
            }
            for (TraceEvent event : run.events()) {
                if (event.kind() == Kind.START) {
                    nodeIncarnations.merge(event.observer(), 1, Integer::sum);
                }
                RequestClass requestClass =
                        RuleSettings.changesData(event.operation()) ? run.requestClass(event) : null;
                if (requestClass == null || requestClass.idempotency() == Idempotency.IDEMPOTENT) {
                    continue;
                }
                if (event.kind() == Kind.EXECUTE) {
                    checkExecution(event, requestClass);
                } else if (event.kind() == Kind.ARRIVE && !provenNotExecuted.contains(Attempt.of(event))) {
                    checkRetry(event, requestClass);
                }
            }
            run.events().forEach(this::checkRejected);
        }

        private void checkExecution(TraceEvent event, RequestClass requestClass) {
            findings.recordCheck();
            firstExecution.putIfAbsent(event.tag(), event);
            String node = event.observer();
            String before = lastExecutedBy.put(
                    new RequestPart(event.tag(), event.offset()), node + nodeIncarnations.getOrDefault(node, 0));
            // A node that lost a write with an idempotency key in a crash may execute its retry: the first had no
            // effect.
            boolean lost = requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                    && before != null
                    && !before.equals(node + nodeIncarnations.get(node))
                    && before.startsWith(node);
            if (before != null && !lost) {
                findings.recordBreach(event.operation() + " of " + Run.requestName(event) + " at " + event.offset()
                        + " was executed twice at " + node);
            }
        }

        private void checkRetry(TraceEvent event, RequestClass requestClass) {
            TraceEvent first = firstArrival.putIfAbsent(new RequestPart(event.tag(), event.offset()), event);
            if (first == null) {
                return;
            }
            String retry =
                    event.operation() + " of " + Run.requestName(event) + " was retried at " + event.observer() + " ";
            if (requestClass.idempotency() == Idempotency.NON_IDEMPOTENT) {
                findings.recordBreach(retry + "although attempt " + first.attempt() + " may have been executed");
            } else if (run.earliestSendTime(event)
                    > first.time() + requestClass.deduplicationWindow() + run.transit()) {
                findings.recordBreach(retry + (event.time() - first.time())
                        + " us after the first attempt, past the deduplication window");
            }
        }

        private void checkRejected(TraceEvent event) {
            TraceEvent execution = firstExecution.get(event.tag());
            if (event.kind() != Kind.REPLY
                    || !event.outcome().equals("refused")
                    || !RuleSettings.changesData(event.operation())
                    || execution == null) {
                return;
            }
            RequestClass requestClass = run.requestClass(event);
            if (requestClass != null && mustNotExecuteIfRejected(requestClass)) {
                findings.recordBreach(
                        Run.requestName(event) + " was rejected, but was executed at " + execution.observer());
            }
        }

        /**
         * A rejected client may retry with a new request id; unless that is deduplicated, it would be executed twice.
         */
        private static boolean mustNotExecuteIfRejected(RequestClass requestClass) {
            return switch (requestClass.idempotency()) {
                case NON_IDEMPOTENT -> true;
                case IDEMPOTENCY_KEY -> requestClass.deduplicationScope() != DeduplicationScope.ALL;
                case IDEMPOTENT -> false;
            };
        }
    }
}

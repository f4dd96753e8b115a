package garnetreel.policy.config;

/**
 * Service objectives and retry rules that a set of requests has in common. The value of a response is the relative
 * weight that the service gives to it. The fair-queue scheduler neither computes values nor reads
 * {@code latencyObjectiveStretch}, {@code timeLimit}, {@code lateCredit}, {@code streaming}, {@code priorityWeight} or
 * {@code writes}.
 *
 * @param name name of the class
 * @param latencyObjective response time up to which a response has its full value
 * @param latencyObjectiveStretch multiple of a request's own service time by which its objective is extended; 0 for
 *     none
 * @param timeLimit maximum time from the receipt of a request to its deadline: the total time that a client waits,
 *     including its retries
 * @param idempotency whether a retry is allowed once an attempt may have been executed
 * @param deduplicationScope endpoints that recognize duplicates of each other's requests
 * @param lateCredit fraction of its value that a response past the objective has
 * @param streaming whether responses are streamed
 * @param deduplicationWindow how long endpoints remember an idempotency key, from the first attempt that may have been
 *     executed
 * @param priorityWeight value of a response within the objective
 * @param ordered whether requests with the same key are executed in the order received
 * @param writes whether its requests change data
 */
public record RequestClass(
        String name,
        long latencyObjective,
        double latencyObjectiveStretch,
        long timeLimit,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        double lateCredit,
        boolean streaming,
        long deduplicationWindow,
        double priorityWeight,
        boolean ordered,
        boolean writes) {}

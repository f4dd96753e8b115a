package garnetreel.testbed.scenario;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Scheduled steps of a scenario, run in order of time; steps at the same time run in the order of scheduling. */
final class Timeline {
    private record Step(long time, long order, Runnable action) {}

    private final PriorityQueue<Step> steps =
            new PriorityQueue<>(Comparator.comparingLong(Step::time).thenComparingLong(Step::order));
    private long lastOrder;

    void schedule(long time, Runnable action) {
        steps.add(new Step(time, ++lastOrder, action));
    }

    /** Runs all steps, including those scheduled by other steps. */
    void run(ScenarioEnvironment environment) {
        while (!steps.isEmpty()) {
            Step step = steps.poll();
            environment.advance(step.time());
            step.action().run();
        }
    }
}

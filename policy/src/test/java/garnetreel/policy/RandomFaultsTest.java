package garnetreel.policy;

import static garnetreel.policy.TestSettings.MILLISECOND;

import garnetreel.policy.event.EndpointState;
import garnetreel.policy.event.EndpointUpdateKind;
import garnetreel.policy.event.Outcome;
import garnetreel.policy.event.RequestReceived;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Feeds the scheduler random faults of every kind. */
class RandomFaultsTest {
    /** No exception is thrown, no rule is violated, every request is answered, and every module stays consistent. */
    @Test
    void randomFaultsViolateNoRule() {
        for (int seed = 0; seed < 40; seed++) {
            Random random = new Random(seed);
            SchedulerHarness harness = SchedulerHarness.withEndpoints(3);
            List<Long> ids = new ArrayList<>();
            String[] classNames = {"read", "once", "ordered", "unknown"};
            String[] plans = {"free", "heavy", "capped", "unknown"};
            for (int step = 0; step < 1500; step++) {
                if (random.nextInt(3) > 0) {
                    int plan = random.nextInt(20) == 0 ? 3 : random.nextInt(3);
                    RequestReceived received = harness.newRequest(
                            classNames[random.nextInt(20) == 0 ? 3 : random.nextInt(3)],
                            plans[plan],
                            10 * plan + random.nextInt(3),
                            1 + random.nextInt(8),
                            random.nextInt(20) == 0 ? -1 : random.nextInt(4),
                            random.nextInt(6) - 1);
                    harness.decide(received);
                    ids.add(received.id());
                }
                for (long id : List.copyOf(ids)) {
                    if (harness.isInFlight(id) && random.nextInt(4) == 0) {
                        Outcome[] outcomes = Outcome.values();
                        harness.complete(
                                id, random.nextInt(3) == 0 ? outcomes[random.nextInt(outcomes.length)] : Outcome.OK);
                    } else if (harness.hasEnded(id) && !harness.isInFlight(id)) {
                        ids.remove(id);
                    }
                }
                if (random.nextInt(100) == 0) {
                    int number = random.nextInt(3);
                    harness.updateEndpoints(
                            EndpointUpdateKind.DELTA,
                            TestSettings.entry(
                                    "n" + number,
                                    number,
                                    EndpointState.values()[random.nextInt(3)],
                                    random.nextBoolean() ? harness.now : 0));
                }
                harness.advance(random.nextInt(30) * MILLISECOND);
            }
            for (int round = 0; round < 40; round++) {
                harness.advance(100 * MILLISECOND);
            }
            harness.assertAllAnswered();
        }
    }
}

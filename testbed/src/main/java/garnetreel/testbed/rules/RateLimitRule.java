package garnetreel.testbed.rules;

import garnetreel.policy.config.Plan;
import garnetreel.testbed.trace.TraceEvent;
import garnetreel.testbed.trace.TraceEvent.Kind;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** No volume exceeds the rate and burst of its plan by more than the plan's slack. */
final class RateLimitRule implements Rule {
    private record RequestId(GatewayIncarnation gateway, long request) {}

    /** The first attempt at a request, which draws its units from the volume's token bucket. */
    private record Draw(long time, TraceEvent event) {}

    private static final class Bucket {
        private final Plan plan;
        private double level;
        private long filledAt;

        Bucket(Plan plan, long now) {
            this.plan = plan;
            this.level = plan.burst();
            this.filledAt = now;
        }

        void draw(int units, long now) {
            level = Math.min(plan.burst(), level + plan.rateLimit() * (now - filledAt) / 1e6);
            filledAt = now;
            level -= units;
        }
    }

    @Override
    public String name() {
        return "limits kept";
    }

    @Override
    public void check(Run run, Findings findings) {
        Map<Long, Bucket> buckets = new HashMap<>();
        for (Draw draw : draws(run)) {
            TraceEvent event = draw.event();
            Plan plan = run.plan(event);
            Bucket bucket = buckets.computeIfAbsent(event.volume(), any -> new Bucket(plan, draw.time()));
            bucket.draw(event.units(), draw.time());
            findings.recordCheck();
            double slack = plan.slack() + plan.rateLimit() * run.transit() / 1e6;
            if (bucket.level < -slack) {
                findings.recordBreach("volume " + event.volume() + " is " + (long) -bucket.level
                        + " units over its limit; " + (long) slack + " are allowed");
                bucket.level = -slack; // counts an excess once, not again for each request that follows
            }
        }
    }

    private static List<Draw> draws(Run run) {
        Set<RequestId> drawn = new HashSet<>();
        List<Draw> draws = new ArrayList<>();
        for (TraceEvent event : run.events()) {
            Plan plan = event.kind() == Kind.ARRIVE ? run.plan(event) : null;
            boolean limited = plan != null && plan.rateLimit() > 0;
            if (limited && drawn.add(new RequestId(GatewayIncarnation.of(event), event.request()))) {
                draws.add(new Draw(run.earliestSendTime(event), event));
            }
        }
        draws.sort(Comparator.comparingLong(Draw::time));
        return draws;
    }
}

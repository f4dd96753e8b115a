package garnetreel.core.request;

import static garnetreel.core.request.RequestFixtures.DEADLINE;
import static garnetreel.core.request.RequestFixtures.operation;
import static garnetreel.core.request.RequestFixtures.subRequest;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.codec.node.NodeMessage.Op;
import garnetreel.policy.config.Idempotency;
import garnetreel.policy.event.Outcome;
import garnetreel.policy.event.RequestCancelled;
import garnetreel.policy.event.RequestReceived;
import garnetreel.policy.event.SchedulerEvent;
import java.util.List;
import org.junit.jupiter.api.Test;

class SubRequestTableTest {
    private static final long NOW = 1000;

    private final PendingEvents events = new PendingEvents();
    private final SubRequestTable table = new SubRequestTable(events);
    private final BlockOperation ordered = operation(Op.WRITE, 0, 4096, Idempotency.IDEMPOTENCY_KEY, true);

    private SubRequest add(BlockOperation operation, long key) {
        SubRequest added = subRequest(table.nextId(), operation, 0, 10, key);
        table.add(added, NOW);
        return added;
    }

    /** The events since the last call: the id of each received request, the negated id of each cancelled one. */
    private List<Long> drainedIds() {
        return events.takeAll().stream().map(SubRequestTableTest::signedId).toList();
    }

    private static long signedId(SchedulerEvent event) {
        return event instanceof RequestReceived received ? received.id() : -((RequestCancelled) event).id();
    }

    @Test
    void completedSubRequestIsRemovedAfterItsLastAttempt() {
        SubRequest first = add(ordered, 1);
        first.beginAttempt();
        table.complete(first);
        assertSame(first, table.find(1));
        assertEquals(Long.MAX_VALUE, table.earliestDeadline());
        first.endAttempt(Outcome.OK);
        table.removeIfDone(first);
        assertNull(table.find(1));
    }

    @Test
    void reroutedSubRequestAndItsSuccessorsOfTheKeyAreResubmittedInOrder() {
        SubRequest rerouted = add(ordered, 1);
        rerouted.beginAttempt();
        rerouted.endAttempt(Outcome.NOT_STARTED);
        SubRequest successor = add(ordered, 1);
        SubRequest otherKey = add(ordered, 2);
        assertEquals(List.of(1L, 2L, 3L), drainedIds());

        table.withdrawWithSuccessors(rerouted, NOW);
        assertEquals(List.of(-2L), drainedIds());
        assertFalse(otherKey.awaitingRoute);
        assertEquals(NOW + ReroutingQueue.REROUTE_AFTER_MICROS, table.nextReroute());

        SubRequest added = add(ordered, 1);
        assertTrue(added.awaitingRoute);
        assertEquals(List.of(), drainedIds());

        table.reroute(RequestFixtures.fixedRouter());
        assertEquals(List.of(5L, 6L, 7L), drainedIds());
        assertEquals(List.of(5L, 6L, 7L), List.of(rerouted.id, successor.id, added.id));
        assertEquals(3, table.reroutes());
        assertEquals(Long.MAX_VALUE, table.nextReroute());
        assertFalse(rerouted.attempted());
    }

    @Test
    void cancelledSubRequestIsReportedUnlessItAwaitsARoute() {
        SubRequest known = add(ordered, 1);
        SubRequest waiting = add(ordered, 2);
        table.withdrawWithSuccessors(waiting, NOW);
        drainedIds();
        table.cancel(known);
        table.cancel(waiting);
        assertEquals(List.of(-1L), drainedIds());
        table.reroute(RequestFixtures.fixedRouter());
        assertEquals(List.of(), drainedIds());
    }

    @Test
    void earliestDeadlineIgnoresCompletedSubRequests() {
        SubRequest first = add(ordered, 1);
        SubRequest second = add(ordered, 2);
        assertSame(first, table.firstByDeadline());
        table.complete(first);
        assertSame(second, table.firstByDeadline());
        assertEquals(DEADLINE, table.earliestDeadline());
    }

    @Test
    void rerouteIsSafeOnlyIfNoEffectCanBeRepeated() {
        SubRequest keyed = add(ordered, 1);
        keyed.beginAttempt();
        assertFalse(keyed.safeToReroute());
        keyed.endAttempt(Outcome.NOT_STARTED);
        assertTrue(keyed.safeToReroute());
        keyed.beginAttempt();
        keyed.endAttempt(Outcome.TIMEOUT);
        assertFalse(keyed.safeToReroute());

        SubRequest idempotent = add(operation(Op.READ, 0, 10), 1);
        idempotent.beginAttempt();
        idempotent.endAttempt(Outcome.TIMEOUT);
        assertTrue(idempotent.safeToReroute());
    }
}

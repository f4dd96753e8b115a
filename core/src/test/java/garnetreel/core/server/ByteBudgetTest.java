package garnetreel.core.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.core.server.ByteBudget.CapacityListener;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ByteBudgetTest {
    private final ByteBudget budget = new ByteBudget(100);
    private final List<String> notified = new ArrayList<>();
    private final CapacityListener first = () -> notified.add("first");
    private final CapacityListener second = () -> {
        notified.add("second");
        budget.release(-100);
    };
    private final CapacityListener third = () -> notified.add("third");

    @Test
    void requestThatFitsIsReserved() {
        assertTrue(budget.tryReserve(100, false, first));
        assertFalse(budget.tryReserve(1, false, first));
        assertEquals(100, budget.reserved());
    }

    @Test
    void connectionThatHoldsNothingMayExceedTheLimitWhileLessThanTwiceItIsReserved() {
        assertTrue(budget.tryReserve(150, true, first));
        assertTrue(budget.tryReserve(150, true, first));
        assertFalse(budget.tryReserve(1, true, first));
        assertEquals(300, budget.reserved());
    }

    @Test
    void listenersAreNotifiedInOrderWhileThereIsCapacity() {
        budget.release(-100);
        assertFalse(budget.hasCapacity(first));
        assertFalse(budget.hasCapacity(second));
        assertFalse(budget.hasCapacity(third));
        budget.notifyWaiting();
        assertEquals(List.of(), notified);

        budget.release(100);
        budget.notifyWaiting();
        assertEquals(List.of("first", "second"), notified);

        budget.release(100);
        budget.notifyWaiting();
        assertEquals(List.of("first", "second", "third"), notified);
    }

    @Test
    void removedListenerIsNotNotified() {
        budget.release(-100);
        assertFalse(budget.hasCapacity(first));
        budget.removeListener(first);
        budget.release(100);
        budget.notifyWaiting();
        assertEquals(List.of(), notified);
    }
}

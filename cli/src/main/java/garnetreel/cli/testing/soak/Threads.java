package garnetreel.cli.testing.soak;

import java.util.concurrent.locks.LockSupport;

/** Starts and pauses the soak's daemon threads. Those that serve sockets end when these are closed. */
final class Threads {
    private static final int STACK_BYTES = 256 << 10;

    private Threads() {}

    static Thread start(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Sleeps in real time, since the gateways are real processes with no simulated clock. */
    static void pause(long millis) {
        long deadline = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < deadline && !Thread.currentThread().isInterrupted()) {
            LockSupport.parkNanos(deadline - System.nanoTime());
        }
    }

    /** Waits on a monitor that the caller holds. */
    static void await(Object monitor, long millis) {
        try {
            monitor.wait(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

package garnetreel.cli;

import garnetreel.net.EventLoop;

/**
 * Stores the journal of a state machine and drops its named states. The map service keeps all of its state in the journal, and
 * requests the node list at each start instead of caching it.
 */
record JournalOnlyStore(EventLoop.DurableStore journal) implements EventLoop.DurableStore {
    @Override
    public void persist(String name, byte[] data) {
        // named states are not stored
    }

    @Override
    public void append(long seq, byte[] data, Runnable durable) {
        journal.append(seq, data, durable);
    }

    @Override
    public void snapshot(long seq, byte[] data, int retainedRecords) {
        journal.snapshot(seq, data, retainedRecords);
    }
}

package garnetreel.map;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/**
 * Durable description of a migration of one extent from one shard to another.
 *
 * @param id id of the migration, counted from 1
 * @param from shard that holds the extent when the migration begins
 * @param to shard that is to hold the extent
 * @param oldVersion version under which {@code from} holds the extent
 * @param newVersion version under which {@code to} holds the extent; 0 until the switch
 * @param state the last durable state
 */
public record Migration(
        long id, long volume, long extent, int from, int to, long oldVersion, long newVersion, State state) {

    /**
     * Durable states. The steps between them are repeated after a restart. Journals store the code and the operator
     * commands print the label, so neither may change.
     */
    public enum State {
        /** Pages are copied while the old holder serves. A failure restarts the copy or aborts the migration. */
        COPYING(0, "copying"),
        /** The old holder is being fenced and the remaining pages are copied. The fence can still be lifted. */
        FENCING(1, "fencing"),
        /**
         * The map names the new holder. This cannot be undone, as the new holder may have accepted writes from then on
         * and the old one drops its data.
         */
        SWITCHED(2, "switched"),
        /** Being aborted: the old holder is made to serve again, and the new one to drop the pages. */
        ABORTING(3, "aborting"),
        /** Final: the new holder serves. */
        DONE(4, "done"),
        /** Final: the old holder serves. */
        ABORTED(5, "aborted");

        private final int code;
        private final String label;

        State(int code, String label) {
            this.code = code;
            this.label = label;
        }

        /** The state's byte in journals and snapshots. */
        public int code() {
            return code;
        }

        /** The state's name in the replies to operator commands. */
        public String label() {
            return label;
        }

        /** Whether the state is final. */
        public boolean isFinal() {
            return this == DONE || this == ABORTED;
        }

        /**
         * The state with a stored code.
         *
         * @throws CorruptJournalException if no state has that code
         */
        public static State ofCode(int code) {
            for (State state : values()) {
                if (state.code == code) {
                    return state;
                }
            }
            throw new CorruptJournalException("unknown migration state code " + code);
        }
    }

    void write(DataOutputStream out) throws IOException {
        out.writeLong(id);
        out.writeLong(volume);
        out.writeLong(extent);
        out.writeInt(from);
        out.writeInt(to);
        out.writeLong(oldVersion);
        out.writeLong(newVersion);
        out.writeByte(state.code());
    }

    static Migration read(DataInputStream in) throws IOException {
        return new Migration(
                in.readLong(),
                in.readLong(),
                in.readLong(),
                in.readInt(),
                in.readInt(),
                in.readLong(),
                in.readLong(),
                State.ofCode(in.readByte()));
    }

    /** The same migration in another state. */
    public Migration withState(State next) {
        return new Migration(id, volume, extent, from, to, oldVersion, newVersion, next);
    }

    /** The same migration after the switch, with the version under which the new holder holds the extent. */
    Migration switched(long version) {
        return new Migration(id, volume, extent, from, to, oldVersion, version, State.SWITCHED);
    }
}

package garnetreel.files;

import garnetreel.files.FileEntry.Piece;

/** Tells which space a write that was sent earlier may still change, so that no other file may be given it. */
@FunctionalInterface
public interface PendingWrites {
    /** No write is pending. */
    PendingWrites NONE = (module, piece) -> false;

    /** Whether a write that was sent earlier may still change a piece of a module's volume. */
    boolean mayStillChange(String module, Piece piece);
}

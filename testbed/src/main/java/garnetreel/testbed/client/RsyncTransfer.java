package garnetreel.testbed.client;

import garnetreel.codec.ProtocolException;
import garnetreel.codec.rsync.FileListCodec;
import garnetreel.codec.rsync.RsyncIn;
import garnetreel.codec.rsync.RsyncOut;

/** The exchange of an rsync client inside the multiplexed stream of a run: a push or a pull. */
interface RsyncTransfer {
    /** Form of the file list under the options of this client. */
    FileListCodec.Options LIST_OPTIONS = new FileListCodec.Options(true, false, false, false);

    /** Starts the transfer, and writes what is sent before anything is read. */
    void begin(RsyncIn input, RsyncOut output, int checksumSeed);

    /**
     * Processes the next protocol element. The caller marks the input, and resets it on {@link RsyncIn.IncompleteInputException}.
     *
     * @return false if more bytes are needed
     */
    boolean step() throws RsyncIn.IncompleteInputException, ProtocolException;

    /** Whether the goodbye exchange is complete. */
    boolean isEnded();

    /** Whether a file could not be transferred. */
    boolean hasErrors();
}

package garnetreel.core.server.rsync;

import garnetreel.codec.ProtocolException;

/** The transfer phase of a session, in one direction; it begins once the arguments have been parsed. */
interface Transfer {
    /** Advances by one step; false while it waits for input, block operations or output capacity. */
    boolean step() throws ProtocolException;

    /** Releases what the transfer holds; the connection has closed. */
    void disconnected();
}

/** The rsync daemon of the gateway: sessions, file lists, and transfers to and from the file catalogue. */
package garnetreel.core.server.rsync;

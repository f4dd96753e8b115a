/**
 * Protocol servers for clients: their common base, and the NBD server. Connections over the limit are rejected, and a
 * connection over its byte limit is not read.
 */
package garnetreel.core.server;

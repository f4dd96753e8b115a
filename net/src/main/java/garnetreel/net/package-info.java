/**
 * Sockets, timers and durable storage for a {@link garnetreel.core.io.StateMachine}: an event loop on one XNIO I/O
 * thread, its connections, and a writer of states and journal records on a separate thread. What is sent to whom is
 * decided by the state machine alone.
 */
package garnetreel.net;

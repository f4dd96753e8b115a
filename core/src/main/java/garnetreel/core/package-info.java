/**
 * A gateway instance as a state machine without I/O. {@link garnetreel.core.Gateway} connects the protocol servers, the
 * request registry, the connections it opens, and the scheduler. Its input is network events and the current time, its
 * output is actions.
 */
package garnetreel.core;

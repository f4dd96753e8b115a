/**
 * The interface between state machines and the network or its emulation: events are the input, actions the output.
 * Neither this package nor the state machines have sockets, clocks, threads or logs of their own.
 */
package garnetreel.core.io;

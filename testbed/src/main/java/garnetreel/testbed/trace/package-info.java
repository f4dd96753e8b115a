/**
 * Traces: the events that the components of the testbed observe on their sockets, as a file, in memory or as a hash.
 */
package garnetreel.testbed.trace;

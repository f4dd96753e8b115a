/**
 * The connections that a gateway opens: to storage nodes, with the attempts on them, to the node list service and to
 * the map service. The classes do no I/O: they are given received bytes and the time of each turn, and add network
 * actions to the turn.
 */
package garnetreel.core.connection;

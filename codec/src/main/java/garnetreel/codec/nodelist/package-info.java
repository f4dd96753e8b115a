/** The protocol of the node list: subscriptions, snapshots, deltas and registration. */
package garnetreel.codec.nodelist;

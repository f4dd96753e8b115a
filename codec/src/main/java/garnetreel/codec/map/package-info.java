/** The protocol of the map service: subscriptions to extent maps, and commands of operators. */
package garnetreel.codec.map;

/** The protocol between a gateway and a storage node: requests, answers, health checks, migration commands. */
package garnetreel.codec.node;

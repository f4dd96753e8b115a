/**
 * The fake storage node: protocol, execution in virtual time, faults, participation in migrations, and in-memory disk.
 */
package garnetreel.testbed.node;

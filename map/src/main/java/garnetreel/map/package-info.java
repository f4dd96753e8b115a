/**
 * Placement and migration of extents: versioned maps, the durable state of the map service, the migration protocol and
 * the rebalancer. Nothing in this package does I/O, reads a clock or starts a thread.
 */
package garnetreel.map;

/** The fault soak: runs gateway processes under random overlapping faults and checks invariants. */
package garnetreel.cli.testing.soak;

/** Benchmarks of a gateway over sockets. */
package garnetreel.cli.testing.bench;

/** JMH benchmarks of single components, run manually. */
package garnetreel.benchmarks;

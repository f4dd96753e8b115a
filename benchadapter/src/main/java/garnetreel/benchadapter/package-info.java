/**
 * Adapter that connects many scheduler instances to the message stream of an external simulator, the bench;
 * {@link garnetreel.benchadapter.BenchMessageCodec} has the format of the messages.
 */
package garnetreel.benchadapter;

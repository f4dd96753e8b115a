/** Adapter that connects many scheduler instances to the message stream of an external simulator. */
package garnetreel.benchadapter;

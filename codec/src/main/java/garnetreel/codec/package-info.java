/**
 * Parsers and writers, one package per protocol, and their shared types: incremental, without I/O, all lengths bounded.
 */
package garnetreel.codec;

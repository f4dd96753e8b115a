/**
 * Parsers and writers, one package per protocol, and their shared types: incremental and without I/O. Lengths are
 * bounded, except that of an option reply in the NBD client's parser.
 */
package garnetreel.codec;

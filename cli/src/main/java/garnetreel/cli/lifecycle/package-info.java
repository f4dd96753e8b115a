/**
 * Exit codes and signal handling. This package depends on no other package of the command line, so that every command may use
 * it.
 */
package garnetreel.cli.lifecycle;

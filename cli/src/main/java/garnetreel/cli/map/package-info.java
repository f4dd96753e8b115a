/** The operators' commands to the map service, and the blocking clients that they use. */
package garnetreel.cli.map;

/**
 * The command line: one class per command, the logging, and the process that runs the event loops.
 * {@link garnetreel.cli.Main} is the operators' entry point; {@link garnetreel.cli.PlatformMain} is that of a gateway
 * instance on the HTTP platform, which starts without the command line library.
 */
package garnetreel.cli;

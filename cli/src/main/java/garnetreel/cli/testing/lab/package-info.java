/** Measurements of extent maps and migrations. */
package garnetreel.cli.testing.lab;

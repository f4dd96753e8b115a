/** Reads JSON input, and from it the settings of a scheduler. */
package garnetreel.settings;

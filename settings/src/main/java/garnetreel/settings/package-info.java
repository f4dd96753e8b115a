/** Reads the JSON settings of a scheduler. */
package garnetreel.settings;

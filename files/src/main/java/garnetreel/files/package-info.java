/**
 * The catalogue of the files that a gateway serves: names with their attributes, the volume ranges that hold their
 * contents, and the free space. State and decisions only; the owner of a catalogue does the I/O.
 */
package garnetreel.files;

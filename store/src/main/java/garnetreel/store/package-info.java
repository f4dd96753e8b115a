/**
 * Crash-safe storage in local files: a journal of numbered records, and small named states that are replaced
 * atomically. Without threads of its own.
 */
package garnetreel.store;

/** Sends requests with the same key one at a time, in the order received. */
package garnetreel.policy.ordering;

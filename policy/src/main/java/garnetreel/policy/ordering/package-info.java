/** Order of the requests of a key. */
package garnetreel.policy.ordering;

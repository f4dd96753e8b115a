/** Execution of the requests of a key in the order of arrival. */
package garnetreel.policy.ordering;

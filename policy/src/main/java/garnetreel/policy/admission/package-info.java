/** Admission of requests, and shedding of those for which there is no capacity or no time left. */
package garnetreel.policy.admission;

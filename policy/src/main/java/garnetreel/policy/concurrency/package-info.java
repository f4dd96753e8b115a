/** Limits on the number of attempts in flight at an endpoint. */
package garnetreel.policy.concurrency;

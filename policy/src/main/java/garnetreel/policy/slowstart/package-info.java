/** Limits on the rate of requests to endpoints that have just started. */
package garnetreel.policy.slowstart;

/** Virtual-time fair queueing across volumes, which determines the request that is sent next. */
package garnetreel.policy.fairqueue;

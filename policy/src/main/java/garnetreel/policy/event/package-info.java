/** Events that the embedding program passes to the scheduler. All times are microseconds, sizes are units. */
package garnetreel.policy.event;

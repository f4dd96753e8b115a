/** Settings of the scheduler. All times are microseconds, sizes are units. */
package garnetreel.policy.config;

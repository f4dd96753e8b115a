/** Actions that the scheduler returns to the embedding program for execution. All times are microseconds. */
package garnetreel.policy.action;

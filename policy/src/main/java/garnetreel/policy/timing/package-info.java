/** Time units, retention periods and the margin for the delay between a decision and the send. */
package garnetreel.policy.timing;

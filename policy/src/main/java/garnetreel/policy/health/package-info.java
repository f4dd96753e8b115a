/** Health of endpoints, derived from the gateway's own attempts. */
package garnetreel.policy.health;

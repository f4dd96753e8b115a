/** Health of endpoints, derived from the gateway's own attempts; results of health checks are not used. */
package garnetreel.policy.health;

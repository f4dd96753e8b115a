/** Usage limits of volumes: reserved rate, provisioned rate and rate limit, each a token bucket. */
package garnetreel.policy.ratelimit;

/** Usage limits of volumes: reserve, quota and rate limit, each a token bucket. */
package garnetreel.policy.ratelimit;

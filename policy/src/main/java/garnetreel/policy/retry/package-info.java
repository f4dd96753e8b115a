/** Retries of requests, as permitted by idempotency, deduplication and the retry budget. */
package garnetreel.policy.retry;

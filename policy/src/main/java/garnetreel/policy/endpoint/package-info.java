/** The known endpoints, their assignment to shards, and the validity of the endpoint list. */
package garnetreel.policy.endpoint;

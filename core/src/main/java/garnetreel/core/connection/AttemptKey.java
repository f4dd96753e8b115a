package garnetreel.core.connection;

/** Identifies an attempt in a node's answer: the id of the sub-request and the index of the attempt. */
record AttemptKey(long subRequestId, int attemptIndex) {}

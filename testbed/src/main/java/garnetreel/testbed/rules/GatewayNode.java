package garnetreel.testbed.rules;

/** A gateway, by its number, and a node, by its address. */
record GatewayNode(String gateway, String address) {}

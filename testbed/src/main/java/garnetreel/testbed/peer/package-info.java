/** A loopback peer that performs one scripted step at a time, for tests of the gateway for the HTTP platform. */
package garnetreel.testbed.peer;

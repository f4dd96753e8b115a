/** A loopback peer that performs one scripted step at a time, for tests of the operators' platform. */
package garnetreel.testbed.peer;

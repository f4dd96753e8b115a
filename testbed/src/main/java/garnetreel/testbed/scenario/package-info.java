/** Scenarios (a deployment, the load on it and the faults), and the runner that executes them in an environment. */
package garnetreel.testbed.scenario;

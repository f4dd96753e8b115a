/** Simulation of state machines on a virtual clock and network; runs with the same seed are identical. */
package garnetreel.emulator;

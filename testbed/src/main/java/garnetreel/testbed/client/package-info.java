/** Load generators: scripted NBD and rsync clients that check all data they read against what they wrote. */
package garnetreel.testbed.client;

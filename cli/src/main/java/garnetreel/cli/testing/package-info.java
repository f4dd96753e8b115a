/** Commands that run the program against the fakes of the test bed; not on the class path of a deployed service. */
package garnetreel.cli.testing;

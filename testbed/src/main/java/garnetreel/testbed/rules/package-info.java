/** The rules checker: checks a run against the safety rules by its trace alone, with one class per rule. */
package garnetreel.testbed.rules;

/**
 * Settings files: their syntax (HCL), their schema and the checks of their values. Every problem is reported with file, line,
 * column and key, the value found and the one expected.
 */
package garnetreel.cli.config;

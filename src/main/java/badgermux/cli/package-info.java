/**
 * The command line. {@code badgermux.Main} handles the two commands without options itself, because loading this package
 * would slow down the start.
 */
package badgermux.cli;

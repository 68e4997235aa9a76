/** The command line, but for the two plain commands that a start may not pay for. */
package badgermux.cli;

/** The console: a line protocol on a separate address for operators and their programs. */
package badgermux.console;

/** Writes the log without blocking the event loop. */
package badgermux.log;

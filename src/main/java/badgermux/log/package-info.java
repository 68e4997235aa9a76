/** The log, written beside the event loop. */
package badgermux.log;

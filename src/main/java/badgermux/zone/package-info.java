/**
 * Limits on which zones a request may use and how much of each, derived from what one dispatcher observes. The package
 * does no I/O and reads no clock and no random numbers; the dispatch policy consults it before each send and reports every
 * outcome to it.
 */
package badgermux.zone;

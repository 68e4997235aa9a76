/**
 * Zones: which of them a job may use and how much of it, from what a dispatcher sees by itself. Free of I/O, clocks and
 * dice; the decision module asks it before each send and tells it what came of it.
 */
package badgermux.zone;

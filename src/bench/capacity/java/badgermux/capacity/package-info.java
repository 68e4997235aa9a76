/** The capacity page: measured slopes, the target, and the tables that are worked out from both. Not in the jar. */
package badgermux.capacity;

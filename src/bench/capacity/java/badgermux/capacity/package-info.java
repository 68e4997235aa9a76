/** The capacity page: measured slopes, the target, and the tables computed from both. Not packaged in the jar. */
package badgermux.capacity;

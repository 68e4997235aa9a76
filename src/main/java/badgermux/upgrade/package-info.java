/** The handover from one process of a dispatcher to the next: the link, the state exchanged, and when the new one is ready. */
package badgermux.upgrade;

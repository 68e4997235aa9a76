/** How one process of a dispatcher hands over to the next: what they tell each other, and when the next one is ready. */
package badgermux.upgrade;

/** The admin API: its listener, and the thread on which its calls are carried out one after another. */
package badgermux.admin;

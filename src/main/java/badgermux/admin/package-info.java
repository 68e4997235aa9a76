/** The HTTP server of the admin API, and the thread on which its requests are handled one after another. */
package badgermux.admin;

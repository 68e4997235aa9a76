/** Discovery's list of backends, and the watch on it. */
package badgermux.discovery;

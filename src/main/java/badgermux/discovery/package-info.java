/** The client of the discovery service, which provides the list of backends. */
package badgermux.discovery;

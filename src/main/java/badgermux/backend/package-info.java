/** Connections to backends, and the attempts and probes that run on them. */
package badgermux.backend;

/** Backend connections, and the attempts and probes on them. */
package badgermux.backend;

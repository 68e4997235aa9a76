/** The configuration of a dispatcher: read and validated in one place, with defaults applied. */
package badgermux.config;

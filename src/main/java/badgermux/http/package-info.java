/** HTTP/1.1: incremental parsers, encoders, and outbound connections. */
package badgermux.http;

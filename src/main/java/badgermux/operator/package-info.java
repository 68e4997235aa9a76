/** What operators have set through the admin API, and the one snapshot that keeps it. */
package badgermux.operator;

/** What operators have set, stored on disk: the snapshot of the admin API, and the cordons. */
package badgermux.operator;

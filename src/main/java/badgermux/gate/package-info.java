/** Joins the contracts to the front, to the answers of backends and to the admin API. */
package badgermux.gate;

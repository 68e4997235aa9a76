/** Applies the contracts to requests and to the responses of backends; holds the admin resources of contracts and zones. */
package badgermux.gate;

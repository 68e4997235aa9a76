/** The adapter that connects dispatch policies to the simulator protocol. */
package badgermux.sim;

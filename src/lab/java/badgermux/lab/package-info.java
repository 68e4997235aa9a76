/** A simulation of the fleet in virtual time, which runs the real dispatch policy and zone policy unchanged. */
package badgermux.lab;

/** A model of the fleet in virtual time, in which the real decision module and the real pure packages run unchanged. */
package badgermux.lab;

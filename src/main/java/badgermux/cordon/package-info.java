/** The set of backends that operators have cordoned, which is applied to every backend list. It does no I/O. */
package badgermux.cordon;

/** The runners that operators have taken cordoned: a pure set that the list passes through. */
package badgermux.cordon;

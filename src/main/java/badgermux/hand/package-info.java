/** The runners that operators have taken out by hand: a pure set that the list passes through. */
package badgermux.hand;
